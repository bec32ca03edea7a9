import { channel } from 'node:diagnostics_channel';
import { readFile } from 'node:fs/promises';
import type { Socket } from 'node:net';
import { createHttpTable } from '@bronzeyoke/adapters';
import { startAgent } from '@bronzeyoke/agent';
import { startEntry } from '@bronzeyoke/entry';
import type { WorkerPort } from '@bronzeyoke/ports';
import { startTable } from '@bronzeyoke/standins';

const HOST = '127.0.0.1';
const KB_BYTES = 1_024;

/** Role of a child process in the capacity measurement. */
export type CapacityRole =
  | { readonly kind: 'table' }
  | { readonly kind: 'entry'; readonly tablePort: number }
  | {
      readonly kind: 'agents';
      readonly agentPort: number;
      readonly first: number;
      readonly count: number;
    };

/** Resources that a process has used since it started. */
export interface Usage {
  readonly processorMs: number;
  readonly linkBytes: number;
  readonly residentMb: number;
  readonly privateMb: number;
  readonly transactions: number;
  readonly rowsWritten: number;
  readonly reads: number;
}

/** Message of a child process to the measurement. */
export type CapacityReport =
  | { readonly kind: 'ready'; readonly port: number }
  | { readonly kind: 'usage'; readonly usage: Usage };

/** A worker without tasks, so that the measurement has only the cost of its control. */
const idleWorker: WorkerPort = {
  attach: async () => ({ kind: 'done', value: [] }),
  start: async () => ({ kind: 'done', value: undefined }),
  renew: async () => ({ kind: 'done', value: undefined }),
  checkpoint: async () => ({ kind: 'refused', problem: 'unknownTask' }),
  throttle: async () => ({ kind: 'done', value: undefined }),
  stop: async () => ({ kind: 'done', value: undefined }),
  usage: async () => ({ kind: 'done', value: [] }),
  notices: async () => ({ kind: 'done', value: [] }),
};

const sockets: Socket[] = [];
let tableCounts = (): Pick<Usage, 'transactions' | 'rowsWritten' | 'reads'> => ({
  transactions: 0,
  rowsWritten: 0,
  reads: 0,
});

function recordSocket(message: unknown): void {
  sockets.push((message as { readonly socket: Socket }).socket);
}

function printError(error: unknown): void {
  process.stderr.write(`${String(error)}\n`);
}

async function memoryMb(): Promise<{ readonly residentMb: number; readonly privateMb: number }> {
  const text = await readFile('/proc/self/smaps_rollup', 'utf8');
  const kb = (name: string): number =>
    Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1] ?? 0);
  return {
    residentMb: kb('Rss') / KB_BYTES,
    privateMb: (kb('Private_Dirty') + kb('Private_Clean')) / KB_BYTES,
  };
}

async function measureUsage(): Promise<Usage> {
  const { user, system } = process.cpuUsage();
  const linkBytes = sockets.reduce(
    (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
    0,
  );
  return {
    processorMs: (user + system) / 1_000,
    linkBytes,
    ...(await memoryMb()),
    ...tableCounts(),
  };
}

function startAgents(agentPort: number, first: number, count: number): void {
  Array.from({ length: count }, (_, index) => first + index).forEach((number) =>
    startAgent({
      profile: {
        worker: `w${number}`,
        domain: `d${number % 4}`,
        region: `r${number % 2}`,
        rack: `k${Math.floor(number / 3)}`,
        service: 'quoter',
        slots: 8,
        connections: 64,
        total: { processorsMilli: 64_000, memoryMb: 250_000, accelerators: 2 },
      },
      entries: [{ host: HOST, port: agentPort }],
      upstream: { call: async () => ({ kind: 'notReached' }) },
      worker: idleWorker,
      onError: printError,
    }),
  );
}

async function run(role: CapacityRole): Promise<number> {
  switch (role.kind) {
    case 'table': {
      const table = await startTable(HOST, 0);
      tableCounts = table.counts;
      return table.port;
    }
    case 'entry': {
      channel('net.server.socket').subscribe(recordSocket);
      const table = createHttpTable({ host: HOST, port: role.tablePort, connections: 8 });
      const entry = await startEntry({
        domain: 'd0',
        host: HOST,
        callerPort: 0,
        agentPort: 0,
        table,
        onError: printError,
        onFailure: () => undefined,
      });
      return entry.agentPort;
    }
    case 'agents':
      channel('net.client.socket').subscribe(recordSocket);
      startAgents(role.agentPort, role.first, role.count);
      return 0;
  }
}

process.on('message', (message: CapacityRole | 'usage') => {
  const reply: Promise<CapacityReport> =
    message === 'usage'
      ? measureUsage().then((value) => ({ kind: 'usage', usage: value }))
      : run(message).then((port) => ({ kind: 'ready', port }));
  reply.then((report) => process.send?.(report)).catch(printError);
});
