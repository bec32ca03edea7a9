import { createHash } from 'node:crypto';
import { z } from 'zod';
import { acceptValue } from '@bronzeyoke/decoding';
import type { CommitResult, ReadResult, Row, Transaction } from '@bronzeyoke/ports';
import type { CallerRequest } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import type { Attempt, Intent, IntentRow } from './types';

/** Commits of one intent, including the first, before the request is refused. */
const MAX_COMMITS = 3;

const rowSchema = z.object({
  requestId: z.string(),
  attemptId: z.string(),
  agentId: z.string(),
  fingerprint: z.string(),
  plannedAtWallMs: z.number(),
});

/** Result of a store access, as it concerns the intent. */
export type IntentResult =
  /** The row names the planned attempt. */
  | { readonly kind: 'own'; readonly version: number }
  /** The row names an attempt that another request planned. */
  | { readonly kind: 'other'; readonly row: IntentRow; readonly version: number }
  /** The key belongs to a request with different content. */
  | { readonly kind: 'reused' }
  | { readonly kind: 'unreadable' }
  /** The result is unknown and the row has to be read. */
  | { readonly kind: 'readBack' }
  /** The commit has not taken effect. Repeating it is harmless even if it takes effect later. */
  | { readonly kind: 'recommit' }
  | { readonly kind: 'unavailable' };

/** Returns the key of the row of a non-idempotent request. */
function intentKey(idempotencyKey: string): string {
  return `request/${idempotencyKey}`;
}

/** Hashes the content of a request without the headers, which differ between repeats. */
function fingerprintOf(request: CallerRequest): string {
  const head = JSON.stringify([request.service, request.method, request.path]);
  return createHash('sha256').update(head).update('\n').update(request.body).digest('hex');
}

/** Creates the intent of a new request, or undefined for an idempotent one. */
export function newIntent(request: CallerRequest): Intent | undefined {
  return request.idempotencyKey === undefined
    ? undefined
    : {
        key: intentKey(request.idempotencyKey),
        fingerprint: fingerprintOf(request),
        version: 0,
        callId: '',
        callCount: 0,
        committedAtMs: 0,
        commitCount: 0,
      };
}

/** Builds the transaction that makes the planned attempt the only one that may run. */
export function intentTransaction(intent: Intent, planned: Attempt): Transaction {
  const { key, version, fingerprint } = intent;
  const { requestId, attemptId, agentId, plannedAtWallMs } = planned;
  const value: IntentRow = { requestId, attemptId, agentId, fingerprint, plannedAtWallMs };
  return { conditions: [{ key, version }], writes: [{ kind: 'put', key, value }] };
}

function interpretRow(intent: Intent, planned: Attempt, row: Row | undefined): IntentResult {
  const isUnchanged = (row?.version ?? 0) === intent.version;
  if (row === undefined || isUnchanged) {
    return intent.commitCount < MAX_COMMITS ? { kind: 'recommit' } : { kind: 'unavailable' };
  }
  const stored = acceptValue(rowSchema, row.value);
  if (stored === undefined) return { kind: 'unreadable' };
  if (stored.attemptId === planned.attemptId) return { kind: 'own', version: row.version };
  if (stored.fingerprint !== intent.fingerprint) return { kind: 'reused' };
  return { kind: 'other', row: stored, version: row.version };
}

/** Interprets the result of the commit of an intent. */
export function interpretCommit(
  intent: Intent,
  planned: Attempt,
  result: CommitResult,
): IntentResult {
  switch (result.kind) {
    case 'committed': {
      const row = result.rows.find((candidate) => candidate.key === intent.key);
      return row === undefined ? { kind: 'readBack' } : { kind: 'own', version: row.version };
    }
    case 'conflict': {
      const row = result.rows.find((candidate) => candidate.key === intent.key);
      return row === undefined ? { kind: 'readBack' } : interpretRow(intent, planned, row);
    }
    case 'unavailable':
      return { kind: 'unavailable' };
    case 'unknown':
      return { kind: 'readBack' };
    default:
      return assertNever(result);
  }
}

/** Interprets the row of an intent that was read back. */
export function interpretRead(intent: Intent, planned: Attempt, result: ReadResult): IntentResult {
  switch (result.kind) {
    case 'rows':
      return interpretRow(
        intent,
        planned,
        result.rows.find((candidate) => candidate.key === intent.key),
      );
    case 'unavailable':
      return { kind: 'unavailable' };
    default:
      return assertNever(result);
  }
}
