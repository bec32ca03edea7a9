import { setTimeout as sleep } from 'node:timers/promises';
import { createGangs } from './gang';
import { call } from './http';
import type { Program } from './programs';
import { createPrograms, freePort } from './programs';
import type { CaseRecord } from './record';
import type { Store } from './store';
import { startStore } from './store';
import type { Behaviour, Worker } from './worker';
import { startWorker } from './worker';

/** Service and queue of the deployments of the cases. */
export const SERVICE = 'quoter';
export const HOST = 'front.example';
export const PREFIX = '/jobs/';

/** Loopback network of this process, so that cases which run side by side share no ports. */
const NETWORK = `127.${10 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;
const STORE_HOST = `${NETWORK}.250`;
const FIRST_SIDE = 101;
const ZONES = ['hobart', 'launceston', 'devonport', 'burnie'] as const;
const BOUNDS = { graceS: 6, holdMaxMs: 10_000, leaseMs: 3_000, status_s: 120 };
const READY_CHECK_MS = 100;

/** A side machine: its agent and its worker. */
export interface Side {
  readonly agent: Program;
  readonly worker: Worker;
  /** Address for the worker's heartbeats. */
  readonly control: string;
  readonly zone: string;
}

/** An edge machine. */
export interface Edge {
  readonly entry: Program;
  readonly front: string;
  readonly ready: string;
}

/** A running deployment. */
export interface Site {
  readonly store: Store;
  readonly edges: readonly Edge[];
  readonly sides: readonly Side[];
  /** Returns the edge whose process last wrote to the store under a condition: the leader. */
  readonly leader: () => Edge;
  readonly close: () => Promise<void>;
}

/** Size of a deployment and what its tasks do. */
export interface SiteOptions {
  readonly edges: number;
  readonly sides: number;
  readonly cpu: number;
  readonly memMb: number;
  readonly guards: boolean;
  readonly behaviourOf: (task: string, spec: string, attempt: number) => Behaviour;
  readonly maxAttempts?: number;
  readonly stopMs?: number;
}

/** Returns a configuration of the operator with one queue and one service. */
export function createConfig(version: number, { guards, maxAttempts = 4 }: SiteOptions): object {
  return {
    version,
    routes: [
      {
        name: 'r-1',
        host: HOST,
        prefix: PREFIX,
        kind: 'mutating',
        timeoutMs: 3_000,
        targetDurationMs: 1_000,
        priority: 0,
        service: SERVICE,
        maxAttempts,
        slackFactor: 2,
      },
    ],
    services: [
      {
        name: SERVICE,
        healthPath: '/healthz',
        maxConns: 64,
        protocol: 'h1',
        tls: false,
        coldStartS: 0,
        coldPerS: 0,
        admissionCheck: guards,
        standby: false,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 262_144,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

async function waitUntil(isMet: () => Promise<boolean>, withinMs: number): Promise<boolean> {
  if (await isMet()) return true;
  if (withinMs <= 0) return false;
  await sleep(READY_CHECK_MS);
  return waitUntil(isMet, withinMs - READY_CHECK_MS);
}

const START_WITHIN_MS = 15_000;

/** Starts a deployment, and waits until its entries are ready and its workers are known. */
export async function startSite(options: SiteOptions, record: CaseRecord): Promise<Site> {
  const { behaviourOf, cpu, memMb, guards } = options;
  const store = await startStore(STORE_HOST);
  store.put('op', 'config', createConfig(1, options));
  const programs = await createPrograms(record);
  const gangs = createGangs();
  const edgeHosts = Array.from({ length: options.edges }, (_, index) => `${NETWORK}.${index + 1}`);
  const firstPort = await freePort(edgeHosts[0] ?? STORE_HOST);
  const controlPort = await freePort(edgeHosts[0] ?? STORE_HOST);
  const fieldsOf = async (name: string, host: string, zone: string) => ({
    nodeName: name,
    ip: host,
    zone,
    portRange: [firstPort, await freePort(host)],
    seeds: edgeHosts.slice(0, 3).map((seed) => `${seed}:${controlPort}`),
    platform: { addr: store.address },
    limits: { cpuShare: 0.675, cores: 1, linkMbps: 1_000 },
    bounds: BOUNDS,
  });
  const zoneOf = (index: number): string => ZONES[index % ZONES.length] ?? ZONES[0];

  const edges = await Promise.all(
    edgeHosts.map(async (host, index): Promise<Edge> => {
      const [front, ready] = [`${host}:${await freePort(host)}`, `${host}:${await freePort(host)}`];
      const name = `edge-${index + 1}`;
      const fields = await fieldsOf(name, host, zoneOf(index));
      const listen = { front, ready, control: `${host}:${controlPort}` };
      const entry = await programs.add(name, 'entry', host, { ...fields, listen });
      return { entry, front, ready };
    }),
  );
  const sides = await Promise.all(
    Array.from({ length: options.sides }, async (_, index): Promise<Side> => {
      const host = `${NETWORK}.${FIRST_SIDE + index}`;
      const name = `side-${index + 1}`;
      const control = `${host}:${await freePort(host)}`;
      const fields = await fieldsOf(name, host, zoneOf(index));
      const agent = await programs.add(name, 'agent', host, { ...fields, listen: { control } });
      const worker = await startWorker({
        id: `i-${index + 1}`,
        host,
        service: SERVICE,
        zone: zoneOf(index),
        rack: `r1-${Math.floor(index / 3) + 1}`,
        cpu,
        memMb,
        guards,
        control,
        behaviourOf,
        ...(options.stopMs === undefined ? {} : { stopMs: options.stopMs }),
        record,
        gangs,
      });
      return { agent, worker, control, zone: zoneOf(index) };
    }),
  );
  const close = async (): Promise<void> => {
    await programs.close();
    sides.forEach(({ worker }) => worker.close());
    store.close();
  };
  [...edges.map(({ entry }) => entry), ...sides.map(({ agent }) => agent)].forEach((program) =>
    program.start(),
  );
  const isReady = async (): Promise<boolean> => {
    const answers = await Promise.all(
      edges.map(({ ready }) => call(ready, 'GET', '/bronzeyoke/readyz', { timeoutMs: 500 })),
    );
    return answers.every(({ status }) => status === 200);
  };
  const isStarted = await waitUntil(isReady, START_WITHIN_MS);
  const leader = (): Edge => {
    const row = store.read('leader', 'main', 'leader') as { readonly host?: string } | undefined;
    const found = edges.find(({ entry }) => entry.host === row?.host);
    if (found === undefined) throw new Error('no entry leads');
    return found;
  };
  if (!isStarted) {
    await close();
    throw new Error('the entries are not ready');
  }
  // Traffic starts 12 s after the machines; here they start faster.
  await sleep(4_000);
  record.add('ready', { leader: leader().entry.name });
  return { store, edges, sides, leader, close };
}
