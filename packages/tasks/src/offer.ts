import { freeResources, reserve } from '@bronzeyoke/ledger';
import type { TaskSpec } from '@bronzeyoke/types';
import { isDomainIn, taskKey, unchanged } from '@bronzeyoke/types';
import type { DeclineReason, EntryMessage } from '@bronzeyoke/wire';
import { chain } from './call';
import { taskChart } from './chart';
import { isLeaseHeld } from './lease';
import { applyTaskKey, applyTask } from './task';
import { CLAIM_LIMIT_MS } from './limits';
import { isReportListFull, queueReport } from './report';
import { hasRoom, preemptFor } from './preempt';
import type { TaskRecord, TasksState, TasksStep } from './types';

/** Whether the newest configuration lets tasks run in this agent's failure domain. */
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
  // A copy of an offer that is over must not start the clock of P4 anew.
  if (state.pastOffers.has(offerId) || epoch <= (state.epochs.get(key) ?? -1)) return 'tooLate';
  return state.records.has(key) || isReportListFull(state) ? 'noRoom' : undefined;
}

/** An owner offers a task. */
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
  const known = state.records.get(key);
  if (known !== undefined && known.offerId === offerId) {
    const isWaiting = known.phase === 'reserved';
    return isWaiting
      ? applyTask(state, { ...known, linkId }, { kind: 'accept' }, nowMs)
      : unchanged(state);
  }
  const record: TaskRecord = {
    task,
    epoch,
    phase: taskChart.initial,
    offerId,
    linkId,
    acceptedAtMs: nowMs,
    ...(offer.spareMs === undefined ? {} : { spareMs: offer.spareMs }),
  };
  const reason = declineReason(state, offerId, epoch, task);
  if (reason !== undefined) return applyTask(state, record, { kind: 'decline', reason }, nowMs);
  const reserved = hasRoom(state, key, task.reserved, nowMs)
    ? reserve(state.ledger, key, task.reserved)
    : undefined;
  if (reserved?.ok === true) {
    const { holds } = state;
    const granted = { ...state, ledger: reserved.value, holds: holds.delete(key) };
    return applyTask(granted, record, { kind: 'accept' }, nowMs);
  }
  const made = offer.preempts === true ? preemptFor(state, key, task.reserved, nowMs) : undefined;
  return made === undefined
    ? applyTask(state, record, { kind: 'decline', reason: 'noRoom' }, nowMs)
    : chain(made, (current) =>
        applyTask(current, record, { kind: 'decline', reason: 'makingRoom' }, nowMs),
      );
}

function findOffer(state: TasksState, offerId: string): TaskRecord | undefined {
  return state.records.find((record) => record.offerId === offerId);
}

function isTooLate(record: TaskRecord, nowMs: number): boolean {
  return nowMs - record.acceptedAtMs >= CLAIM_LIMIT_MS;
}

/**
 * A claim for an offer that is over or unknown. The offer is declined; when its task is known, the
 * row is also given back by a report that is repeated until it is recorded.
 */
function returnClaim(state: TasksState, linkId: string, offerId: string, nowMs: number): TasksStep {
  const past = state.pastOffers.get(offerId);
  if (past?.wasClaimed === true) return unchanged(state);
  const free = freeResources(state.ledger);
  const message = { kind: 'declined', offerId, reason: 'tooLate', free } as const;
  const told: TasksStep = { state, effects: [{ kind: 'send', linkId, message }] };
  // A later offer of the same epoch may have been claimed; giving that one back would run it twice.
  if (past === undefined || state.epochs.get(taskKey(past.id)) === past.epoch) return told;
  return chain(told, (current) =>
    queueReport(current, linkId, past.id, past.epoch, { kind: 'notStarted' }, nowMs),
  );
}

/** The owner committed the claim. */
export function onClaimed(
  state: TasksState,
  linkId: string,
  offerId: string,
  nowMs: number,
): TasksStep {
  const record = findOffer(state, offerId);
  if (record === undefined) return returnClaim(state, linkId, offerId, nowMs);
  // A repeated claim is answered by what became of the first one.
  if (record.phase !== 'reserved') return applyTask(state, record, { kind: 'claim' }, nowMs);
  if (isTooLate(record, nowMs)) {
    return chain(applyTask(state, record, { kind: 'drop' }, nowMs), (current) =>
      returnClaim(current, linkId, offerId, nowMs),
    );
  }
  const key = taskKey(record.task.id);
  return chain(applyTask(state, record, { kind: 'claim' }, nowMs), (current) =>
    applyTaskKey(current, key, { kind: isLeaseHeld(current) ? 'start' : 'notStarted' }, nowMs),
  );
}

/** The owner did not get the claim. */
export function onClaimFailed(state: TasksState, offerId: string, nowMs: number): TasksStep {
  const record = findOffer(state, offerId);
  return record === undefined
    ? unchanged(state)
    : applyTask(state, record, { kind: 'drop' }, nowMs);
}

/** Declines accepted offers whose claim did not come in time. */
export function expireOffers(state: TasksState, nowMs: number): TasksStep {
  return state.records
    .valueSeq()
    .filter((record) => record.phase === 'reserved' && isTooLate(record, nowMs))
    .reduce<TasksStep>(
      (step, record) =>
        chain(step, (current) =>
          applyTask(current, record, { kind: 'decline', reason: 'tooLate' }, nowMs),
        ),
      unchanged(state),
    );
}
