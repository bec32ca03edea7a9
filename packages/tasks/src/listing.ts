import { adopt } from '@bronzeyoke/ledger';
import type { RunningTask, WorkerNotice } from '@bronzeyoke/ports';
import { assertNever, taskKey, unchanged } from '@bronzeyoke/types';
import { isCallPending, chain, chainEach } from './call';
import { applyTaskKey, applyTask, markStarted, addRecent, endReport, stopTask } from './task';
import { CLAIM_LIMIT_MS, START_SETTLE_MS } from './limits';
import { mayRunHere } from './offer';
import { queueReport, sendReport } from './report';
import type { TaskEvent, TaskRecord, TasksState, TasksStep } from './types';

/** Takes on a task that the worker runs and that this process did not start. */
function adoptTask(state: TasksState, listed: RunningTask, nowMs: number): TasksStep {
  const { id, epoch, task } = listed;
  const key = taskKey(id);
  const reserved = adopt(state.ledger, key, task.reserved);
  const isOld = epoch < (state.epochs.get(key) ?? -1);
  const record: TaskRecord = {
    task,
    epoch,
    phase: 'running',
    acceptedAtMs: nowMs,
    runningSinceMs: nowMs,
  };
  const adopted: TasksState = {
    ...state,
    ledger: reserved.ok ? reserved.value : state.ledger,
    records: state.records.set(key, record),
    epochs: isOld ? state.epochs : addRecent(state.epochs, key, epoch),
  };
  const told = sendReport(adopted, undefined, id, epoch, { kind: 'started' });
  // A task that is older than one known here, or that the ledger has no room for, must not go on.
  if (isOld || !reserved.ok) {
    return chain(told, (current) => stopTask(current, key, 'fence', 'tooLate', nowMs));
  }
  return mayRunHere(state) && !state.isDraining
    ? told
    : chain(told, (current) => stopTask(current, key, 'evict', 'domainOut', nowMs));
}

/** Whether a start whose reply is missing would show in a listing that was asked for then. */
function hasStartSettled(state: TasksState, record: TaskRecord, askedAtMs: number): boolean {
  const settledAtMs = record.acceptedAtMs + CLAIM_LIMIT_MS + START_SETTLE_MS;
  return askedAtMs >= settledAtMs && !isCallPending(state, 'start', taskKey(record.task.id));
}

/** The worker runs another epoch of a known task. The newer one cannot start beside it. */
function onOtherEpoch(
  state: TasksState,
  record: TaskRecord,
  listed: RunningTask,
  askedAtMs: number,
  nowMs: number,
): TasksStep {
  const key = taskKey(listed.id);
  const isStuck = record.phase === 'starting' && hasStartSettled(state, record, askedAtMs);
  if (record.phase !== 'reserved' && !isStuck) return unchanged(state);
  const given: TaskEvent = isStuck ? { kind: 'notStarted' } : { kind: 'decline', reason: 'noRoom' };
  return chain(applyTask(state, record, given, nowMs), (current) =>
    chain(adoptTask(current, listed, nowMs), (adopted) =>
      stopTask(adopted, key, 'fence', 'tooLate', nowMs),
    ),
  );
}

function onListed(
  state: TasksState,
  listed: RunningTask,
  askedAtMs: number,
  nowMs: number,
): TasksStep {
  const key = taskKey(listed.id);
  const record = state.records.get(key);
  if (record === undefined) return adoptTask(state, listed, nowMs);
  if (record.epoch !== listed.epoch) return onOtherEpoch(state, record, listed, askedAtMs, nowMs);
  if (record.phase === 'starting') return markStarted(state, key, nowMs);
  const { missingSinceMs, ...present } = record;
  return missingSinceMs === undefined
    ? unchanged(state)
    : unchanged({ ...state, records: state.records.set(key, present) });
}

/** What a task that the worker does not list says about itself. */
function onUnlisted(
  state: TasksState,
  record: TaskRecord,
  askedAtMs: number,
  nowMs: number,
): TasksStep {
  const key = taskKey(record.task.id);
  switch (record.phase) {
    case 'starting':
      // A start that is still on its way may take effect until its own bound has passed.
      return hasStartSettled(state, record, askedAtMs)
        ? applyTask(state, record, { kind: 'notStarted' }, nowMs)
        : unchanged(state);
    case 'running':
    case 'checkpointing':
    case 'stopping': {
      if ((record.runningSinceMs ?? 0) > askedAtMs || record.missingSinceMs !== undefined) {
        return unchanged(state);
      }
      const missing = { ...record, missingSinceMs: nowMs };
      return unchanged({ ...state, records: state.records.set(key, missing) });
    }
    case 'offered':
    case 'reserved':
    case 'claimed':
    case 'finished':
    case 'failed':
    case 'released':
      return unchanged(state);
    default:
      return assertNever(record.phase);
  }
}

/** The worker told what it runs. `askedAtMs` is when it was asked. */
export function onListing(
  state: TasksState,
  listing: readonly RunningTask[],
  askedAtMs: number,
  nowMs: number,
): TasksStep {
  const keys = new Set(listing.map(({ id }) => taskKey(id)));
  const missing = state.records.filter((_, key) => !keys.has(key));
  const seen = chainEach(unchanged(state), listing, (current, listed) =>
    onListed(current, listed, askedAtMs, nowMs),
  );
  const checked = chainEach(seen, missing.values(), (current, record) =>
    onUnlisted(current, record, askedAtMs, nowMs),
  );
  const isOpen = checked.state.records.some(({ phase }) => phase === 'starting');
  return { ...checked, state: { ...checked.state, needsListing: isOpen } };
}

function onNotice(state: TasksState, notice: WorkerNotice, nowMs: number): TasksStep {
  const { id, epoch, end } = notice;
  const key = taskKey(id);
  const record = state.records.get(key);
  if (record === undefined || record.epoch !== epoch) {
    // The task ended before this process adopted it, or its start was given up; the owner decides.
    return queueReport(state, undefined, id, epoch, endReport(end), nowMs);
  }
  switch (end.kind) {
    case 'finished':
      return applyTaskKey(state, key, { kind: 'finish', end }, nowMs);
    case 'failed':
      return applyTaskKey(state, key, { kind: 'fail', end }, nowMs);
    case 'leaseExpired':
      return applyTaskKey(state, key, { kind: 'expire', end }, nowMs);
    default:
      return assertNever(end);
  }
}

/** The worker told which tasks ended. */
export function onNotices(
  state: TasksState,
  notices: readonly WorkerNotice[],
  nowMs: number,
): TasksStep {
  return chainEach(unchanged(state), notices, (current, notice) =>
    onNotice(current, notice, nowMs),
  );
}

/** Ends tasks that were missing before the notices were asked for and that no notice named. */
export function endMissing(state: TasksState, askedAtMs: number, nowMs: number): TasksStep {
  const gone = state.records.filter(
    ({ missingSinceMs }) => missingSinceMs !== undefined && missingSinceMs < askedAtMs,
  );
  return chainEach(unchanged(state), gone.keys(), (current, key) =>
    applyTaskKey(current, key, { kind: 'missing' }, nowMs),
  );
}
