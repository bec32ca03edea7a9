import { parseAddress } from '@bronzeyoke/types';
import type { StandinPlatform } from '../platform/test/standin';
import { startPlatform } from '../platform/test/standin';
import type { SoakWorker } from './heartbeat';
import { createHeartbeat, sendHeartbeat } from './heartbeat';
import { CRASH_DELAY_MS, isCrashingTask, workMsOf } from './jobs';
import { claimLoopbackRange } from './loopback';
import { startOddWriter } from './oddwriter';
import type { Program } from './program';
import { createProgram } from './program';
import type { Proxy } from './proxy';
import { startProxy } from './proxy';
import type { Hop, SoakObservation } from './types';

const HEARTBEAT_INTERVAL_MS = 400;
const WORKERS_PER_DOMAIN = 2;

/** A proxy on a hop. The failure domain is that of the program that connects, or accepts callers. */
export interface SoakLink {
  readonly hop: Hop;
  readonly domain: number;
  readonly proxy: Proxy;
}

/** Programs, stand-ins and links of a soak run. */
export interface SoakSite {
  readonly store: StandinPlatform;
  readonly workers: readonly SoakWorker[];
  readonly programs: readonly Program[];
  readonly links: readonly SoakLink[];
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
  const range = await claimLoopbackRange();
  const { nextAddress } = range;
  const startLink = async (hop: Hop, domain: number, target: string): Promise<SoakLink> => ({
    hop,
    domain,
    proxy: await startProxy(target, nextAddress()),
  });
  const store = await startPlatform();
  store.put('op', 'config', createConfig(1));
  const observeExit =
    (program: string) =>
    (output: string): void =>
      observe({ kind: 'exited', atMs: nowMs(), program, output });
  // Entries share a port number, so each has a loopback address of its own.
  const hosts = Array.from(
    { length: size.entries },
    () => parseAddress(nextAddress()) ?? { host: '', port: 0 },
  );
  const agentPort = hosts[0]?.port ?? 0;
  const common = {
    agentPort,
    graceS: 4,
    maxLeaseMs: 10_000,
    holderLeaseMs: 3_000,
    statusS: 120,
  };
  const entries = await Promise.all(
    hosts.map(async ({ host }, index) => {
      const name = `entry-${index + 1}`;
      const front = nextAddress();
      const storeLink = await startLink('entryStore', index, store.address);
      const frontLink = await startLink('callerEntry', index, front);
      const program = await createProgram(
        bundle,
        folder,
        {
          ...common,
          name,
          role: 'entry',
          host,
          domain: `zone-${index}`,
          store: storeLink.proxy.address,
          callers: front,
        },
        observeExit(name),
      );
      return { program, links: [storeLink, frontLink], front: frontLink.proxy.address };
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
      const domain = Math.floor(index / WORKERS_PER_DOMAIN);
      const storeLink = await startLink('agentStore', domain, store.address);
      const workerLink = await startLink('agentWorker', domain, platform.address);
      const heartbeatAddress = nextAddress();
      const worker = {
        id,
        platform,
        address: workerLink.proxy.address,
        domain,
        agentAddress: heartbeatAddress,
      };
      const { host = '' } = parseAddress(heartbeatAddress) ?? {};
      const program = await createProgram(
        bundle,
        folder,
        {
          ...common,
          name,
          role: 'agent',
          host,
          domain: `zone-${domain}`,
          store: storeLink.proxy.address,
          heartbeats: heartbeatAddress,
        },
        observeExit(name),
      );
      const timer = setInterval(() => {
        // A failed heartbeat is not retried: the next one follows after the interval.
        sendHeartbeat(heartbeatAddress, id, JSON.stringify(createHeartbeat(worker, 'ready'))).catch(
          () => undefined,
        );
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
      links.forEach(({ proxy }) => proxy.close());
      range.release();
      agents.forEach(({ worker }) => worker.platform.close());
      store.close();
    },
  };
}
