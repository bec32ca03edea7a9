import type { Readable } from 'node:stream';
import { Pool } from 'undici';
import { z } from 'zod';
import { acceptValue, collectBytes, decodeJson, listOf } from '@bronzeyoke/decoding';
import { BYTES_PER_MB } from '@bronzeyoke/types';
import type { ReadResult, TablePort } from '@bronzeyoke/ports';

const REQUEST_TIMEOUT_MS = 2_000;

/** Longest answer that is read; a longer one counts as lost. */
const MAX_ANSWER_BYTES = 16 * BYTES_PER_MB;

const rows = listOf(z.object({ key: z.string(), version: z.int().min(1), value: z.unknown() }));
const readSchema = z.object({ kind: z.literal('rows'), rows });
const commitSchema = z.object({ kind: z.enum(['committed', 'conflict']), rows });

/** Codes of errors that prove that the request was not sent. */
const NOT_SENT: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Address of the table service, with the number of connections to it. */
export interface TableOptions {
  readonly host: string;
  readonly port: number;
  readonly connections: number;
}

/** Table port whose connections have to be closed. */
export interface HttpTable extends TablePort {
  readonly close: () => Promise<void>;
}

type Reply =
  | { readonly kind: 'body'; readonly body: unknown }
  | { readonly kind: 'refused' }
  | { readonly kind: 'lost' };

/** Reads the body of an answer; one that is too long or cannot be decoded is lost. */
function readReply(stream: Readable): Promise<Reply> {
  return new Promise((resolve) => {
    collectBytes(stream, MAX_ANSWER_BYTES, (bytes) => {
      const body = bytes.ok ? decodeJson(bytes.value) : bytes;
      resolve(body.ok ? { kind: 'body', body: body.value } : { kind: 'lost' });
    });
  });
}

function errorCode(error: unknown): string {
  if (typeof error !== 'object' || error === null || !('code' in error)) return '';
  return typeof error.code === 'string' ? error.code : '';
}

/** Creates the adapter that calls the table service over HTTP with JSON bodies. */
export function createHttpTable(options: TableOptions): HttpTable {
  const pool = new Pool(`http://${options.host}:${options.port}`, {
    connections: options.connections,
    headersTimeout: REQUEST_TIMEOUT_MS,
    bodyTimeout: REQUEST_TIMEOUT_MS,
    connectTimeout: REQUEST_TIMEOUT_MS,
  });

  const call = async (path: string, body: unknown): Promise<Reply> => {
    try {
      const response = await pool.request({
        path,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
      });
      if (response.statusCode !== 200) {
        await response.body.dump();
        return { kind: response.statusCode === 503 ? 'refused' : 'lost' };
      }
      return await readReply(response.body);
    } catch (error) {
      return { kind: NOT_SENT.has(errorCode(error)) ? 'refused' : 'lost' };
    }
  };

  const read = async (path: string, body: unknown): Promise<ReadResult> => {
    const reply = await call(path, body);
    const rowsRead = reply.kind === 'body' ? acceptValue(readSchema, reply.body) : undefined;
    return rowsRead ?? { kind: 'unavailable' };
  };

  return {
    read: (keys) => read('/read', { keys }),
    scan: (prefix, afterKey, limit) => read('/scan', { prefix, afterKey, limit }),
    commit: async (transaction) => {
      const reply = await call('/commit', transaction);
      if (reply.kind === 'refused') return { kind: 'unavailable' };
      const result = reply.kind === 'body' ? acceptValue(commitSchema, reply.body) : undefined;
      return result ?? { kind: 'unknown' };
    },
    close: () => pool.close(),
  };
}
