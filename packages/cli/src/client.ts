import type { Readable } from 'node:stream';
import { request } from 'undici';
import type { CollectFault } from '@bronzeyoke/decoding';
import {
  acceptValue,
  collectBytes,
  decodeJson,
  describeDecodeFault,
  heapCostLimit,
} from '@bronzeyoke/decoding';
import type { CliSettings } from '@bronzeyoke/settings';
import type { Result } from '@bronzeyoke/types';
import { BYTES_PER_MB, fail, formatAddress, succeed } from '@bronzeyoke/types';
import { z } from 'zod';
import type { CliFault } from './fault';

/** Error codes of connections that failed before the request was sent. */
const NOT_SENT: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Longest answer that is read, and the most memory that decoding it may take. */
const MAX_ANSWER_BYTES = 64 * BYTES_PER_MB;
const MAX_ANSWER_COST_BYTES = 512 * BYTES_PER_MB;

type TooLong = Extract<CollectFault, { readonly kind: 'tooLong' }>;

const problemSchema = z.object({
  type: z.string(),
  title: z.string(),
  detail: z.string(),
  currentNumber: z.number().optional(),
});

/** Address of an entry. */
export type EntryEndpoint = CliSettings['entries'][number];

/** A request to an entry. */
export interface CliRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
}

/** Client of the entries in the settings. */
export interface Client {
  readonly entries: readonly EntryEndpoint[];
  /** Calls the entries in order until one of them handles the request. */
  readonly call: (cliRequest: CliRequest) => Promise<Result<unknown, CliFault>>;
  /** Calls one entry. */
  readonly callEntry: (
    entry: EntryEndpoint,
    cliRequest: CliRequest,
  ) => Promise<Result<unknown, CliFault>>;
}

function errorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : 'unknown error';
}

/** Reads the body of an answer. Rejects with the cause when it breaks off. */
function readAnswer(stream: Readable): Promise<Result<Buffer, TooLong>> {
  return new Promise((resolve, reject) => {
    collectBytes(stream, MAX_ANSWER_BYTES, (bytes) => {
      if (bytes.ok) {
        resolve(bytes);
        return;
      }
      const { failure } = bytes;
      if (failure.kind === 'tooLong') resolve(fail(failure));
      else reject(failure.cause);
    });
  });
}

function decodeFault(status: number, bytes: Buffer): CliFault {
  const decoded = decodeJson(bytes);
  const answer = decoded.ok ? acceptValue(problemSchema, decoded.value) : undefined;
  if (answer === undefined) return { kind: 'refused', status, problem: `status ${status}` };
  const { type, title, detail, currentNumber } = answer;
  const problem = `${title} (${detail})`;
  if (type.endsWith(':conflict') && currentNumber !== undefined) {
    return { kind: 'conflict', problem, currentNumber };
  }
  return type.endsWith(':outcome-unknown')
    ? { kind: 'unknownOutcome', problem }
    : { kind: 'refused', status, problem };
}

/** Decodes an answer. One that is not JSON is undefined, which no schema accepts. */
function decodeAnswer(bytes: Buffer): Result<unknown, CliFault> {
  const decoded = decodeJson(bytes, heapCostLimit(MAX_ANSWER_COST_BYTES));
  if (decoded.ok) return succeed(decoded.value);
  if (decoded.failure.kind === 'unreadable') return succeed(undefined);
  const problem = `the answer ${describeDecodeFault(decoded.failure)}`;
  return fail({ kind: 'unknownOutcome', problem });
}

/** Returns whether to call the next entry: this one was not reached, or did nothing. */
function shouldTryNext(fault: CliFault): boolean {
  return fault.kind === 'unreachable' || (fault.kind === 'refused' && fault.status === 503);
}

/** Creates a client that sends requests with the given bearer token, if any. */
export function createClient(settings: CliSettings, token: string | undefined): Client {
  const { entries, timeoutMs } = settings;

  const callEntry: Client['callEntry'] = async (entry, cliRequest) => {
    const { method, path, body } = cliRequest;
    const host = entry.host.includes(':') ? `[${entry.host}]` : entry.host;
    const untilAnswer = new AbortController();
    const timeout = setTimeout(() => untilAnswer.abort(), timeoutMs);
    try {
      const response = await request(`http://${host}:${entry.port}${path}`, {
        method,
        headers: {
          ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
        signal: untilAnswer.signal,
        bodyTimeout: timeoutMs,
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      // A long answer may take its time on a narrow link; from here on only pauses in it are limited.
      clearTimeout(timeout);
      const bytes = await readAnswer(response.body);
      if (!bytes.ok) {
        const problem = `the answer is longer than ${bytes.failure.limitBytes} bytes`;
        return fail({ kind: 'unknownOutcome', problem });
      }
      return response.statusCode < 300
        ? decodeAnswer(bytes.value)
        : fail(decodeFault(response.statusCode, bytes.value));
    } catch (error) {
      const code = errorCode(error);
      // A request that was sent may have taken effect; only reads are safe to send again.
      return NOT_SENT.has(code) || method === 'GET'
        ? fail({ kind: 'unreachable', tried: [formatAddress(entry)] })
        : fail({
            kind: 'unknownOutcome',
            problem: `the connection to ${formatAddress(entry)} failed with ${code}`,
          });
    } finally {
      clearTimeout(timeout);
    }
  };

  const callFrom = async (
    index: number,
    cliRequest: CliRequest,
    tried: readonly string[],
    lastFault: CliFault,
  ): Promise<Result<unknown, CliFault>> => {
    const entry = entries[index];
    if (entry === undefined)
      return fail(lastFault.kind === 'unreachable' ? { ...lastFault, tried } : lastFault);
    const result = await callEntry(entry, cliRequest);
    if (result.ok || !shouldTryNext(result.failure)) return result;
    const fault = lastFault.kind === 'refused' ? lastFault : result.failure;
    return callFrom(index + 1, cliRequest, [...tried, formatAddress(entry)], fault);
  };

  return {
    entries,
    callEntry,
    call: (cliRequest) => callFrom(0, cliRequest, [], { kind: 'unreachable', tried: [] }),
  };
}
