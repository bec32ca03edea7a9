import { adopt } from '@bronzeyoke/ledger';
import type { RunningTask, WorkerNotice } from '@bronzeyoke/ports';
import { assertNever, taskKey, unchanged, chain, chainEach } from '@bronzeyoke/types';
import { isCallPending } from './call';
import { advanceTaskByKey, advanceTask, markStarted, addRecent, endReport, stopTask } from './task';
import { CLAIM_LIMIT_MS, START_SETTLE_MS } from './limits';
import { mayRunHere } from './offer';
import { queueReport, sendReport } from './report';
import type { AgentTaskEvent, AgentTaskRecord, TasksState, TasksStep } from './types';

/** Adopts a task that the worker runs and this process did not start. */
function adoptTask(state: TasksState, listed: RunningTask, nowMs: number): TasksStep {
  const { id, epoch, task } = listed;
  const key = taskKey(id);
  const reserved = adopt(state.ledger, key, task.reserved);
  const isOutdated = epoch < (state.epochs.get(key) ?? -1);
  const record: AgentTaskRecord = {
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
    epochs: isOutdated ? state.epochs : addRecent(state.epochs, key, epoch),
  };
  const reported = sendReport(adopted, undefined, id, epoch, { kind: 'started' });
  // A task of an outdated epoch, or one that does not fit the ledger, must stop.
  if (isOutdated || !reserved.ok) {
    return chain(reported, (current) => stopTask(current, key, 'fence', 'tooLate', nowMs));
  }
  return mayRunHere(state) && !state.isDraining
    ? reported
    : chain(reported, (current) => stopTask(current, key, 'evict', 'domainOut', nowMs));
}

/** Returns whether a listing requested at that time would include a start without a reply. */
function hasStartSettled(
  state: TasksState,
  record: AgentTaskRecord,
  requestedAtMs: number,
): boolean {
  const boundAtMs = record.acceptedAtMs + CLAIM_LIMIT_MS + START_SETTLE_MS;
  return requestedAtMs >= boundAtMs && !isCallPending(state, 'start', taskKey(record.task.id));
}

/** Handles a listed task of another epoch than its record. The newer one cannot start beside it. */
function onOtherEpoch(
  state: TasksState,
  record: AgentTaskRecord,
  listed: RunningTask,
  requestedAtMs: number,
  nowMs: number,
): TasksStep {
  const key = taskKey(listed.id);
  const isStuck = record.phase === 'starting' && hasStartSettled(state, record, requestedAtMs);
  if (record.phase !== 'reserved' && !isStuck) return unchanged(state);
  const event: AgentTaskEvent = isStuck
    ? { kind: 'notStarted' }
    : { kind: 'decline', reason: 'noRoom' };
  return chain(advanceTask(state, record, event, nowMs), (current) =>
    chain(adoptTask(current, listed, nowMs), (adopted) =>
      stopTask(adopted, key, 'fence', 'tooLate', nowMs),
    ),
  );
}

function onListed(
  state: TasksState,
  listed: RunningTask,
  requestedAtMs: number,
  nowMs: number,
): TasksStep {
  const key = taskKey(listed.id);
  const record = state.records.get(key);
  if (record === undefined) return adoptTask(state, listed, nowMs);
  if (record.epoch !== listed.epoch)
    return onOtherEpoch(state, record, listed, requestedAtMs, nowMs);
  if (record.phase === 'starting') return markStarted(state, key, nowMs);
  const { missingSinceMs, ...present } = record;
  return missingSinceMs === undefined
    ? unchanged(state)
    : unchanged({ ...state, records: state.records.set(key, present) });
}

/** Handles a recorded task that the worker does not list. */
function onUnlisted(
  state: TasksState,
  record: AgentTaskRecord,
  requestedAtMs: number,
  nowMs: number,
): TasksStep {
  const key = taskKey(record.task.id);
  switch (record.phase) {
    case 'starting':
      // A start in flight may take effect until its bound has passed.
      return hasStartSettled(state, record, requestedAtMs)
        ? advanceTask(state, record, { kind: 'notStarted' }, nowMs)
        : unchanged(state);
    case 'running':
    case 'checkpointing':
    case 'stopping': {
      if ((record.runningSinceMs ?? 0) > requestedAtMs || record.missingSinceMs !== undefined) {
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

/** Reconciles the records with the worker's list of running tasks. */
export function onListing(
  state: TasksState,
  listing: readonly RunningTask[],
  requestedAtMs: number,
  nowMs: number,
): TasksStep {
  const keys = new Set(listing.map(({ id }) => taskKey(id)));
  const missing = state.records.filter((_, key) => !keys.has(key));
  const reconciled = chainEach(unchanged(state), listing, (current, listed) =>
    onListed(current, listed, requestedAtMs, nowMs),
  );
  const checked = chainEach(reconciled, missing.values(), (current, record) =>
    onUnlisted(current, record, requestedAtMs, nowMs),
  );
  const hasOpenStart = checked.state.records.some(({ phase }) => phase === 'starting');
  return { ...checked, state: { ...checked.state, needsListing: hasOpenStart } };
}

function onNotice(state: TasksState, notice: WorkerNotice, nowMs: number): TasksStep {
  const { id, epoch, end } = notice;
  const key = taskKey(id);
  const record = state.records.get(key);
  if (record === undefined || record.epoch !== epoch) {
    // The task ended before this process adopted it, or after its start counted as failed.
    // The owner decides.
    return queueReport(state, undefined, id, epoch, endReport(end), nowMs);
  }
  switch (end.kind) {
    case 'finished':
      return advanceTaskByKey(state, key, { kind: 'finish', end }, nowMs);
    case 'failed':
      return advanceTaskByKey(state, key, { kind: 'fail', end }, nowMs);
    case 'leaseExpired':
      return advanceTaskByKey(state, key, { kind: 'expire', end }, nowMs);
    default:
      return assertNever(end);
  }
}

/** Handles the worker's notices of ended tasks. */
export function onNotices(
  state: TasksState,
  notices: readonly WorkerNotice[],
  nowMs: number,
): TasksStep {
  return chainEach(unchanged(state), notices, (current, notice) =>
    onNotice(current, notice, nowMs),
  );
}

/** Ends tasks that were unlisted before the notices were requested and that no notice names. */
export function endMissing(state: TasksState, requestedAtMs: number, nowMs: number): TasksStep {
  const missing = state.records.filter(
    ({ missingSinceMs }) => missingSinceMs !== undefined && missingSinceMs < requestedAtMs,
  );
  return chainEach(unchanged(state), missing.keys(), (current, key) =>
    advanceTaskByKey(current, key, { kind: 'missing' }, nowMs),
  );
}
