import { request } from 'undici';
import type { CliSettings } from '@bronzeyoke/settings';
import type { Result } from '@bronzeyoke/types';
import { fail, succeed } from '@bronzeyoke/types';
import { z } from 'zod';
import type { CliFault } from './fault';

/** Errors that prove that the request was not sent. */
const NOT_SENT: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const problemSchema = z.object({
  type: z.string(),
  title: z.string(),
  detail: z.string(),
  currentNumber: z.number().optional(),
});

/** Address of an entry. */
export type EntryAddress = CliSettings['entries'][number];

/** A request to an entry. */
export interface CliRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
}

/** Sends requests to the entries. */
export interface Client {
  readonly entries: readonly EntryAddress[];
  /** Tries the entries in order until one gives an answer that counts. */
  readonly call: (wanted: CliRequest) => Promise<Result<unknown, CliFault>>;
  /** Asks one entry. */
  readonly callEntry: (
    entry: EntryAddress,
    wanted: CliRequest,
  ) => Promise<Result<unknown, CliFault>>;
}

function addressText(entry: EntryAddress): string {
  return `${entry.host}:${entry.port}`;
}

function errorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : 'unknown error';
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function faultOf(status: number, text: string): CliFault {
  const parsed = problemSchema.safeParse(parseJson(text));
  if (!parsed.success) return { kind: 'refused', status, problem: `status ${status}` };
  const { type, title, detail, currentNumber } = parsed.data;
  const problem = `${title} (${detail})`;
  if (type.endsWith(':conflict') && currentNumber !== undefined) {
    return { kind: 'conflict', problem, currentNumber };
  }
  return type.endsWith(':outcome-unknown')
    ? { kind: 'unknownOutcome', problem }
    : { kind: 'refused', status, problem };
}

/** Whether another entry may do better: this one was not reached, or it did nothing. */
function mayTryNext(fault: CliFault): boolean {
  return fault.kind === 'unreachable' || (fault.kind === 'refused' && fault.status === 503);
}

/** Makes a client. */
export function createClient(settings: CliSettings, token: string | undefined): Client {
  const { entries, timeoutMs } = settings;

  const callEntry: Client['callEntry'] = async (entry, wanted) => {
    const { method, path, body } = wanted;
    const host = entry.host.includes(':') ? `[${entry.host}]` : entry.host;
    try {
      const response = await request(`http://${host}:${entry.port}${path}`, {
        method,
        headers: {
          ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
        signal: AbortSignal.timeout(timeoutMs),
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      const text = await response.body.text();
      return response.statusCode < 300
        ? succeed(parseJson(text))
        : fail(faultOf(response.statusCode, text));
    } catch (error) {
      const code = errorCode(error);
      // A request that was sent may have taken effect; only reads are safe to send again.
      return NOT_SENT.has(code) || method === 'GET'
        ? fail({ kind: 'unreachable', tried: [addressText(entry)] })
        : fail({ kind: 'unknownOutcome', problem: `${addressText(entry)} ended it with ${code}` });
    }
  };

  const tryFrom = async (
    index: number,
    wanted: CliRequest,
    tried: readonly string[],
    last: CliFault,
  ): Promise<Result<unknown, CliFault>> => {
    const entry = entries[index];
    if (entry === undefined) return fail(last.kind === 'unreachable' ? { ...last, tried } : last);
    const result = await callEntry(entry, wanted);
    if (result.ok || !mayTryNext(result.failure)) return result;
    const next = last.kind === 'refused' ? last : result.failure;
    return tryFrom(index + 1, wanted, [...tried, addressText(entry)], next);
  };

  return {
    entries,
    callEntry,
    call: (wanted) => tryFrom(0, wanted, [], { kind: 'unreachable', tried: [] }),
  };
}
