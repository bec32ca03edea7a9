import type { OrderedMap } from 'immutable';
import { advance } from '@bronzeyoke/chart';
import { freeResources, release } from '@bronzeyoke/ledger';
import type { TaskEnd } from '@bronzeyoke/ports';
import { assertNever, taskKey, unchanged, chain, chainEach } from '@bronzeyoke/types';
import type { TaskReport } from '@bronzeyoke/wire';
import { callWorker } from './call';
import type { AgentTaskAction } from './chart';
import { agentTaskChart } from './chart';
import {
  CHECKPOINT_RETRY_MS,
  CLAIM_LIMIT_MS,
  LEASE_MARGIN_MS,
  MAX_RECENT,
  STOP_RETRY_MS,
} from './limits';
import { queueReport, sendReport } from './report';
import type { StopMode, AgentTaskEvent, AgentTaskRecord, TasksState, TasksStep } from './types';

/** Returns how much longer the worker may run tasks. */
export function taskLeaseMs(state: TasksState, nowMs: number): number {
  return Math.max(0, state.lease.untilMs - LEASE_MARGIN_MS - nowMs);
}

/** Adds an entry to a bounded map and drops the oldest entry when the map is full. */
export function addRecent<Value>(
  entries: OrderedMap<string, Value>,
  key: string,
  value: Value,
): OrderedMap<string, Value> {
  const grown = entries.delete(key).set(key, value);
  return grown.size > MAX_RECENT ? grown.skip(1) : grown;
}

function updateRecord(
  record: AgentTaskRecord,
  event: AgentTaskEvent,
  nowMs: number,
): AgentTaskRecord {
  switch (event.kind) {
    case 'saved':
      return { ...record, checkpointRef: event.checkpointRef, retryAtMs: nowMs + STOP_RETRY_MS };
    case 'notSaved':
      return { ...record, retryAtMs: nowMs + CHECKPOINT_RETRY_MS };
    case 'stop':
      return { ...record, retryAtMs: nowMs + STOP_RETRY_MS };
    case 'started':
      return { ...record, runningSinceMs: nowMs };
    case 'accept':
    case 'decline':
    case 'drop':
    case 'claim':
    case 'start':
    case 'notStarted':
    case 'evict':
    case 'stopped':
    case 'missing':
    case 'finish':
    case 'fail':
    case 'expire':
      return record;
    default:
      return assertNever(event);
  }
}

function lastCheckpoint(record: AgentTaskRecord): { readonly checkpointRef?: string } {
  const checkpointRef = record.checkpointRef ?? record.task.checkpointRef;
  return checkpointRef === undefined ? {} : { checkpointRef };
}

/** Returns the report of a task that ended on its own; its last checkpoint fills in a missing one. */
export function endReport(end: TaskEnd, record?: AgentTaskRecord): TaskReport {
  const fallback = record === undefined ? {} : lastCheckpoint(record);
  switch (end.kind) {
    case 'finished':
      return end;
    case 'failed':
      return { ...fallback, ...end };
    case 'leaseExpired': {
      const { checkpointRef } = end;
      return {
        kind: 'evicted',
        ...(checkpointRef === undefined ? fallback : { checkpointRef }),
      };
    }
    default:
      return assertNever(end);
  }
}

function performAction(
  state: TasksState,
  record: AgentTaskRecord,
  action: AgentTaskAction,
  event: AgentTaskEvent,
  nowMs: number,
): TasksStep {
  const { task, epoch, offerId, linkId } = record;
  const { id } = task;
  const key = taskKey(id);
  const free = freeResources(state.ledger);
  switch (action) {
    case 'sendAccepted':
      return offerId === undefined || linkId === undefined
        ? unchanged(state)
        : {
            state,
            effects: [{ kind: 'send', linkId, message: { kind: 'accepted', offerId, free } }],
          };
    case 'sendDeclined': {
      if (offerId === undefined || linkId === undefined) return unchanged(state);
      const reason = event.kind === 'decline' ? event.reason : 'tooLate';
      const message = { kind: 'declined', offerId, reason, free } as const;
      return { state, effects: [{ kind: 'send', linkId, message }] };
    }
    case 'recordEpoch':
      return unchanged({ ...state, epochs: addRecent(state.epochs, key, epoch) });
    case 'release':
      return unchanged({ ...state, ledger: release(state.ledger, key) });
    case 'startAtWorker': {
      const leaseMs = taskLeaseMs(state, nowMs);
      const startWithinMs = record.acceptedAtMs + CLAIM_LIMIT_MS - nowMs;
      const command = { task, epoch, leaseMs, startWithinMs };
      return callWorker(state, { kind: 'start', key }, { kind: 'start', command }, nowMs);
    }
    case 'checkpointAtWorker':
      return callWorker(state, { kind: 'checkpoint', key }, { kind: 'checkpoint', id }, nowMs);
    case 'stopAtWorker':
      return callWorker(state, { kind: 'stop', key }, { kind: 'stop', id }, nowMs);
    case 'reportStarted':
      return sendReport(state, linkId, id, epoch, { kind: 'started' });
    case 'reportNotStarted':
      return queueReport(state, linkId, id, epoch, { kind: 'notStarted' }, nowMs);
    case 'reportEnd':
      return 'end' in event
        ? queueReport(state, linkId, id, epoch, endReport(event.end, record), nowMs)
        : unchanged(state);
    case 'reportStopped': {
      const report: TaskReport =
        record.stopMode === 'cancel'
          ? { kind: 'stopped' }
          : { kind: 'evicted', ...lastCheckpoint(record) };
      return queueReport(state, linkId, id, epoch, report, nowMs);
    }
    default:
      return assertNever(action);
  }
}

const UNCLAIMED: ReadonlySet<string> = new Set(['offered', 'reserved']);

function isOver(record: AgentTaskRecord): boolean {
  const { phase } = record;
  return phase === 'released' || phase === 'finished' || phase === 'failed';
}

function storeRecord(
  state: TasksState,
  before: AgentTaskRecord,
  after: AgentTaskRecord,
): TasksState {
  const key = taskKey(after.task.id);
  if (!isOver(after)) return { ...state, records: state.records.set(key, after) };
  const records = state.records.delete(key);
  const { offerId, epoch } = after;
  // An offer that was declined at once is not kept, because its record was never stored.
  if (offerId === undefined || before.phase === 'offered') return { ...state, records };
  const past = { id: after.task.id, epoch, wasClaimed: !UNCLAIMED.has(before.phase) };
  return { ...state, records, pastOffers: addRecent(state.pastOffers, offerId, past) };
}

/** Applies an event to the task chart and runs the resulting actions. */
export function advanceTask(
  state: TasksState,
  record: AgentTaskRecord,
  event: AgentTaskEvent,
  nowMs: number,
): TasksStep {
  const next = advance(agentTaskChart, record.phase, event.kind);
  if (next.actions.length === 0 && next.state === record.phase) return unchanged(state);
  const amended = { ...updateRecord(record, event, nowMs), phase: next.state };
  // The record is stored first, so that the actions see the new state.
  const stored = storeRecord(state, record, amended);
  return chainEach(unchanged(stored), next.actions, (current, action) =>
    performAction(current, amended, action, event, nowMs),
  );
}

/** Applies an event to the task with this key. An unknown key changes nothing. */
export function advanceTaskByKey(
  state: TasksState,
  key: string,
  event: AgentTaskEvent,
  nowMs: number,
): TasksStep {
  const record = state.records.get(key);
  return record === undefined ? unchanged(state) : advanceTask(state, record, event, nowMs);
}

const STOP_STRENGTH: Readonly<Record<StopMode, number>> = { evict: 0, fence: 1, cancel: 2 };

function strongerMode(current: StopMode | undefined, mode: StopMode): StopMode {
  return current === undefined || STOP_STRENGTH[mode] > STOP_STRENGTH[current] ? mode : current;
}

/** Stops a task as its phase allows. A weaker mode never replaces a stronger one. */
export function stopTask(
  state: TasksState,
  key: string,
  mode: StopMode,
  reason: 'domainOut' | 'draining' | 'notRegistered' | 'tooLate',
  nowMs: number,
): TasksStep {
  const record = state.records.get(key);
  if (record === undefined) return unchanged(state);
  const updated = { ...record, stopMode: strongerMode(record.stopMode, mode) };
  const base = { ...state, records: state.records.set(key, updated) };
  const isImmediate = updated.stopMode !== 'evict';
  switch (record.phase) {
    case 'reserved':
      return advanceTask(base, updated, { kind: 'decline', reason }, nowMs);
    case 'running':
      return advanceTask(base, updated, { kind: isImmediate ? 'stop' : 'evict' }, nowMs);
    case 'checkpointing':
      return isImmediate ? advanceTask(base, updated, { kind: 'stop' }, nowMs) : unchanged(base);
    // A start without a reply is stopped once it is certain whether the worker runs the task.
    case 'claimed':
    case 'starting':
    case 'stopping':
      return unchanged(base);
    case 'offered':
    case 'finished':
    case 'failed':
    case 'released':
      return unchanged(state);
    default:
      return assertNever(record.phase);
  }
}

/** Stops all tasks. */
export function stopAll(
  state: TasksState,
  mode: StopMode,
  reason: 'domainOut' | 'draining' | 'notRegistered',
  nowMs: number,
): TasksStep {
  return chainEach(unchanged(state), state.records.keys(), (current, key) =>
    stopTask(current, key, mode, reason, nowMs),
  );
}

/** Marks a task as running, and applies a stop that was requested meanwhile. */
export function markStarted(state: TasksState, key: string, nowMs: number): TasksStep {
  return chain(advanceTaskByKey(state, key, { kind: 'started' }, nowMs), (current) => {
    const mode = current.records.get(key)?.stopMode;
    return mode === undefined ? unchanged(current) : stopTask(current, key, mode, 'tooLate', nowMs);
  });
}
