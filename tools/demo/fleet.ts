import { createHttpUpstream, startAgent } from '@bronzeyoke/agent';
import type { RunningAgent } from '@bronzeyoke/agent';
import type { HttpTable } from '@bronzeyoke/adapters';
import { createHttpTable, createHttpWorker } from '@bronzeyoke/adapters';
import type { RunningEntry } from '@bronzeyoke/entry';
import { startEntry } from '@bronzeyoke/entry';
import type { StandinTable, StandinUpstream, StandinWorker } from '@bronzeyoke/standins';
import {
  createWorkerModel,
  startTable,
  startUpstream,
  startWorker,
  behaviourFromPayload,
} from '@bronzeyoke/standins';
import type { DemoSite } from './sites';

/** Address on which all parts of the demonstration listen. */
export const HOST = '127.0.0.1';

const ENTRY_COUNT = 2;
const TABLE_CONNECTIONS = 8;

/** A worker: its stand-ins for the worker service and the upstream, and its agent. */
export interface DemoWorker {
  readonly name: string;
  readonly domain: string;
  readonly workerService: StandinWorker;
  readonly upstream: StandinUpstream;
  readonly agent: RunningAgent;
}

/** A running deployment. */
export interface DemoFleet {
  readonly site: DemoSite;
  readonly table: StandinTable;
  readonly clients: readonly HttpTable[];
  readonly entries: readonly RunningEntry[];
  readonly workers: readonly DemoWorker[];
}

function printError(error: unknown): void {
  process.stderr.write(`${error instanceof Error ? (error.stack ?? '') : String(error)}\n`);
}

async function startFleetWorker(
  site: DemoSite,
  index: number,
  entries: readonly RunningEntry[],
): Promise<DemoWorker> {
  const domain = site.domains[index % site.domains.length] ?? '';
  const name = `w${String(index + 1).padStart(2, '0')}`;
  const upstream = await startUpstream(HOST, 0);
  const workerService = await startWorker(
    HOST,
    0,
    createWorkerModel(site.worker, behaviourFromPayload),
  );
  const agent = startAgent({
    profile: {
      worker: name,
      domain,
      region: site.region,
      rack: `rack-${Math.floor(index / site.workersPerRack) + 1}`,
      service: site.service,
      slots: site.slots,
      connections: site.connections,
      total: site.worker,
    },
    entries: entries.map(({ agentPort }) => ({ host: HOST, port: agentPort })),
    upstream: createHttpUpstream({
      host: HOST,
      port: upstream.port,
      connections: site.connections,
    }),
    worker: createHttpWorker({ host: HOST, port: workerService.port }),
    onError: printError,
  });
  return { name, domain, workerService, upstream, agent };
}

/** Starts a deployment with embedded stand-ins for the platform, the workers and the upstreams. */
export async function startFleet(site: DemoSite): Promise<DemoFleet> {
  const table = await startTable(HOST, 0);
  const clients = Array.from({ length: ENTRY_COUNT }, () =>
    createHttpTable({ host: HOST, port: table.port, connections: TABLE_CONNECTIONS }),
  );
  const entries = await Promise.all(
    clients.map((client, index) =>
      startEntry({
        domain: site.domains[index] ?? '',
        host: HOST,
        callerPort: 0,
        agentPort: 0,
        table: client,
        onError: printError,
        onFailure: () => undefined,
      }),
    ),
  );
  const workers = await Promise.all(
    Array.from({ length: site.workerCount }, (_, index) => startFleetWorker(site, index, entries)),
  );
  return { site, table, clients, entries, workers };
}

/** Stops a deployment: agents first, so that they can hand their tasks over. */
export async function stopFleet(fleet: DemoFleet): Promise<void> {
  fleet.workers.forEach(({ agent }) => agent.stop());
  await Promise.all(fleet.workers.map(({ agent }) => agent.stopped));
  fleet.entries.forEach((entry) => entry.stop());
  await Promise.all(fleet.entries.map((entry) => entry.stopped));
  await Promise.all(fleet.clients.map((client) => client.close()));
  await Promise.all(
    fleet.workers.flatMap(({ workerService, upstream }) => [
      workerService.close(),
      upstream.close(),
    ]),
  );
  await fleet.table.close();
}
