import type { WorkerCallResult } from '@bronzeyoke/ports';
import { assertNever, without } from '@bronzeyoke/types';
import { leaseLeftMs } from './heldlease';
import type { FailureCounts, WorkerState } from './types';

/** Returns whether another instance at the worker's address replied. */
export function isOfOther({ report }: WorkerState, result: WorkerCallResult): boolean {
  if (result.kind === 'otherWorker') return true;
  return (
    result.kind === 'done' && result.bornAtMs !== undefined && result.bornAtMs !== report.bornAtMs
  );
}

type FailedCall = 'lost' | 'notListening';

const NO_FAILURES: FailureCounts = { refused: 0, lost: 0 };

function increment({ refused, lost }: FailureCounts, kind: FailedCall): FailureCounts {
  switch (kind) {
    case 'notListening':
      return { refused: refused + 1, lost };
    case 'lost':
      return { refused, lost: lost + 1 };
    default:
      return assertNever(kind);
  }
}

function countFailure(
  worker: WorkerState,
  kind: FailedCall,
  sentAtMs: number,
  nowMs: number,
): WorkerState {
  const { failures = { sinceMs: nowMs, all: NO_FAILURES, retries: NO_FAILURES } } = worker;
  const { sinceMs, all, retries } = failures;
  const isRetry = sentAtMs > sinceMs;
  const counted = {
    sinceMs,
    all: increment(all, kind),
    retries: isRetry ? increment(retries, kind) : retries,
  };
  return { ...worker, failures: counted };
}

/** Counts a failed call to the worker. The first one fails when the worker ends. */
export function noteResult(
  worker: WorkerState,
  result: WorkerCallResult,
  sentAtMs: number,
  nowMs: number,
): WorkerState {
  if (isOfOther(worker, result)) return worker;
  switch (result.kind) {
    case 'lost':
    case 'notListening':
      return countFailure(worker, result.kind, sentAtMs, nowMs);
    case 'done':
    case 'refused':
    case 'otherWorker':
      return worker.failures === undefined ? worker : without(worker, 'failures');
    default:
      return assertNever(result);
  }
}

/**
 * Returns whether the lease of a worker that does not answer has ended. One call more has to fail: an
 * agent that was suspended for longer than the lease finds a worker that answers.
 */
export function isLeaseOver(worker: WorkerState, nowMs: number): boolean {
  const { refused, lost } = worker.failures?.retries ?? NO_FAILURES;
  return refused + lost > 0 && leaseLeftMs(worker, nowMs) === 0;
}

/**
 * Returns whether a worker without replies has crashed: nothing listens at its address since the first
 * failure, and it sends no heartbeats. Calls that were on their way then may have been lost.
 */
export function looksCrashed({ failures, heartbeatAtMs }: WorkerState): boolean {
  if (failures === undefined) return false;
  const { sinceMs, retries } = failures;
  return retries.refused > 0 && retries.lost === 0 && heartbeatAtMs <= sinceMs;
}

/** Returns the fields of a log line that tell what the end of a worker rests on. */
export function endEvidence(worker: WorkerState, nowMs: number): Readonly<Record<string, number>> {
  const { heldLease, heartbeatAtMs, failures } = worker;
  return {
    replyAgeMs: Math.round(nowMs - heldLease.repliedAtMs),
    heartbeatAgeMs: Math.round(nowMs - heartbeatAtMs),
    refusedCalls: failures?.all.refused ?? 0,
    lostCalls: failures?.all.lost ?? 0,
    leaseLeftMs: Math.round(leaseLeftMs(worker, nowMs)),
  };
}
