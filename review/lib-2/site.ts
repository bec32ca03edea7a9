/** Entries, agents with their workers, the store and the operator of a small deployment. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Bed } from './bed';
import type { Program, Settings } from './program';
import { Proxy } from './proxy';
import { Store } from './store';
import type { WorkerEvent, TaskBehaviour } from './worker';
import { Worker } from './worker';
import type { LinkShape } from './proxy';
import type { Answer } from './http';
import { send } from './http';

/** Heartbeats of dcm-sched. */
const HEARTBEAT_MS = 1_100;
const HOLD_MAX_MS = 10_000;

/** An entry with the address of its clients, and the proxy of its link to the store. */
export interface Entry {
  readonly program: Program;
  readonly zone: string;
  readonly front: string;
  readonly ready: string;
  readonly storeLink: Proxy;
}

/** A worker with the agent beside it. */
export interface Side {
  readonly program: Program;
  readonly zone: string;
  worker: Worker;
}

/** Options of a site. */
export interface SiteOptions {
  /** Zone of each entry and of each worker. */
  readonly entries: readonly string[];
  readonly workers: readonly string[];
  readonly capacity: { readonly cpu: number; readonly memMb: number; readonly gpu: number };
  readonly behaviourOf: (task: string) => TaskBehaviour;
  readonly onWorkerEvent: (event: WorkerEvent) => void;
  readonly stopMs?: number;
  readonly entryLink?: LinkShape;
  readonly entrySettings?: Settings;
}

/** Names of the one queue of a site. */
export const QUEUE = { name: 'r-1', host: 'front.example', prefix: '/jobs/', service: 'quoter' };

/** Returns a route of the operator's configuration, with the fields that `fleetbench wire` shows. */
export function route(name: string, prefix: string): object {
  return {
    name,
    host: QUEUE.host,
    prefix,
    kind: 'mutating',
    timeoutMs: 3_005,
    targetDurationMs: 2_504,
    priority: 0,
    service: QUEUE.service,
    maxAttempts: 4,
    slackFactor: 2.2,
  };
}

/** Returns a configuration with the queue and some further routes that nobody uses. */
export function config(version: number, idleRoutes = 0): object {
  const idle = Array.from({ length: idleRoutes }, (_, index) =>
    route(`r-i${String(index).padStart(6, '0')}`, `/i${String(index).padStart(6, '0')}/`),
  );
  return {
    version,
    routes: [route(QUEUE.name, QUEUE.prefix), ...idle],
    services: [{ name: QUEUE.service, admissionCheck: true, standby: false }],
    limits: { maxBodyBytes: 262_144 },
  };
}

/** A running site. */
export class Site {
  readonly bed: Bed;

  readonly store: Store;

  readonly entries: Entry[] = [];

  readonly sides: Side[] = [];

  private readonly options: SiteOptions;

  constructor(bed: Bed, options: SiteOptions) {
    this.bed = bed;
    this.options = options;
    this.store = new Store(({ reason }) => bed.note(`the store refuses a transaction: ${reason}`));
  }

  /** Starts everything. */
  async start(configuration: object): Promise<void> {
    const { bed, store, options } = this;
    const { basePort } = bed;
    const storeHost = await bed.host();
    bed.onClose(await store.listen(storeHost, basePort));
    store.put('op', 'config', configuration);
    const hosts = await options.entries.reduce<Promise<string[]>>(
      async (known, _) => [...(await known), await bed.host()],
      Promise.resolve([]),
    );
    const seeds = hosts.slice(0, 3).map((host) => `${host}:${basePort + 2}`);
    const storeAddress = `${storeHost}:${basePort}`;
    await Promise.all(
      hosts.map(async (host, index) => {
        const zone = options.entries[index] ?? '';
        const storeLink = new Proxy(storeAddress, options.entryLink);
        bed.onClose(await storeLink.listen(host, basePort + 5));
        const fields = bed.settings(
          `edge-${zone}-${index + 1}`,
          host,
          zone,
          seeds,
          `${host}:${basePort + 5}`,
          options.entrySettings,
        );
        this.entries[index] = {
          program: bed.program('entry', fields),
          zone,
          front: `${host}:${basePort}`,
          ready: `${host}:${basePort + 1}`,
          storeLink,
        };
      }),
    );
    await options.workers.reduce(async (before, zone, index) => {
      await before;
      const host = await bed.host();
      const fields = bed.settings(`side-${zone}-${index + 1}`, host, zone, seeds, storeAddress, {
        limits: { cpuShare: 0.405, cores: 1, memoryMb: 218, maxFds: 4_096, linkMbps: 1_000 },
      });
      const worker = new Worker({
        id: `i-${index + 1}`,
        service: QUEUE.service,
        zone,
        address: `${host}:${basePort}`,
        agent: `${host}:${basePort + 2}`,
        capacity: options.capacity,
        heartbeatMs: HEARTBEAT_MS,
        holdMaxMs: HOLD_MAX_MS,
        stopMs: options.stopMs ?? 100,
        behaviourOf: options.behaviourOf,
        onEvent: options.onWorkerEvent,
      });
      this.sides[index] = { program: bed.program('agent', fields), zone, worker };
    }, Promise.resolve());
    this.entries.forEach(({ program }) => program.start());
    this.sides.forEach(({ program }) => program.start());
    await Promise.all(this.sides.map(({ worker }) => worker.start()));
    bed.onClose(() => this.sides.forEach(({ worker }) => worker.stop()));
  }

  /** Lets a worker crash with all that it runs, and start again after a time under its id. */
  async crash(id: string, downMs: number): Promise<void> {
    const side = this.sides.find(({ worker }) => worker.options.id === id);
    if (side === undefined) return;
    side.worker.crash();
    await sleep(downMs);
    side.worker = new Worker(side.worker.options);
    await side.worker.start();
  }

  /** Returns the entry that writes most often to the store under a condition. */
  leader(): Entry | undefined {
    const host = this.store.busiestWriter();
    return this.entries.find(({ front }) => front.split(':')[0] === host);
  }

  /** Sends a request of a client to an entry. */
  // eslint-disable-next-line class-methods-use-this -- clients belong to the site
  request(entry: Entry, method: string, id: string, body?: unknown): Promise<Answer> {
    return send({
      address: entry.front,
      method,
      path: `${QUEUE.prefix}${id}`,
      headers: { host: QUEUE.host, 'deadline-ms': '3000' },
      ...(body === undefined ? {} : { body }),
    });
  }
}
