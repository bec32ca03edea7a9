import type { Address } from '@bronzeyoke/types';
import { formatAddress, parseAddress } from '@bronzeyoke/types';
import type { StandinPlatform } from '../platform/test/standin';
import { startPlatform } from '../platform/test/standin';
import type { SoakWorker } from './heartbeat';
import { createHeartbeat, sendHeartbeat } from './heartbeat';
import { CRASH_DELAY_MS, isCrashingTask, workMsOf } from './jobs';
import { claimLoopbackRange } from './loopback';
import { startOddWriter } from './oddwriter';
import type { Program, Routes } from './program';
import { createProgram } from './program';
import type { Proxy } from './proxy';
import { startProxy } from './proxy';
import type { Hop, SoakObservation } from './types';

const HEARTBEAT_INTERVAL_MS = 400;

/** A proxy on a hop. The failure domain is that of the program that connects, or accepts callers. */
export interface SoakLink {
  readonly hop: Hop;
  readonly domain: number;
  readonly proxy: Proxy;
}

/** A program with its failure domain. */
export interface SoakNode {
  readonly program: Program;
  readonly domain: number;
}

/** Programs, stand-ins and links of a soak run. */
export interface SoakSite {
  readonly store: StandinPlatform;
  readonly workers: readonly SoakWorker[];
  readonly nodes: readonly SoakNode[];
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
  /** Failure domains, over which entries and workers are spread. */
  readonly domains: number;
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
    seeds: hosts.map(formatAddress),
    graceS: 4,
    maxLeaseMs: 10_000,
    holderLeaseMs: 3_000,
    statusS: 120,
  };
  /** Starts the proxies of a program's connections to entries. */
  const startRoutes = async (hop: Hop, domain: number, others: readonly Address[]) => {
    const links = await Promise.all(
      others.map((other) => startLink(hop, domain, formatAddress(other))),
    );
    const pairs = links.map(({ proxy }, index) => [
      formatAddress(others[index] ?? { host: '', port: 0 }),
      proxy.address,
    ]);
    return { links, routes: Object.fromEntries(pairs) as Routes };
  };
  const entries = await Promise.all(
    hosts.map(async ({ host }, index) => {
      const domain = index % size.domains;
      const name = `entry-${index + 1}`;
      const front = nextAddress();
      const storeLink = await startLink('entryStore', domain, store.address);
      const frontLink = await startLink('callerEntry', domain, front);
      const others = hosts.filter((other) => other.host !== host);
      const { links: entryLinks, routes } = await startRoutes('entryEntry', domain, others);
      const program = await createProgram(
        bundle,
        folder,
        {
          ...common,
          name,
          role: 'entry',
          host,
          domain: `zone-${domain}`,
          store: storeLink.proxy.address,
          callers: front,
        },
        observeExit(name),
        routes,
      );
      return {
        program,
        domain,
        links: [storeLink, frontLink, ...entryLinks],
        front: frontLink.proxy.address,
      };
    }),
  );
  const agents = await Promise.all(
    Array.from({ length: size.workers }, async (_, index) => {
      const id = `w-${index}`;
      const name = `agent-${index + 1}`;
      const platform = await startPlatform((event) => {
        if (event.kind === 'started' && isCrashingTask(event.task)) {
          const { task } = event;
          // A stop or another crash may have ended the run before.
          setTimeout(() => {
            if (platform.worker().runs.has(task)) platform.crash();
          }, CRASH_DELAY_MS);
        }
        observe({ ...event, atMs: nowMs(), worker: id });
      }, workMsOf);
      const domain = index % size.domains;
      const storeLink = await startLink('agentStore', domain, store.address);
      const workerLink = await startLink('agentWorker', domain, platform.address);
      const heartbeatAddress = nextAddress();
      const heartbeatLink = await startLink('workerAgent', domain, heartbeatAddress);
      const { links: entryLinks, routes } = await startRoutes('agentEntry', domain, hosts);
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
        routes,
      );
      const timer = setInterval(() => {
        // A failed heartbeat is not retried: the next one follows after the interval.
        const body = JSON.stringify(createHeartbeat(worker, 'ready'));
        sendHeartbeat(heartbeatLink.proxy.address, id, body).catch(() => undefined);
      }, HEARTBEAT_INTERVAL_MS);
      const links = [storeLink, workerLink, heartbeatLink, ...entryLinks];
      return { program, domain, worker, timer, heartbeatAddress, links };
    }),
  );
  const links = [...entries, ...agents].flatMap((node) => node.links);
  const nodes = [...entries, ...agents];
  nodes.forEach(({ program }) => program.send('start'));
  const oddWriter = startOddWriter(
    store,
    agents.map(({ heartbeatAddress }) => heartbeatAddress),
    agents.map(({ worker }) => worker.id),
  );
  return {
    store,
    workers: agents.map(({ worker }) => worker),
    nodes,
    links,
    entryAddresses: entries.map(({ front }) => front),
    close: () => {
      oddWriter.stop();
      agents.forEach(({ timer }) => clearInterval(timer));
      nodes.forEach(({ program }) => program.send('kill'));
      links.forEach(({ proxy }) => proxy.close());
      range.release();
      agents.forEach(({ worker }) => worker.platform.close());
      store.close();
    },
  };
}
