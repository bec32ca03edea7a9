// Stand-in of a worker: starts, stops, holds and heartbeats as PROTOCOL.md tells them.
import { createServer, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { listenOn, readJson } from './store.mjs';

const HEARTBEAT_MS = 1_100;
const HOLD_MAX_MS = 10_000;
const GANG_WAIT_MS = 3_000;
const MAX_LISTED_ENDS = 500;
const STEP_MS = 10;
const NO_ROOM = { cpu: 0, memMb: 0 };

/** Sends a request and resolves with the status and the body, or undefined without a reply. */
export function call(address, method, path, body, timeoutMs, headers = {}) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const outgoing = request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          ...(text === undefined
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.once('error', () => resolve(undefined));
        response.once('end', () => {
          const answer = Buffer.concat(chunks).toString('utf8');
          try {
            resolve({ status: response.statusCode, body: JSON.parse(answer) });
          } catch {
            resolve({ status: response.statusCode, body: answer });
          }
        });
      },
    );
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    outgoing.once('close', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    outgoing.once('error', () => resolve(undefined));
    outgoing.end(text);
  });
}

/**
 * Starts a worker. `plan(task)` tells of a run: its `workMs`, `cpu`, `memMb`, `gang` (number of members, with
 * the name of the step as `gangOf`), whether it `lasts` or `fails`. `note` records what happens on the worker.
 * The members of gangs on several workers meet in `gangs`, which all workers of a site share.
 */
export async function startWorker({
  id,
  host,
  service,
  zone,
  rack,
  agent,
  room,
  plan,
  note,
  gangs,
}) {
  const worker = { id, host, isUp: false, state: 'ready', fault: undefined, room, starts: 0 };
  let life;
  let server;
  let address = '';

  const begin = () => ({
    born: Date.now(),
    startedMs: performance.now(),
    seq: 0,
    token: 0,
    leaseUntil: 0,
    lapsedAt: 0,
    runs: new Map(),
    ends: [],
    endCount: 0,
    closed: new Map(),
  });
  const clockMs = () => Math.floor(performance.now() - life.startedMs);
  const used = () =>
    [...life.runs.values()].reduce(
      (sum, run) => ({ cpu: sum.cpu + run.cpu, memMb: sum.memMb + run.memMb }),
      NO_ROOM,
    );
  const saved = (run) => (run.checkpointing ? run.checkpoint : '');

  const end = (run, how) => {
    life.runs.delete(run.task);
    life.endCount += 1;
    life.ends.push([life.endCount, run.task, run.attempt, how, saved(run)]);
    life.closed.set(run.task, Math.max(run.attempt, life.closed.get(run.task) ?? 0));
    note({ what: 'end', worker: id, born: life.born, task: run.task, attempt: run.attempt, how });
  };

  const gangKey = (run) => `${run.gangOf}#${run.attempt}`;
  const stepGang = (run, nowMs) => {
    const members = gangs.get(gangKey(run));
    if (members.brokenAtMs !== undefined) return end(run, 'broken');
    if (members.doneAtMs !== undefined) return end(run, 'done');
    if (members.startedAtMs === undefined) {
      if (nowMs - run.atMs >= GANG_WAIT_MS) return end(run, 'alone');
      return undefined;
    }
    if (nowMs - members.startedAtMs < run.workMs) return undefined;
    members.doneAtMs = nowMs;
    return end(run, 'done');
  };
  const leaveGang = (run) => {
    const members = gangs.get(gangKey(run));
    if (members !== undefined && members.doneAtMs === undefined) {
      members.present.delete(run.task);
      if (members.startedAtMs !== undefined) members.brokenAtMs = performance.now();
    }
  };

  const step = () => {
    if (!worker.isUp) return;
    const nowMs = performance.now();
    const clock = clockMs();
    if (life.leaseUntil > life.lapsedAt && clock >= life.leaseUntil) {
      life.lapsedAt = life.leaseUntil;
      note({ what: 'lapse', worker: id, born: life.born });
    }
    if (life.runs.size > 0 && clock >= life.leaseUntil) {
      [...life.runs.values()].forEach((run) => {
        if (run.gang > 0) leaveGang(run);
        end(run, 'lapsed');
      });
      return;
    }
    [...life.runs.values()].forEach((run) => {
      if (run.gang > 0) stepGang(run, nowMs);
      else if (!run.lasts && nowMs - run.atMs >= run.workMs)
        end(run, run.fails ? 'failed' : 'done');
    });
  };
  const timer = setInterval(step, STEP_MS);

  const extend = (expiryMs) => {
    if (typeof expiryMs !== 'number') return;
    life.leaseUntil = Math.max(life.leaseUntil, Math.min(expiryMs, clockMs() + HOLD_MAX_MS));
  };
  const refuse = (reason) => ({
    status: 409,
    body: { clockMs: clockMs(), born: life.born, reason },
  });
  const done = (more = {}) => ({
    status: 200,
    body: { clockMs: clockMs(), born: life.born, ...more },
  });

  const start = ({ task, attempt, spec, expiryMs, checkpoint }) => {
    extend(expiryMs);
    const known = life.runs.get(task);
    if (known?.attempt === attempt) return done();
    if (known !== undefined || attempt <= (life.closed.get(task) ?? 0)) return refuse('old');
    if (clockMs() >= life.leaseUntil) return refuse('late');
    const run = { task, attempt, atMs: performance.now(), ...plan(task) };
    const { cpu, memMb } = used();
    if (cpu + run.cpu > worker.room.cpu || memMb + run.memMb > worker.room.memMb)
      return refuse('room');
    life.runs.set(task, run);
    worker.starts += 1;
    note({ what: 'start', worker: id, born: life.born, task, attempt, spec, checkpoint });
    if (run.gang > 0) {
      const key = gangKey(run);
      const members = gangs.get(key) ?? { present: new Set() };
      gangs.set(key, members);
      members.present.add(task);
      if (members.present.size === run.gang) members.startedAtMs = performance.now();
    }
    return done();
  };

  const stop = ({ task, attempt }) => {
    life.closed.set(task, Math.max(attempt, life.closed.get(task) ?? 0));
    const run = life.runs.get(task);
    if (run !== undefined && run.attempt <= attempt) {
      if (run.gang > 0) leaveGang(run);
      end(run, 'stopped');
    }
    return done();
  };

  const hold = async ({ expiryMs, ackSeq = 0, waitMs = 0 }) => {
    extend(expiryMs);
    const noted = life.ends.filter(([number]) => number <= ackSeq);
    noted.forEach(([, task, attempt, how]) =>
      note({ what: 'noted', worker: id, born: life.born, task, attempt, how }),
    );
    life.ends = life.ends.filter(([number]) => number > ackSeq);
    const untilMs = performance.now() + Math.min(2_000, waitMs);
    const { born, endCount } = life;
    while (life.born === born && life.endCount === endCount && performance.now() < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- the reply waits for an end
      await sleep(STEP_MS);
    }
    return done({
      running: [...life.runs.values()].map((run) => [
        run.task,
        run.attempt,
        saved(run),
        run.lasts
          ? 100
          : Math.min(99, Math.floor((100 * (performance.now() - run.atMs)) / run.workMs)),
        0,
      ]),
      finished: life.ends.slice(0, MAX_LISTED_ENDS),
    });
  };

  const handle = async (path, body) => {
    const { fencingToken = 0 } = body;
    if (fencingToken < life.token) return refuse('fence');
    life.token = fencingToken;
    step();
    switch (path) {
      case '/bronzeyoke/run-start':
        return start(body);
      case '/bronzeyoke/run-stop':
        return stop(body);
      case '/bronzeyoke/hold':
        return hold(body);
      case '/bronzeyoke/pace':
        return done();
      default:
        return { status: 404, body: {} };
    }
  };

  const serve = async (incoming, response) => {
    const body = await readJson(incoming);
    const path = incoming.url.split('?')[0];
    const expected = incoming.headers['expect-instance'];
    const reply = ({ status, body: answer }) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(answer));
    };
    const carryOut = async () =>
      expected === undefined || expected === id ? handle(path, body) : { status: 421, body: {} };
    const fault = worker.fault?.({ path, body });
    if (fault === undefined) {
      reply(await carryOut());
      return;
    }
    // The call does not arrive, and its connection stays open.
    if (fault.silent === true) return;
    // The order stays unanswered and is carried out late, by whatever instance is there then.
    response.destroy();
    if (fault.lateMs === undefined) return;
    await sleep(fault.lateMs);
    if (!worker.isUp) return;
    const result = await carryOut();
    note({
      what: 'late',
      worker: id,
      path,
      task: body.task,
      attempt: body.attempt,
      status: result.status,
      reason: result.body.reason,
    });
  };

  const beat = async () => {
    if (!worker.isUp || worker.isCut === true) return;
    life.seq += 1;
    const { born, seq } = life;
    await call(
      agent,
      'PUT',
      `/bronzeyoke/instances/${id}`,
      {
        service,
        addr: address,
        zone,
        version: 'v1',
        slots: 8,
        state: worker.state,
        coldLeftMs: 0,
        capacity: { ...worker.room, gpu: 0 },
        labels: ['a', rack],
        clockMs: clockMs(),
        seq,
        born,
      },
      1_000,
    );
  };
  const beater = setInterval(beat, HEARTBEAT_MS);

  const up = async () => {
    life = begin();
    server = createServer((incoming, response) => {
      serve(incoming, response).catch(() => response.destroy());
    });
    const port = await listenOn(server, host, address === '' ? 0 : Number(address.split(':')[1]));
    address = `${host}:${port}`;
    worker.isUp = true;
    note({ what: 'up', worker: id, born: life.born });
    await beat();
  };
  const down = () => {
    worker.isUp = false;
    note({ what: 'crash', worker: id, born: life.born, runs: life.runs.size });
    [...life.runs.values()].forEach((run) => {
      if (run.gang > 0) leaveGang(run);
    });
    life.runs.clear();
    server.close();
    server.closeAllConnections();
  };
  await up();
  return Object.assign(worker, {
    up,
    down,
    beat,
    life: () => life,
    address: () => address,
    close: () => {
      clearInterval(timer);
      clearInterval(beater);
      if (worker.isUp) down();
    },
  });
}
