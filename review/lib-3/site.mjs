// Starts a small deployment: the store, workers, and the programs of the deploy file as processes.
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { startStore, listenOn } from './store.mjs';
import { call, startWorker } from './worker.mjs';

const ROOT = resolve(fileURLToPath(new URL('.', import.meta.url)), '../..');
const ZONES = ['hobart', 'launceston', 'devonport', 'burnie'];
const TAKEN_BY_OTHERS = 100;
const RESTART_MS = 500;

/** Returns the command of a role in the deploy file. */
async function commandOf(role) {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  return /run = "([^"]+)"/.exec(section)?.[1].split(' ') ?? [];
}

/** Returns ports that are free on 127.0.0.1 for now; the programs use them on loopback addresses of their own. */
async function freePorts(count) {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(servers.map((server) => listenOn(server, '127.0.0.1', 0)));
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((done) => {
          server.close(done);
        }),
    ),
  );
  return ports;
}

/** Starts a process with settings, and restarts it on request. Its output goes to a file. */
async function createProgram(folder, role, settings) {
  const file = join(folder, `${settings.name}.jsonc`);
  await writeFile(file, JSON.stringify(settings, undefined, 2));
  const [command, ...args] = await commandOf(role);
  const log = createWriteStream(join(folder, `${settings.name}.log`), { flags: 'a' });
  const program = {
    name: settings.name,
    settings,
    child: undefined,
    exits: [],
    ownEnds: [],
    isSignalled: false,
  };
  const start = () => {
    const child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: folder, BRONZEYOKE_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    program.child = child;
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => program.exits.push({ code, signal }));
  };
  const isRunning = () =>
    program.child !== undefined &&
    program.child.exitCode === null &&
    program.child.signalCode === null;
  return Object.assign(program, {
    start,
    isRunning,
    signal: (name) => {
      program.isSignalled = true;
      if (isRunning()) program.child.kill(name);
    },
  });
}

/** The template's values for the machines of DEPLOY.md's small deployments. */
const COMMON = { graceS: 6, maxLeaseMs: 10_000, holderLeaseMs: 3_000, statusS: 120 };
const EDGE = { cpuShare: 0.675, cores: 1, linkMbps: 1_000, memoryMb: 350, maxFds: 4_100 };
const SIDE = { cpuShare: 0.405, cores: 1, linkMbps: 1_000, memoryMb: 218, maxFds: 4_096 };
const SCHEDULING = { detectsEndedHolder: true, restoresPlaces: true, handsOver: true };

/** Returns the operator's configuration with the queues of a small deployment. */
export function configOf(version, more = {}) {
  const route = (name, prefix, priority, maxAttempts, targetDurationMs) => ({
    name,
    host: 'front.example',
    prefix,
    kind: 'mutating',
    timeoutMs: 3_000,
    targetDurationMs,
    priority,
    service: 'quoter',
    maxAttempts,
    slackFactor: 2,
  });
  return {
    version,
    routes: [route('r-quick', '/quick/', 0, 4, 250), route('r-batch', '/batch/', 2, 4, 1_000)],
    services: [
      {
        name: 'quoter',
        healthPath: '/healthz',
        maxConns: 64,
        protocol: 'h1',
        tls: false,
        coldStartS: 0,
        coldPerS: 0,
        admissionCheck: true,
        standby: false,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 262_144,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...more,
  };
}

/**
 * Starts a site. `plan(task)` tells of a run on a worker. `hop(kind, index, address)` may return another address
 * that leads to the given one, such as that of a proxy; kinds are `store` and `worker`.
 */
export async function startSite({
  entries = 3,
  workers = 4,
  room,
  plan,
  note = () => undefined,
  hop = async (kind, name, address) => address,
}) {
  const folder = await mkdtemp(join(tmpdir(), 'review-'));
  const base = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
  const hosts = (count, from) =>
    Array.from({ length: count }, (_, index) => `${base}.${from + index}`);
  const [agentPort, metricsPort, front, ready, control] = await freePorts(5);
  const store = await startStore(`${base}.1`);
  store.put('op', 'config', configOf(1));
  const gangs = new Map();
  const startedMs = performance.now();
  const record = (event) => note({ atMs: Math.round(performance.now() - startedMs), ...event });
  const entryHosts = hosts(entries, 10);
  const agentHosts = hosts(workers, TAKEN_BY_OTHERS);
  const seeds = entryHosts.slice(0, 3).map((host) => `${host}:${control}`);
  const entryPrograms = await Promise.all(
    entryHosts.map(async (host, index) =>
      createProgram(folder, 'entry', {
        name: `edge-${index + 1}`,
        role: 'entry',
        host,
        domain: ZONES[index % 4],
        agentPort,
        metricsPort,
        callers: `${host}:${front}`,
        readiness: `${host}:${ready}`,
        heartbeats: `${host}:${control}`,
        seeds,
        store: await hop('store', `edge-${index + 1}`, store.address),
        machine: EDGE,
        ...COMMON,
        scheduling: SCHEDULING,
      }),
    ),
  );
  const agentPrograms = await Promise.all(
    agentHosts.map(async (host, index) =>
      createProgram(folder, 'agent', {
        name: `side-${index + 1}`,
        role: 'agent',
        host,
        domain: ZONES[index % 4],
        agentPort,
        metricsPort,
        heartbeats: `${host}:${control}`,
        seeds,
        store: await hop('store', `side-${index + 1}`, store.address),
        machine: SIDE,
        ...COMMON,
      }),
    ),
  );
  const programs = [...entryPrograms, ...agentPrograms];
  programs.forEach((program) => program.start());
  const workerList = await Promise.all(
    agentHosts.map((host, index) =>
      startWorker({
        id: `i-${(index + 1).toString(16).padStart(8, '0')}`,
        host,
        service: 'quoter',
        zone: ZONES[index % 4],
        rack: `r1-${1 + Math.floor(index / 3)}`,
        agent: `${host}:${control}`,
        room: room ?? { cpu: 64_000, memMb: 256_000 },
        plan,
        note: record,
        gangs,
      }),
    ),
  );
  return {
    folder,
    store,
    entries: entryPrograms,
    agents: agentPrograms,
    workers: workerList,
    programs,
    record,
    frontOf: (index) => `${entryHosts[index % entryHosts.length]}:${front}`,
    readyOf: (index) => `${entryHosts[index % entryHosts.length]}:${ready}`,
    nowMs: () => Math.round(performance.now() - startedMs),
    cpuOf: (task) => plan(task).cpu,
    /** Starts processes again that end by themselves, after a short delay, and notes their ends. */
    restartOwnEnds: () => {
      programs.forEach((program) => {
        const watch = () => {
          program.child.once('exit', (code, signal) => {
            if (program.isSignalled) return;
            program.ownEnds.push({
              atMs: Math.round(performance.now() - startedMs),
              code,
              signal,
            });
            record({ what: 'own end', program: program.name, code, signal });
            setTimeout(() => {
              if (program.isSignalled) return;
              program.start();
              watch();
            }, RESTART_MS);
          });
        };
        watch();
      });
    },
    /** Ends all that was started. */
    close: async () => {
      workerList.forEach((worker) => worker.close());
      programs.forEach((program) => program.signal('SIGCONT'));
      programs.forEach((program) => program.signal('SIGKILL'));
      while (programs.some((program) => program.isRunning())) {
        // eslint-disable-next-line no-await-in-loop -- waits for the ends of the processes
        await sleep(20);
      }
      store.close();
      if (process.env.KEEP === undefined) await rm(folder, { recursive: true, force: true });
    },
  };
}

/** Waits until a condition holds; returns whether it did in time. */
export async function until(condition, withinMs, everyMs = 50) {
  const endMs = performance.now() + withinMs;
  while (performance.now() < endMs) {
    // eslint-disable-next-line no-await-in-loop -- looks again and again
    if (await condition()) return true;
    // eslint-disable-next-line no-await-in-loop -- looks again and again
    await sleep(everyMs);
  }
  return false;
}

/** Waits until all entries are ready. */
export function untilReady(site, withinMs = 15_000) {
  return until(async () => {
    const answers = await Promise.all(
      site.entries.map((_, index) =>
        call(site.readyOf(index), 'GET', '/bronzeyoke/readyz', undefined, 500),
      ),
    );
    return answers.every((answer) => answer?.status === 200);
  }, withinMs);
}

/** A client: calls an entry, and tries others under the same id after no answer, 502 or 504. */
export async function clientCall(
  site,
  method,
  path,
  body,
  { entry = 0, tries = 4, timeoutMs = 3_000 } = {},
) {
  const answer = await call(site.frontOf(entry), method, path, body, timeoutMs, {
    host: 'front.example',
    'deadline-ms': String(timeoutMs),
  });
  site.record({ what: 'answer', method, path, entry, status: answer?.status, body: answer?.body });
  const isSettled = answer !== undefined && answer.status !== 502 && answer.status !== 504;
  if (isSettled || tries <= 1) return answer;
  await sleep(200);
  return clientCall(site, method, path, body, { entry: entry + 1, tries: tries - 1, timeoutMs });
}

/** Returns a job id. */
export function newId() {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('');
}
