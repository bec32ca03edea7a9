import type { WorkerCallResult } from '@bronzeyoke/ports';
import { assertNever, without } from '@bronzeyoke/types';
import { leaseLeftMs } from './heldlease';
import type { WorkerState } from './types';

/** Returns whether a later instance at the worker's address replied. */
function isOfOther({ report }: WorkerState, result: WorkerCallResult): boolean {
  if (result.kind === 'otherWorker') return true;
  return (
    result.kind === 'done' && result.bornAtMs !== undefined && result.bornAtMs !== report.bornAtMs
  );
}

function countFailure(
  worker: WorkerState,
  kind: 'lost' | 'notListening',
  nowMs: number,
): WorkerState {
  const { failures = { sinceMs: nowMs, refused: 0, lost: 0 } } = worker;
  const { sinceMs, refused, lost } = failures;
  const isRefused = kind === 'notListening';
  const counted = {
    sinceMs,
    refused: refused + (isRefused ? 1 : 0),
    lost: lost + (isRefused ? 0 : 1),
  };
  return { ...worker, failures: counted };
}

/** Counts a failed call to the worker. The first one fails when the worker ends. */
export function noteResult(
  worker: WorkerState,
  result: WorkerCallResult,
  nowMs: number,
): WorkerState {
  if (isOfOther(worker, result)) return worker;
  switch (result.kind) {
    case 'lost':
    case 'notListening':
      return countFailure(worker, result.kind, nowMs);
    case 'done':
    case 'refused':
    case 'otherWorker':
      return worker.failures === undefined ? worker : without(worker, 'failures');
    default:
      return assertNever(result);
  }
}

/** Returns the fields of a log line that tell what the end of a worker rests on. */
export function endEvidence(worker: WorkerState, nowMs: number): Readonly<Record<string, number>> {
  const { heldLease, heartbeatAtMs, failures } = worker;
  return {
    replyAgeMs: Math.round(nowMs - heldLease.repliedAtMs),
    heartbeatAgeMs: Math.round(nowMs - heartbeatAtMs),
    refusedCalls: failures?.refused ?? 0,
    lostCalls: failures?.lost ?? 0,
    leaseLeftMs: Math.round(leaseLeftMs(worker, nowMs)),
  };
}
