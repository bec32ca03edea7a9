import { request } from 'undici';
import { freePort } from '../platform/test/port';
import type { StandinPlatform } from '../platform/test/standin';
import { startPlatform } from '../platform/test/standin';
import { CRASH_DELAY_MS, isCrashingTask, workMsOf } from './jobs';
import { startOddWriter } from './oddwriter';
import type { Program } from './program';
import { createProgram } from './program';
import type { Proxy } from './proxy';
import { startProxy } from './proxy';
import type { SoakObservation } from './types';

const HEARTBEAT_INTERVAL_MS = 400;
const HEARTBEAT_TIMEOUT_MS = 1_000;
const WORKERS_PER_DOMAIN = 2;
const AGENT_HOST = '127.0.0.1';

/** A worker's stand-in and the id in its heartbeats. */
export interface SoakWorker {
  readonly id: string;
  readonly platform: StandinPlatform;
}

/** Programs, stand-ins and links of a soak run. */
export interface SoakSite {
  readonly store: StandinPlatform;
  readonly workers: readonly SoakWorker[];
  readonly programs: readonly Program[];
  readonly links: readonly Proxy[];
  /** Addresses of the proxies through which callers reach the entries. */
  readonly entryAddresses: readonly string[];
  readonly close: () => void;
}

/** Creates the operators' configuration with a version. */
export function createConfig(version: number): object {
  const route = {
    name: 'r-1',
    host: 'front.example',
    prefix: '/jobs/',
    service: 'quoter',
    priority: 0,
    maxAttempts: 3,
    slackFactor: 2,
    targetDurationMs: 500,
  };
  return {
    version,
    routes: [route],
    services: [{ name: 'quoter', admissionCheck: true, standby: false }],
    limits: { maxBodyBytes: 10_000 },
  };
}

async function sendHeartbeat(
  worker: SoakWorker,
  address: string,
  heartbeatAddress: string,
): Promise<void> {
  const body = {
    service: 'quoter',
    addr: address,
    zone: `zone-${worker.id.slice(-1)}`,
    version: 'v1',
    slots: 8,
    state: 'ready',
    coldLeftMs: 0,
    capacity: { cpu: 4_000, memMb: 8_000, gpu: 0 },
    labels: ['a', 'r1'],
    seq: Date.now(),
    born: worker.platform.bornAtMs(),
  };
  const response = await request(`http://${heartbeatAddress}/bronzeyoke/instances/${worker.id}`, {
    method: 'PUT',
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS),
  });
  await response.body.dump();
}

/** Numbers of entries and workers of a site. */
export interface SiteSize {
  readonly entries: number;
  readonly workers: number;
}

/** Starts stand-ins and programs. Each program has its own proxies to the services that it calls. */
export async function startSite(
  bundle: string,
  folder: string,
  size: SiteSize,
  observe: (observation: SoakObservation) => void,
  nowMs: () => number,
): Promise<SoakSite> {
  const store = await startPlatform();
  store.put('op', 'config', createConfig(1));
  const observeExit =
    (program: string) =>
    (output: string): void =>
      observe({ kind: 'exited', atMs: nowMs(), program, output });
  const common = {
    agentPort: await freePort(),
    graceS: 4,
    maxLeaseMs: 10_000,
    holderLeaseMs: 3_000,
    statusS: 120,
  };
  const entries = await Promise.all(
    Array.from({ length: size.entries }, async (_, index) => {
      // Entries share a port number, so each has a loopback address of its own.
      const host = `127.0.0.${index + 2}`;
      const name = `entry-${index + 1}`;
      const storeLink = await startProxy(store.address);
      const front = `127.0.0.1:${await freePort()}`;
      const frontLink = await startProxy(front);
      const program = await createProgram(
        bundle,
        folder,
        {
          ...common,
          name,
          role: 'entry',
          host,
          domain: `zone-${index}`,
          store: storeLink.address,
          callers: front,
        },
        observeExit(name),
      );
      return { program, links: [storeLink, frontLink], front: frontLink.address };
    }),
  );
  const agents = await Promise.all(
    Array.from({ length: size.workers }, async (_, index) => {
      const id = `w-${index}`;
      const name = `agent-${index + 1}`;
      const platform = await startPlatform((event) => {
        const { kind, task } = event;
        if (kind === 'started' && isCrashingTask(task)) {
          // A stop or another crash may have ended the run before.
          setTimeout(() => {
            if (platform.worker().runs.has(task)) platform.crash();
          }, CRASH_DELAY_MS);
        }
        observe({ ...event, atMs: nowMs(), worker: id });
      }, workMsOf);
      const worker = { id, platform };
      const storeLink = await startProxy(store.address);
      const workerLink = await startProxy(platform.address);
      const heartbeatAddress = `127.0.0.1:${await freePort()}`;
      const program = await createProgram(
        bundle,
        folder,
        {
          ...common,
          name,
          role: 'agent',
          host: AGENT_HOST,
          domain: `zone-${Math.floor(index / WORKERS_PER_DOMAIN)}`,
          store: storeLink.address,
          heartbeats: heartbeatAddress,
        },
        observeExit(name),
      );
      const timer = setInterval(() => {
        // A failed heartbeat is not retried: the next one follows after the interval.
        sendHeartbeat(worker, workerLink.address, heartbeatAddress).catch(() => undefined);
      }, HEARTBEAT_INTERVAL_MS);
      return { program, worker, timer, heartbeatAddress, links: [storeLink, workerLink] };
    }),
  );
  const links = [...entries, ...agents].flatMap((node) => node.links);
  const programs = [...entries, ...agents].map(({ program }) => program);
  programs.forEach((program) => program.send('start'));
  const oddWriter = startOddWriter(
    store,
    agents.map(({ heartbeatAddress }) => heartbeatAddress),
    agents.map(({ worker }) => worker.id),
  );
  return {
    store,
    workers: agents.map(({ worker }) => worker),
    programs,
    links,
    entryAddresses: entries.map(({ front }) => front),
    close: () => {
      oddWriter.stop();
      agents.forEach(({ timer }) => clearInterval(timer));
      programs.forEach((program) => program.send('kill'));
      links.forEach((link) => link.close());
      agents.forEach(({ worker }) => worker.platform.close());
      store.close();
    },
  };
}
