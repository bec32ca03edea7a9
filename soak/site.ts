import { request } from 'undici';
import { freePort } from '../platform/test/port';
import type { StandinPlatform } from '../platform/test/standin';
import { startPlatform } from '../platform/test/standin';
import type { Program } from './program';
import { createProgram } from './program';
import type { Proxy } from './proxy';
import { startProxy } from './proxy';
import type { Observation } from './types';

const WORK_MS = 250;
const BEAT_MS = 400;
const BEAT_TIMEOUT_MS = 1_000;
const MACHINES_A_DOMAIN = 2;
const CONTROL = '127.0.0.1';

/** A worker's stand-in, with its heartbeats. */
export interface SoakWorker {
  readonly id: string;
  readonly platform: StandinPlatform;
}

/** Everything that a soak runs against. */
export interface Site {
  readonly store: StandinPlatform;
  readonly workers: readonly SoakWorker[];
  readonly programs: readonly Program[];
  readonly links: readonly Proxy[];
  /** Addresses at which callers reach the entries. */
  readonly entryAddresses: readonly string[];
  readonly close: () => void;
}

/** The operators' configuration of a version. */
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

async function beat(worker: SoakWorker, address: string, control: string): Promise<void> {
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
  const response = await request(`http://${control}/bronzeyoke/instances/${worker.id}`, {
    method: 'PUT',
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(BEAT_TIMEOUT_MS),
  });
  await response.body.dump();
}

/** Sizes of a site. */
export interface SiteSize {
  readonly entries: number;
  readonly workers: number;
}

/** Starts stand-ins and programs. Each program has proxies of its own to what it calls. */
export async function startSite(
  bundle: string,
  folder: string,
  size: SiteSize,
  see: (sight: Observation) => void,
  nowMs: () => number,
): Promise<Site> {
  const store = await startPlatform();
  store.put('op', 'config', createConfig(1));
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
      const program = await createProgram(bundle, folder, {
        ...common,
        name,
        role: 'entry',
        host,
        domain: `zone-${index}`,
        store: storeLink.address,
        callers: front,
      });
      return { program, links: [storeLink, frontLink], front: frontLink.address };
    }),
  );
  const agents = await Promise.all(
    Array.from({ length: size.workers }, async (_, index) => {
      const id = `w-${index}`;
      const platform = await startPlatform(({ kind, task, attempt, end }) => {
        const run = { atMs: nowMs(), worker: id, task, attempt };
        see(kind === 'started' ? { kind, ...run } : { kind, ...run, end });
      }, WORK_MS);
      const worker = { id, platform };
      const storeLink = await startProxy(store.address);
      const workerLink = await startProxy(platform.address);
      const control = `127.0.0.1:${await freePort()}`;
      const program = await createProgram(bundle, folder, {
        ...common,
        name: `agent-${index + 1}`,
        role: 'agent',
        host: CONTROL,
        domain: `zone-${Math.floor(index / MACHINES_A_DOMAIN)}`,
        store: storeLink.address,
        heartbeats: control,
      });
      const timer = setInterval(() => {
        // A heartbeat that fails is sent again with the next one.
        beat(worker, workerLink.address, control).catch(() => undefined);
      }, BEAT_MS);
      return { program, worker, timer, links: [storeLink, workerLink] };
    }),
  );
  const links = [...entries, ...agents].flatMap((node) => node.links);
  const programs = [...entries, ...agents].map(({ program }) => program);
  programs.forEach((program) => program.send('start'));
  return {
    store,
    workers: agents.map(({ worker }) => worker),
    programs,
    links,
    entryAddresses: entries.map(({ front }) => front),
    close: () => {
      agents.forEach(({ timer }) => clearInterval(timer));
      programs.forEach((program) => program.send('kill'));
      links.forEach((link) => link.close());
      agents.forEach(({ worker }) => worker.platform.close());
      store.close();
    },
  };
}
