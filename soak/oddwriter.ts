import { DENSE_SHAPES } from '@bronzeyoke/harness';
import { PARTITION } from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';
import type { StandinPlatform } from '../platform/test/standin';
import type { SoakWorker } from './heartbeat';
import { createHeartbeat, sendHeartbeat, sendLeave } from './heartbeat';
import type { OddMessages } from './types';

const INTERVAL_MS = 300;

const DEEP = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;

/** Odd rows by table and key. The operators' own rows are left alone. */
const ROWS: readonly (readonly [table: string, key: string, value: unknown])[] = [
  ['op', 'config/odd', { version: 1e308 }],
  ['op', 'evacuate/__proto__', null],
  ['job', '__proto__/job', { jobId: 1 }],
  ['job', 'odd/job', { jobId: 'odd', stages: [{ taskCount: 1e9 }] }],
  ['job', 'odd/cancel', 'x'.repeat(60_000)],
  ['progress', 'odd', { workers: [], stages: { '0.0': { done: [[0, 1e15]], tasks: [] } } }],
  ['notes', 'odd', { mean: 'large' }],
];

/** Whole heartbeats of later instances at an address where none is. */
function laterHeartbeats(): readonly string[] {
  const later = {
    service: 'quoter',
    addr: '127.0.0.1:9',
    zone: 'zone-0',
    version: 'v1',
    state: 'ready',
    seq: 1,
    born: Date.now(),
    capacity: { cpu: 4_000, memMb: 8_000, gpu: 0 },
  };
  return [later, { ...later, service: 'retired' }].map((heartbeat) => JSON.stringify(heartbeat));
}

/** Bodies of odd heartbeats: too deep, with numbers too large, with addresses that do not exist. */
const HEARTBEATS: readonly string[] = [
  DEEP,
  '{"service":"quoter","addr":"127.0.0.1:99999","zone":"z","state":"ready","seq":1,"born":1,"capacity":{}}',
  '{"service":"quoter","addr":"x","zone":"z","state":"ready","seq":1e308,"born":9e15,"capacity":{}}',
  '{"service":"quoter","addr":"127.0.0.1:9","zone":"z","state":"ready","seq":1,"born":1,"capacity":{"cpu":1e308}}',
  `{"labels":${DEEP}}`,
  '\u0000\u0001',
];

/** Longest heartbeat that has to be acknowledged, less the fields beside the list. */
const DENSE_BYTES = 4 * 1_048_576 - 256;

/** Heartbeats within the limit of bytes whose values would take many times as much memory. */
function denseHeartbeats(): readonly string[] {
  return Object.values(DENSE_SHAPES).map(
    (shape) =>
      `{"service":"quoter","addr":"127.0.0.1:9","zone":"z","state":"ready","seq":1,"born":1,` +
      `"capacity":{},"labels":${shape(DENSE_BYTES)}}`,
  );
}

/** Writes odd rows and heartbeats, one of each in turn, until it is stopped. */
export function startOddWriter(
  store: StandinPlatform,
  heartbeatAddresses: readonly string[],
  workerIds: readonly string[],
): { readonly stop: () => void } {
  const state = { count: 0 };
  const dense = denseHeartbeats();
  const timer = setInterval(() => {
    const { count } = state;
    state.count += 1;
    const [table, key, value] = ROWS[count % ROWS.length] ?? [];
    if (table !== undefined && key !== undefined) {
      store.put(table, key, value, table === 'op' ? '' : PARTITION);
    }
    const bodies = [...HEARTBEATS, ...dense, ...laterHeartbeats()];
    const body = bodies[count % bodies.length] ?? '';
    const address = heartbeatAddresses[count % heartbeatAddresses.length];
    if (address === undefined) return;
    // The agent may be down; the next one gets the next heartbeat.
    const ids = ['odd-0', 'odd-1', ...workerIds];
    sendHeartbeat(address, ids[count % ids.length] ?? '', body).catch(() => undefined);
  }, INTERVAL_MS);
  return { stop: () => clearInterval(timer) };
}

/** Sends an agent messages that another writer makes of its live worker. */
export async function sendOddMessages(worker: SoakWorker, messages: OddMessages): Promise<void> {
  const { agentAddress, id } = worker;
  const drain = (): Promise<void> =>
    sendHeartbeat(agentAddress, id, JSON.stringify(createHeartbeat(worker, 'draining')));
  switch (messages) {
    case 'draining':
      return drain();
    case 'leave':
      return sendLeave(agentAddress, id);
    case 'announcedLeave':
      await drain();
      return sendLeave(agentAddress, id);
    default:
      return assertNever(messages);
  }
}
