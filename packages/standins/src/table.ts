import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { readJson } from './body';
import type { TableState } from './rows';
import { EMPTY_TABLE, commitRows, readRows, scanRows } from './rows';
import { listen, refuseRequest } from './server';

const key = z.string().min(1).max(1_000);
const commitSchema = z.strictObject({
  conditions: z.array(z.strictObject({ key, version: z.int().min(0) })),
  writes: z.array(
    z.discriminatedUnion('kind', [
      z.strictObject({ kind: z.literal('put'), key, value: z.unknown() }),
      z.strictObject({ kind: z.literal('delete'), key }),
    ]),
  ),
});
const readSchema = z.strictObject({ keys: z.array(key) });
const scanSchema = z.strictObject({
  prefix: z.string(),
  afterKey: z.string(),
  limit: z.int().min(1).max(10_000),
});

/** Faults of the stand-in. They can be changed while it runs. */
export interface TableFaults {
  readonly delayMs: number;
  /** Refuses every access without executing it. */
  readonly isDown: boolean;
  /** Executes transactions and closes the connection instead of replying. */
  readonly losesReplies: boolean;
}

/** Faults of a table that works normally. */
export const NO_TABLE_FAULTS: TableFaults = { delayMs: 0, isDown: false, losesReplies: false };

/** Number of accesses that the stand-in has executed, and of their rows. */
export interface TableCounts {
  readonly transactions: number;
  readonly rowsWritten: number;
  readonly reads: number;
  readonly rowsRead: number;
}

/** A running stand-in of the table service. */
export interface StandinTable {
  readonly port: number;
  readonly setFaults: (faults: TableFaults) => void;
  readonly state: () => TableState;
  readonly counts: () => TableCounts;
  readonly close: () => Promise<void>;
}

/** Starts a stand-in of the table service over HTTP, with its rows in memory. */
export async function startTable(host: string, port: number): Promise<StandinTable> {
  let faults = NO_TABLE_FAULTS;
  let state = EMPTY_TABLE;
  let counts: TableCounts = { transactions: 0, rowsWritten: 0, reads: 0, rowsRead: 0 };

  const countRead = (rows: number): void => {
    counts = { ...counts, reads: counts.reads + 1, rowsRead: counts.rowsRead + rows };
  };

  const executeAccess = (path: string, body: unknown): unknown => {
    if (path === '/commit') {
      const transaction = commitSchema.parse(body);
      const step = commitRows(state, transaction);
      state = step.state;
      const rowsWritten = step.result.kind === 'committed' ? transaction.writes.length : 0;
      counts = {
        ...counts,
        transactions: counts.transactions + 1,
        rowsWritten: counts.rowsWritten + rowsWritten,
      };
      return step.result;
    }
    if (path === '/scan') {
      const { prefix, afterKey, limit } = scanSchema.parse(body);
      const rows = scanRows(state, prefix, afterKey, limit);
      countRead(rows.length);
      return { kind: 'rows', rows };
    }
    const rows = readRows(state, readSchema.parse(body).keys);
    countRead(rows.length);
    return { kind: 'rows', rows };
  };

  const respond = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readJson(request);
    if (faults.delayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, faults.delayMs);
      });
    }
    if (faults.isDown) {
      response.writeHead(503).end();
      return;
    }
    const result = executeAccess(request.url ?? '', body);
    if (faults.losesReplies && request.url === '/commit') {
      response.destroy();
      return;
    }
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify(result));
  };

  const server = await listen({ respond, onFailure: refuseRequest }, host, port);
  return {
    port: server.port,
    setFaults: (next) => {
      faults = next;
    },
    state: () => state,
    counts: () => counts,
    close: server.close,
  };
}
