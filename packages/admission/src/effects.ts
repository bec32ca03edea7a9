import type { NotRunReason, UnknownReason, UpstreamAnswer } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';
import type { AttemptAction } from './chart';
import type { AdmissionEffect, AdmissionState, AttemptRecord, Waiter } from './types';

/** Events of the chart of an attempt. */
export type AttemptChartEvent =
  | { readonly kind: 'admit' }
  | { readonly kind: 'enqueue' }
  | { readonly kind: 'refuse'; readonly reason: NotRunReason }
  | { readonly kind: 'answer'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'notReached' }
  | { readonly kind: 'lose'; readonly reason: UnknownReason }
  | { readonly kind: 'collect'; readonly waiter: Waiter };

function isSameWaiter(left: Waiter, right: Waiter): boolean {
  return left.linkId === right.linkId && left.attemptId === right.attemptId;
}

/** Returns the record of an attempt with the data of an event. */
export function updateRecord(
  record: AttemptRecord,
  event: AttemptChartEvent,
  nowMs: number,
): AttemptRecord {
  switch (event.kind) {
    case 'answer':
      return { ...record, answer: event.answer };
    case 'refuse':
      return { ...record, notRunReason: event.reason };
    case 'notReached':
      return { ...record, notRunReason: 'noUpstream' };
    case 'lose':
      return { ...record, unknownReason: event.reason };
    case 'admit':
      return { ...record, startedAtMs: nowMs };
    case 'collect':
    case 'enqueue':
      return record;
    default:
      return assertNever(event);
  }
}

function messageFor(
  { requestId, attemptId }: Waiter,
  record: AttemptRecord,
  action: 'sendAnswer' | 'sendNotRun' | 'sendUnknown' | 'sendProgress',
  slotsInUse: number,
): readonly AgentMessage[] {
  switch (action) {
    case 'sendAnswer': {
      const { answer } = record;
      return answer === undefined
        ? []
        : [{ kind: 'answer', requestId, attemptId, ...answer, slotsInUse }];
    }
    case 'sendNotRun': {
      const reason = record.notRunReason ?? 'overloaded';
      return [{ kind: 'notRun', requestId, attemptId, reason }];
    }
    case 'sendUnknown': {
      const reason = record.unknownReason ?? 'upstreamFailed';
      return [{ kind: 'outcomeUnknown', requestId, attemptId, reason }];
    }
    case 'sendProgress':
      return [{ kind: 'progress', requestId, attemptId }];
    default:
      return assertNever(action);
  }
}

/** Converts an action of the chart to effects for the shell. */
export function effectsOf(
  state: AdmissionState,
  record: AttemptRecord,
  action: AttemptAction,
  event: AttemptChartEvent,
  nowMs: number,
): readonly AdmissionEffect[] {
  switch (action) {
    case 'callUpstream': {
      const { attempt, deadlineAtMs } = record;
      return [{ kind: 'callUpstream', attempt, timeoutMs: Math.max(1, deadlineAtMs - nowMs) }];
    }
    case 'sendAnswer':
    case 'sendNotRun':
    case 'sendUnknown':
    case 'sendProgress': {
      // The reply to a collect goes to its sender only; other waiters get a message at the end.
      const receivers = event.kind === 'collect' ? [event.waiter] : record.waiters;
      return receivers.flatMap((waiter) =>
        messageFor(waiter, record, action, state.runningCount).map((message) => ({
          kind: 'send' as const,
          linkId: waiter.linkId,
          message,
        })),
      );
    }
    case 'addWaiter':
      return [];
    default:
      return assertNever(action);
  }
}

/** Adds the sender of a collect to the waiters of the attempt. */
export function addWaiter(record: AttemptRecord, event: AttemptChartEvent): AttemptRecord {
  if (event.kind !== 'collect') return record;
  const { waiter } = event;
  return record.waiters.some((other) => isSameWaiter(other, waiter))
    ? record
    : { ...record, waiters: [...record.waiters, waiter] };
}
