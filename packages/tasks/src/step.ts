import { Map, OrderedMap } from 'immutable';
import { createLedger, setService, shortfall } from '@bronzeyoke/ledger';
import type { AgentProfile, Configuration, StepInputs, TaskId } from '@bronzeyoke/types';
import {
  EMPTY_CONFIGURATION,
  NO_RESOURCES,
  addResources,
  assertNever,
  fitsIn,
  taskKey,
  unchanged,
  chain,
  chainEach,
} from '@bronzeyoke/types';
import { callWorker, isCallPending } from './call';
import { NO_LEASE, onFenced, onRegistered, onRenewed, renewTasks, tickLease } from './lease';
import { advanceTask, stopAll, stopTask } from './task';
import { CALL_TIMEOUT_MS, IDLE_POLL_MS, RENEW_INTERVAL_MS, TICK_MS } from './limits';
import { reportNotRunning, onAskTask } from './query';
import { expireOffers, mayRunHere, onClaimFailed, onClaimed, onOffer } from './offer';
import { confirmReport, repeatReports } from './report';
import { expireCalls, onWorkerDone } from './reply';
import type { TaskMessage, AgentTaskRecord, TasksEvent, TasksState, TasksStep } from './types';

/** Creates the state of batch work at an agent before its first connection. */
export function createTasks(profile: AgentProfile): TasksState {
  return {
    profile,
    links: [],
    configuration: EMPTY_CONFIGURATION,
    isDraining: false,
    ledger: createLedger(profile.total),
    lease: NO_LEASE,
    records: Map(),
    holds: Map(),
    epochs: OrderedMap(),
    pastOffers: OrderedMap(),
    reports: OrderedMap(),
    calls: Map(),
    callCount: 0,
    needsListing: false,
    noticesAtMs: 0,
    renewedAtMs: 0,
  };
}

/** Returns whether a planned stop can proceed: no task is left, and every report is recorded. */
export function isTasksIdle(state: TasksState): boolean {
  return state.records.isEmpty() && state.reports.isEmpty();
}

/** Lists tasks whose start or stop is unconfirmed. They may run, so their reservations stay. */
export function unconfirmedTasks(state: TasksState): readonly TaskId[] {
  return state.records
    .valueSeq()
    .filter(({ phase }) => phase === 'starting' || phase === 'stopping')
    .map(({ task }) => task.id)
    .toArray();
}

/** Evicts tasks, the youngest first, until the service has its reservation. */
function evictForService(state: TasksState, nowMs: number): TasksStep {
  const missing = shortfall(state.ledger);
  const leaving = state.records
    .valueSeq()
    .filter(({ stopMode }) => stopMode !== undefined)
    .reduce((sum, { task }) => addResources(sum, task.reserved), NO_RESOURCES);
  if (fitsIn(missing, leaving)) return unchanged(state);
  const youngest = state.records
    .valueSeq()
    .filter(({ phase, stopMode }) => phase === 'running' && stopMode === undefined)
    // Watchers are evicted last, because they are meant to run without an end.
    .maxBy(({ task, acceptedAtMs }) => (task.role === 'batch' ? acceptedAtMs : -Infinity));
  return youngest === undefined
    ? unchanged(state)
    : chain(stopTask(state, taskKey(youngest.task.id), 'evict', 'tooLate', nowMs), (current) =>
        evictForService(current, nowMs),
      );
}

function onConfig(
  state: TasksState,
  linkId: string,
  configuration: Configuration,
  nowMs: number,
): TasksStep {
  const isNewer = configuration.number > state.configuration.number;
  const inForce = isNewer ? configuration : state.configuration;
  const service = inForce.entries.find(
    (entry) => entry.kind === 'service' && entry.name === state.profile.service,
  );
  const reserved = service?.kind === 'service' ? service.reserved : NO_RESOURCES;
  const applied: TasksState = isNewer
    ? { ...state, configuration, ledger: setService(state.ledger, reserved) }
    : state;
  const confirmed: TasksStep = {
    state: applied,
    effects: [{ kind: 'send', linkId, message: { kind: 'inForce', number: inForce.number } }],
  };
  if (!isNewer) return confirmed;
  return chain(confirmed, (current) =>
    mayRunHere(current)
      ? evictForService(current, nowMs)
      : stopAll(current, 'evict', 'domainOut', nowMs),
  );
}

function onStopTask(
  state: TasksState,
  linkId: string,
  message: Extract<TaskMessage, { readonly kind: 'stopTask' }>,
  nowMs: number,
): TasksStep {
  const { id, epoch, mode } = message;
  const key = taskKey(id);
  const record = state.records.get(key);
  if (record === undefined) {
    const report = { kind: mode === 'cancel' ? 'stopped' : 'evicted' } as const;
    return reportNotRunning(state, linkId, id, epoch, report, nowMs);
  }
  // A stop for an older epoch refers to a run that has ended.
  return epoch < record.epoch ? unchanged(state) : stopTask(state, key, mode, 'tooLate', nowMs);
}

function onMessage(
  state: TasksState,
  linkId: string,
  message: TaskMessage,
  inputs: StepInputs,
): TasksStep {
  const { nowMs } = inputs;
  switch (message.kind) {
    case 'offer':
      return onOffer(state, linkId, message, nowMs);
    case 'claimed':
      return onClaimed(state, linkId, message.offerId, nowMs);
    case 'claimFailed':
      return onClaimFailed(state, message.offerId, nowMs);
    case 'stopTask':
      return onStopTask(state, linkId, message, nowMs);
    case 'askTask':
      return onAskTask(state, linkId, message.id, message.epoch, nowMs);
    case 'recorded':
      return unchanged(confirmReport(state, message.id, message.epoch));
    case 'workerRegistered':
      return onRegistered(state, message.token, message.incarnation, inputs);
    case 'workerRenewed':
      return onRenewed(state, message.token, inputs);
    case 'workerFenced':
      return onFenced(state, message.incarnation, inputs);
    case 'config':
      return onConfig(state, linkId, message.configuration, nowMs);
    default:
      return assertNever(message);
  }
}

function retryStop(state: TasksState, record: AgentTaskRecord, nowMs: number): TasksStep {
  const isDue = record.retryAtMs !== undefined && record.retryAtMs <= nowMs;
  const key = taskKey(record.task.id);
  if (!isDue || record.stopMode === undefined) return unchanged(state);
  if (record.phase === 'running') return stopTask(state, key, record.stopMode, 'tooLate', nowMs);
  return record.phase === 'stopping' && !isCallPending(state, 'stop', key)
    ? advanceTask(state, record, { kind: 'stop' }, nowMs)
    : unchanged(state);
}

function pollNotices(state: TasksState, nowMs: number): TasksStep {
  const { phase } = state.lease;
  const isAttached = phase === 'held' || phase === 'expiring' || phase === 'lost';
  const isBusy = state.records.some((record) => record.phase !== 'reserved');
  const waitMs = isBusy ? TICK_MS : IDLE_POLL_MS;
  // While the agent registers again, tasks of the lost lease have to be confirmed as stopped.
  // A replaced agent takes no notices, because they are for its successor.
  const mayPoll = isAttached || (isBusy && phase === 'registering');
  const isDue = mayPoll && nowMs - state.noticesAtMs >= waitMs;
  return isDue && !isCallPending(state, 'notices')
    ? callWorker({ ...state, noticesAtMs: nowMs }, { kind: 'notices' }, { kind: 'notices' }, nowMs)
    : unchanged(state);
}

function listRunning(state: TasksState, nowMs: number): TasksStep {
  const isNeeded = state.needsListing && !isCallPending(state, 'attach');
  return isNeeded && state.lease.incarnation > 0
    ? callWorker(state, { kind: 'attach' }, { kind: 'attach' }, nowMs)
    : unchanged(state);
}

function renewIfDue(state: TasksState, nowMs: number): TasksStep {
  const isDue = state.lease.phase === 'held' && nowMs - state.renewedAtMs > RENEW_INTERVAL_MS;
  return isDue ? renewTasks(state, nowMs) : unchanged(state);
}

function onTick(state: TasksState, inputs: StepInputs): TasksStep {
  const { nowMs } = inputs;
  return [
    (current: TasksState) => expireCalls(current, CALL_TIMEOUT_MS, inputs),
    (current: TasksState) => expireOffers(current, nowMs),
    (current: TasksState) => tickLease(current, inputs),
    (current: TasksState) =>
      chainEach(unchanged(current), current.records.values(), (before, record) =>
        retryStop(before, record, nowMs),
      ),
    (current: TasksState) => listRunning(current, nowMs),
    (current: TasksState) => pollNotices(current, nowMs),
    (current: TasksState) => renewIfDue(current, nowMs),
    (current: TasksState) => repeatReports(current, nowMs),
  ].reduce<TasksStep>(chain, unchanged(state));
}

function onLinkOpened(state: TasksState, linkId: string, inputs: StepInputs): TasksStep {
  const links = [...state.links.filter((link) => link !== linkId), linkId];
  const opened = { ...state, links };
  return state.links.length === 0 ? tickLease(opened, inputs) : unchanged(opened);
}

/** Applies an event to the batch work at an agent. */
export function stepTasks(state: TasksState, event: TasksEvent, inputs: StepInputs): TasksStep {
  switch (event.kind) {
    case 'linkOpened':
      return onLinkOpened(state, event.linkId, inputs);
    case 'linkClosed':
      return unchanged({ ...state, links: state.links.filter((link) => link !== event.linkId) });
    case 'received':
      return onMessage(state, event.linkId, event.message, inputs);
    case 'workerDone':
      return onWorkerDone(state, event, inputs);
    case 'tick':
      return onTick(state, inputs);
    case 'drain':
      return stopAll({ ...state, isDraining: true }, 'evict', 'draining', inputs.nowMs);
    case 'evict':
      return stopTask(state, taskKey(event.id), 'evict', 'tooLate', inputs.nowMs);
    default:
      return assertNever(event);
  }
}
