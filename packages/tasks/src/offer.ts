import { freeResources, reserve } from '@bronzeyoke/ledger';
import type { TaskSpec } from '@bronzeyoke/types';
import { isDomainIn, taskKey, unchanged, chain } from '@bronzeyoke/types';
import type { DeclineReason, EntryMessage } from '@bronzeyoke/wire';
import { agentTaskChart } from './chart';
import { isLeaseHeld } from './lease';
import { advanceTaskByKey, advanceTask } from './task';
import { CLAIM_LIMIT_MS } from './limits';
import { isReportListFull, queueReport } from './report';
import { fitsBesideHolds, preemptFor } from './preempt';
import type { AgentTaskRecord, TasksState, TasksStep } from './types';

/** Returns whether the newest configuration allows tasks in this agent's failure domain. */
export function mayRunHere({ configuration, profile }: TasksState): boolean {
  return isDomainIn(configuration, profile.domain);
}

function declineReason(
  state: TasksState,
  offerId: string,
  epoch: number,
  task: TaskSpec,
): DeclineReason | undefined {
  const key = taskKey(task.id);
  if (state.isDraining) return 'draining';
  if (!mayRunHere(state)) return 'domainOut';
  if (!isLeaseHeld(state)) return 'notRegistered';
  // A copy of a past offer must not restart the claim limit of P4.
  if (state.pastOffers.has(offerId) || epoch <= (state.epochs.get(key) ?? -1)) return 'tooLate';
  return state.records.has(key) || isReportListFull(state) ? 'noRoom' : undefined;
}

/** Accepts or declines a task that an owner offers. */
export function onOffer(
  state: TasksState,
  linkId: string,
  offer: Pick<
    Extract<EntryMessage, { readonly kind: 'offer' }>,
    'offerId' | 'epoch' | 'task' | 'preempts' | 'spareMs'
  >,
  nowMs: number,
): TasksStep {
  const { offerId, epoch, task } = offer;
  const key = taskKey(task.id);
  const existing = state.records.get(key);
  if (existing !== undefined && existing.offerId === offerId) {
    const isUnclaimed = existing.phase === 'reserved';
    return isUnclaimed
      ? advanceTask(state, { ...existing, linkId }, { kind: 'accept' }, nowMs)
      : unchanged(state);
  }
  const record: AgentTaskRecord = {
    task,
    epoch,
    phase: agentTaskChart.initial,
    offerId,
    linkId,
    acceptedAtMs: nowMs,
    ...(offer.spareMs === undefined ? {} : { spareMs: offer.spareMs }),
  };
  const reason = declineReason(state, offerId, epoch, task);
  if (reason !== undefined) return advanceTask(state, record, { kind: 'decline', reason }, nowMs);
  const reserved = fitsBesideHolds(state, key, task.reserved, nowMs)
    ? reserve(state.ledger, key, task.reserved)
    : undefined;
  if (reserved?.ok === true) {
    const { holds } = state;
    const withReservation = { ...state, ledger: reserved.value, holds: holds.delete(key) };
    return advanceTask(withReservation, record, { kind: 'accept' }, nowMs);
  }
  const preempted =
    offer.preempts === true ? preemptFor(state, key, task.reserved, nowMs) : undefined;
  return preempted === undefined
    ? advanceTask(state, record, { kind: 'decline', reason: 'noRoom' }, nowMs)
    : chain(preempted, (current) =>
        advanceTask(current, record, { kind: 'decline', reason: 'makingRoom' }, nowMs),
      );
}

function findOffer(state: TasksState, offerId: string): AgentTaskRecord | undefined {
  return state.records.find((record) => record.offerId === offerId);
}

function isTooLate(record: AgentTaskRecord, nowMs: number): boolean {
  return nowMs - record.acceptedAtMs >= CLAIM_LIMIT_MS;
}

/**
 * Rejects a claim for a past or unknown offer. The offer is declined; if its task is known, a
 * report that is repeated until it is recorded also releases the claimed row.
 */
function returnClaim(state: TasksState, linkId: string, offerId: string, nowMs: number): TasksStep {
  const past = state.pastOffers.get(offerId);
  if (past?.wasClaimed === true) return unchanged(state);
  const free = freeResources(state.ledger);
  const message = { kind: 'declined', offerId, reason: 'tooLate', free } as const;
  const declined: TasksStep = { state, effects: [{ kind: 'send', linkId, message }] };
  // A later offer of the same epoch may have been claimed; returning that claim would run it twice.
  if (past === undefined || state.epochs.get(taskKey(past.id)) === past.epoch) return declined;
  return chain(declined, (current) =>
    queueReport(current, linkId, past.id, past.epoch, { kind: 'notStarted' }, nowMs),
  );
}

/** Starts the task of a claim that the owner committed, unless the claim is too late. */
export function onClaimed(
  state: TasksState,
  linkId: string,
  offerId: string,
  nowMs: number,
): TasksStep {
  const record = findOffer(state, offerId);
  if (record === undefined) return returnClaim(state, linkId, offerId, nowMs);
  // A repeated claim gets the outcome of the first one.
  if (record.phase !== 'reserved') return advanceTask(state, record, { kind: 'claim' }, nowMs);
  if (isTooLate(record, nowMs)) {
    return chain(advanceTask(state, record, { kind: 'drop' }, nowMs), (current) =>
      returnClaim(current, linkId, offerId, nowMs),
    );
  }
  const key = taskKey(record.task.id);
  return chain(advanceTask(state, record, { kind: 'claim' }, nowMs), (current) =>
    advanceTaskByKey(current, key, { kind: isLeaseHeld(current) ? 'start' : 'notStarted' }, nowMs),
  );
}

/** Drops an offer whose claim the owner could not commit. */
export function onClaimFailed(state: TasksState, offerId: string, nowMs: number): TasksStep {
  const record = findOffer(state, offerId);
  return record === undefined
    ? unchanged(state)
    : advanceTask(state, record, { kind: 'drop' }, nowMs);
}

/** Declines accepted offers whose claim did not arrive in time. */
export function expireOffers(state: TasksState, nowMs: number): TasksStep {
  return state.records
    .valueSeq()
    .filter((record) => record.phase === 'reserved' && isTooLate(record, nowMs))
    .reduce<TasksStep>(
      (step, record) =>
        chain(step, (current) =>
          advanceTask(current, record, { kind: 'decline', reason: 'tooLate' }, nowMs),
        ),
      unchanged(state),
    );
}
