import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Gangs } from './gang';
import type { StandinRequest, StandinResponse } from './http';
import { call, serveStandin } from './http';
import type { CaseRecord } from './record';

/** What a task does on a worker. */
export interface Behaviour {
  /** Time until it ends by itself; it lasts until it is stopped if infinite. */
  readonly runMs: number;
  readonly end: 'done' | 'failed';
  readonly cpu: number;
  readonly memMb: number;
  /** Gang that the task belongs to, and the number of its members. */
  readonly gang?: { readonly name: string; readonly size: number };
  /** Whether it saves checkpoints. */
  readonly saves?: boolean;
}

/** Options of a worker's stand-in. */
export interface WorkerOptions {
  readonly id: string;
  readonly host: string;
  readonly service: string;
  readonly zone: string;
  readonly rack: string;
  readonly cpu: number;
  readonly memMb: number;
  /** Whether it rejects what does not fit. */
  readonly guards: boolean;
  /** How long a stop takes; 900 ms at most. */
  readonly stopMs?: number;
  /** Address to which it sends heartbeats. */
  readonly control: string;
  readonly behaviourOf: (task: string, spec: string, attempt: number) => Behaviour;
  readonly record: CaseRecord;
  readonly gangs: Gangs;
}

interface Run extends Behaviour {
  readonly task: string;
  readonly attempt: number;
  /** Infinite while a gang waits for its members. */
  startedMs: number;
  readonly arrivedMs: number;
  readonly gangRun?: string;
  /** Work done before this run, from its checkpoint. */
  readonly doneMs: number;
  /** Checkpoint that its start carried. */
  readonly saved: string;
  stopAtMs?: number;
}

/** Stand-in of a worker. */
export interface Worker {
  readonly id: string;
  readonly address: string;
  readonly runs: () => readonly { readonly task: string; readonly attempt: number }[];
  /** Ends all runs without a trace, and stops to answer. */
  readonly crash: () => void;
  /** Starts again under the same id at the same address. */
  readonly restart: () => Promise<void>;
  readonly close: () => void;
}

const HEARTBEAT_MS = 1_100;
const CHECKPOINT_MS = 1_000;
const GANG_WAIT_MS = 3_000;
const HEARTBEAT_TIMEOUT_MS = 1_000;
const MAX_LEASE_MS = 10_000;
const DEFAULT_STOP_MS = 300;
const MAX_LISTED = 500;
const STEP_MS = 10;
const ANSWER_MS = 1;
const MAX_WAIT_MS = 2_000;

type End = readonly [
  sequence: number,
  task: string,
  attempt: number,
  how: string,
  checkpoint: string,
];

/** Starts a worker that follows the pages: fencing tokens, leases, stops and numbered ends. */
export async function startWorker(options: WorkerOptions): Promise<Worker> {
  const {
    id,
    host,
    service,
    zone,
    rack,
    cpu,
    memMb,
    guards,
    control,
    behaviourOf,
    record,
    gangs,
    stopMs = DEFAULT_STOP_MS,
  } = options;
  const fresh = () => ({
    born: Date.now(),
    bornMs: performance.now(),
    token: 0,
    leaseMs: 0,
    sequence: 0,
    beats: 0,
    runs: new Map<string, Run>(),
    ends: [] as End[],
    closed: new Map<string, number>(),
    endedMs: new Map<number, number>(),
    lapsedMs: -1,
  });
  let life = fresh();
  const state = { isUp: true, isClosed: false };
  const clockMs = (): number => Math.floor(performance.now() - life.bornMs);

  const workedMs = (run: Run): number => run.doneMs + Math.max(0, clockMs() - run.startedMs);
  const checkpointOf = (run: Run, stepMs: number): string => {
    const ms = Math.floor(workedMs(run) / stepMs) * stepMs;
    return run.saves === true && ms > 0 ? `c${ms}` : run.saved;
  };

  const end = (run: Run, how: string): void => {
    const { task, attempt, gangRun } = run;
    if (life.runs.get(task) !== run) return;
    life.runs.delete(task);
    life.sequence += 1;
    life.ends.push([life.sequence, task, attempt, how, checkpointOf(run, 1)]);
    life.closed.set(task, Math.max(attempt, life.closed.get(task) ?? 0));
    life.endedMs.set(life.sequence, clockMs());
    record.add('end', { worker: id, task, attempt, how, number: life.sequence });
    if (gangRun !== undefined) gangs.leave(gangRun, task, how === 'done');
  };

  const step = (): void => {
    if (!state.isUp) return;
    const now = clockMs();
    if (now >= life.leaseMs) life.lapsedMs = now;
    [...life.runs.values()].forEach((run) => {
      if (now >= life.leaseMs) end(run, 'lapsed');
      else if (run.stopAtMs !== undefined && now >= run.stopAtMs) end(run, 'stopped');
      else if (run.startedMs === Infinity && now >= run.arrivedMs + GANG_WAIT_MS) end(run, 'alone');
      else if (workedMs(run) >= run.runMs) end(run, run.end);
    });
  };

  const extend = (expiryMs: unknown): void => {
    if (typeof expiryMs !== 'number') return;
    life.leaseMs = Math.max(life.leaseMs, Math.min(expiryMs, clockMs() + MAX_LEASE_MS));
  };

  const fits = (added: Behaviour): boolean => {
    const all = [...life.runs.values(), added];
    const sum = (amountOf: (run: Behaviour) => number): number =>
      all.reduce((total, run) => total + amountOf(run), 0);
    return sum((run) => run.cpu) <= cpu && sum((run) => run.memMb) <= memMb;
  };

  const refuse = (reason: string): StandinResponse => ({
    status: 409,
    body: { clockMs: clockMs(), born: life.born, reason },
  });
  const accept = (more: object = {}): StandinResponse => ({
    status: 200,
    body: { clockMs: clockMs(), born: life.born, ...more },
  });

  const start = (body: StandinRequest['body']): StandinResponse => {
    const {
      task,
      attempt,
      spec,
      expiryMs,
      checkpoint = '',
    } = body as {
      readonly task: string;
      readonly attempt: number;
      readonly spec: string;
      readonly expiryMs: number;
      readonly checkpoint?: string;
    };
    const known = life.runs.get(task);
    if (known?.attempt === attempt) return accept();
    if (known !== undefined || attempt <= (life.closed.get(task) ?? 0)) {
      extend(expiryMs);
      return refuse('old');
    }
    if (Math.max(expiryMs, life.leaseMs) <= clockMs()) return refuse('late');
    extend(expiryMs);
    const behaviour = behaviourOf(task, spec, attempt);
    const isOver = !fits(behaviour);
    if (isOver && guards) return refuse('room');
    const { gang } = behaviour;
    const run: Run = {
      ...behaviour,
      task,
      attempt,
      startedMs: gang === undefined ? clockMs() : Infinity,
      arrivedMs: clockMs(),
      doneMs: Number(checkpoint.slice(1)),
      saved: checkpoint,
      ...(gang === undefined ? {} : { gangRun: `${gang.name} ${attempt} ${checkpoint}` }),
    };
    life.runs.set(task, run);
    record.add('start', { worker: id, task, attempt, over: isOver ? 1 : 0, checkpoint });
    if (gang === undefined || run.gangRun === undefined) return accept();
    gangs.join(run.gangRun, gang.size, {
      key: task,
      begin: () => {
        run.startedMs = clockMs();
      },
      end: (how) => end(run, how),
    });
    return accept();
  };

  const stop = (body: StandinRequest['body']): StandinResponse => {
    const { task, attempt } = body as { readonly task: string; readonly attempt: number };
    const run = life.runs.get(task);
    if (run === undefined || run.attempt > attempt) {
      life.closed.set(task, Math.max(attempt, life.closed.get(task) ?? 0));
    } else if (run.stopAtMs === undefined) {
      run.stopAtMs = clockMs() + stopMs;
      record.add('stopping', { worker: id, task, attempt: run.attempt });
    }
    return accept();
  };

  const hold = async (body: StandinRequest['body']): Promise<StandinResponse> => {
    const { ackSeq = 0, expiryMs, waitMs = 0 } = body as Readonly<Record<string, number>>;
    extend(expiryMs);
    life.ends
      .filter(([number]) => number <= ackSeq && (life.endedMs.get(number) ?? 0) > life.lapsedMs)
      .forEach(([number, task, attempt]) => {
        record.add('noted', { worker: id, task, attempt, number });
      });
    life.ends = life.ends.filter(([number]) => number > ackSeq);
    const own = life;
    const endMs = performance.now() + Math.min(MAX_WAIT_MS, waitMs);
    const listed = life.ends.length;
    const wait = async (): Promise<void> => {
      if (life !== own || life.ends.length > listed || performance.now() >= endMs) return;
      await sleep(STEP_MS);
      await wait();
    };
    await wait();
    if (life !== own) return undefined;
    step();
    return accept({
      running: [...life.runs.values()].map((run) => {
        const share = workedMs(run) / run.runMs;
        const percent = run.runMs === Infinity ? 100 : Math.min(99, Math.floor(share * 100));
        return [run.task, run.attempt, checkpointOf(run, CHECKPOINT_MS), percent, run.cpu];
      }),
      finished: life.ends.slice(0, MAX_LISTED),
    });
  };

  const handle = async (received: StandinRequest): Promise<StandinResponse> => {
    const { path, headers, body } = received;
    await sleep(ANSWER_MS);
    if (!state.isUp) return undefined;
    step();
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== id) return { status: 421 };
    const token = Number(body.fencingToken ?? 0);
    if (token < life.token) return refuse('fence');
    life.token = token;
    switch (path) {
      case '/bronzeyoke/run-start':
        return start(body);
      case '/bronzeyoke/run-stop':
        return stop(body);
      case '/bronzeyoke/hold':
        return hold(body);
      case '/bronzeyoke/pace':
        return accept();
      default:
        return { status: 404 };
    }
  };

  let served = await serveStandin(host, 0, handle);
  const { address } = served;

  const beat = async (): Promise<void> => {
    if (!state.isUp) return;
    life.beats += 1;
    await call(control, 'PUT', `/bronzeyoke/instances/${id}`, {
      timeoutMs: HEARTBEAT_TIMEOUT_MS,
      body: {
        service,
        addr: address,
        zone,
        version: 'v1',
        slots: 8,
        state: 'ready',
        coldLeftMs: 0,
        capacity: { cpu, memMb, gpu: 0 },
        labels: ['a', rack],
        clockMs: clockMs(),
        seq: life.beats,
        born: life.born,
      },
    });
  };
  const stepTimer = setInterval(step, STEP_MS);
  const beatTimer = setInterval(() => {
    beat().catch(() => undefined);
  }, HEARTBEAT_MS);
  return {
    id,
    address,
    runs: () => [...life.runs.values()].map(({ task, attempt }) => ({ task, attempt })),
    crash: () => {
      state.isUp = false;
      const lost = [...life.runs.values()];
      life = fresh();
      lost.forEach(({ task, attempt, gangRun }) => {
        record.add('end', { worker: id, task, attempt, how: 'crashed' });
        if (gangRun !== undefined) gangs.leave(gangRun, task, false);
      });
      served.server.close();
      served.server.closeAllConnections();
    },
    restart: async () => {
      life = fresh();
      served = await serveStandin(host, Number(address.split(':')[1]), handle);
      state.isUp = true;
      await beat();
    },
    close: () => {
      state.isUp = false;
      clearInterval(stepTimer);
      clearInterval(beatTimer);
      served.server.close();
      served.server.closeAllConnections();
    },
  };
}
