import { Map } from 'immutable';
import { createGroup, flushGroup, isGroupIdle, applyCommitResult } from '@bronzeyoke/commits';
import type { CommitResult, ReadResult } from '@bronzeyoke/ports';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, fitsIn, chainAll } from '@bronzeyoke/types';
import {
  onAgentDown,
  onAgentLeaving,
  onAgentUp,
  evictFromOutDomains,
  onAnswer,
  onBeat,
  repeatMessages,
} from './agents';
import { onCommandRead, onCommand } from './command';
import { onInboxJobsRead, onInboxRead, readInboxes } from './inbox';
import { NOTHING_LEARNED, reservationOf } from './learn';
import { onLeasesRead, readLeases } from './lease';
import { addJob, onPageRead, resumeLoads } from './load';
import { advanceTask } from './transition';
import { expireOffers, scheduleTasks } from './offer';
import { OFFER_EXPIRY_MS, onPartOutcome } from './outcome';
import { quotaOf } from './quota';
import { onReport } from './report';
import { retireJobs } from './retire';
import { drainShards, onRenewal, onEntriesRead, onShardsRead, refreshOwnership } from './ownership';
import { initialShards, shardsIn } from './shard';
import type {
  BatchEvent,
  BatchEffect,
  BatchState,
  BatchStep,
  BatchTimer,
  BatchPurpose,
  BatchContext,
  BatchInputs,
} from './types';
import { watchersOf } from './watcher';

const TICK_MS = 50;
const POLL_MS = 1_000;
const POLLS_PER_OWNERSHIP_REFRESH = 3;
const POLLS_PER_LEASE_READ = 4;
const POLLS_PER_RETIREMENT = 60;

/** Creates the batch state of an entry that owns no shards yet. */
export function createBatch(entryId: string, domain: string): BatchState {
  return {
    entryId,
    domain,
    wallOffsetMs: 0,
    startedAtMs: 0,
    isDraining: false,
    idCount: 0,
    pollCount: 0,
    group: createGroup('batch'),
    parts: Map(),
    calls: Map(),
    shards: Map(initialShards().map((view) => [view.shard, view])),
    entryRows: Map(),
    areEntriesKnown: false,
    jobs: Map(),
    tasks: Map(),
    offers: Map(),
    usage: Map(),
    byWorker: Map(),
    candidates: Map(),
    agentByWorker: Map(),
    learned: NOTHING_LEARNED,
    health: Map(),
    leases: Map(),
    needsScheduling: false,
    scheduledAtMs: 0,
  };
}

/** Returns whether a planned stop can proceed: no shard is owned and no commit is in progress. */
export function isBatchIdle(state: BatchState): boolean {
  return (
    shardsIn(state, ['taking', 'loading', 'owned', 'releasing']).length === 0 &&
    isGroupIdle(state.group)
  );
}

function flush(state: BatchState, context: BatchContext): BatchStep {
  const step = flushGroup(state.group, context.nowMs);
  return { state: { ...state, group: step.state }, effects: step.effects };
}

function onTick(state: BatchState, context: BatchContext): BatchStep {
  return chainAll(state, [
    (from) => expireOffers(from, OFFER_EXPIRY_MS, context),
    (from) => scheduleTasks(from, context),
    (from) => flush(from, context),
    (from) => ({
      state: from,
      effects: [{ kind: 'wake', timer: { kind: 'tick' }, afterMs: TICK_MS }],
    }),
  ]);
}

/** Requeues parked tasks that fit now, and cancelled watcher instances that are wanted again. */
function requeueTasks(state: BatchState, context: BatchContext): BatchStep {
  const requeued = state.tasks.filter((task) => {
    const job = state.jobs.get(task.id.jobId)?.job;
    if (job === undefined) return false;
    const isWanted = task.id.index < job.taskCount && !job.cancelled;
    if (task.phase === 'cancelled') return isWanted && job.role === 'watcher';
    if (task.phase !== 'parked' || task.parkReason === undefined) return false;
    const reserved = reservationOf(state.learned, job.workKind, job.declared, task.floor);
    const { kind } = task.parkReason;
    const quota = quotaOf(context.inputs.configuration, job.team);
    return kind === 'overQuota'
      ? quota === undefined || fitsIn(reserved, quota)
      : kind === 'tooLarge' &&
          state.candidates.some(({ profile }) => fitsIn(reserved, profile.total));
  });
  return chainAll(
    state,
    [...requeued.keys()].map((key) => (from) => advanceTask(from, key, 'requeue', {}, context)),
  );
}

function onConfigured(state: BatchState, context: BatchContext): BatchStep {
  const owned = shardsIn(state, ['owned']);
  const records = owned.flatMap(({ shard }) =>
    watchersOf(shard, [], context, (jobId) => state.jobs.has(jobId)),
  );
  return chainAll<BatchState, BatchEffect>({ ...state, needsScheduling: true }, [
    ...records.map(
      (record) => (from: BatchState) => addJob(from, record, new globalThis.Map(), context),
    ),
    (from) => requeueTasks(from, context),
    (from) => evictFromOutDomains(from, context),
  ]);
}

function onPoll(state: BatchState, context: BatchContext): BatchStep {
  const count = state.pollCount;
  const isDue = (every: number) => count % every === 0;
  const always: readonly ((from: BatchState) => BatchStep)[] = [
    readInboxes,
    resumeLoads,
    (from) => evictFromOutDomains(from, context),
    (from) => repeatMessages(from, context),
  ];
  return chainAll({ ...state, pollCount: count + 1 }, [
    ...always,
    ...(isDue(POLLS_PER_OWNERSHIP_REFRESH)
      ? [(from: BatchState) => refreshOwnership(from, context)]
      : []),
    ...(isDue(POLLS_PER_LEASE_READ) ? [(from: BatchState) => readLeases(from, context)] : []),
    ...(isDue(POLLS_PER_RETIREMENT)
      ? [
          (from: BatchState) => unchanged(retireJobs(from, context)),
          (from: BatchState) => requeueTasks(from, context),
        ]
      : []),
    (from) => ({
      state: from,
      effects: [{ kind: 'wake', timer: { kind: 'poll' }, afterMs: POLL_MS }],
    }),
  ]);
}

function onTimer(state: BatchState, timer: BatchTimer, context: BatchContext): BatchStep {
  switch (timer.kind) {
    case 'tick':
      return onTick(state, context);
    case 'poll':
      return onPoll(state, context);
    default:
      return assertNever(timer);
  }
}

function onReadResult(
  state: BatchState,
  purpose: BatchPurpose,
  result: ReadResult,
  context: BatchContext,
): BatchStep {
  switch (purpose.kind) {
    case 'entries':
      return onEntriesRead(state, result, context);
    case 'shards':
      return onShardsRead(state, result, context);
    case 'renew':
      return unchanged(state);
    case 'load':
      return onPageRead(state, purpose.shard, purpose.version, result, context);
    case 'inbox':
      return onInboxRead(state, purpose.shard, result);
    case 'inboxJobs':
      return onInboxJobsRead(state, purpose.shard, purpose.inbox, result, context);
    case 'leases':
      return onLeasesRead(state, purpose.workers, purpose.sentAtMs, result, context);
    case 'existingJob':
    case 'cancelRead':
    case 'showRead':
    case 'showTasks':
    case 'list':
      return onCommandRead(state, purpose, result);
    default:
      return assertNever(purpose);
  }
}

function onCommitResult(
  state: BatchState,
  callId: string,
  result: CommitResult,
  context: BatchContext,
): BatchStep {
  const purpose = state.calls.get(callId);
  if (purpose?.kind === 'renew') {
    const ended = { ...state, calls: state.calls.delete(callId) };
    return onRenewal(ended, purpose.shards, result, context);
  }
  const settled = applyCommitResult(state.group, callId, result, context.nowMs);
  return chainAll(
    { ...state, group: settled.state },
    settled.outcomes.map((outcome) => (from) => onPartOutcome(from, outcome, context)),
  );
}

function handleEvent(state: BatchState, event: BatchEvent, context: BatchContext): BatchStep {
  switch (event.kind) {
    case 'started':
      return chainAll({ ...state, wallOffsetMs: event.wallOffsetMs, startedAtMs: context.nowMs }, [
        (from) => onTick(from, context),
        (from) => onPoll(from, context),
      ]);
    case 'timer':
      return onTimer(state, event.timer, context);
    case 'agentUp':
      return onAgentUp(state, event.agentId, event.profile, context);
    case 'agentLeaving':
      return onAgentLeaving(state, event.agentId);
    case 'agentDown':
      return onAgentDown(state, event.agentId, context);
    case 'beat':
      return onBeat(state, event.agentId, event.free, event.slowDowns);
    case 'accepted':
    case 'declined': {
      const reason = event.kind === 'declined' ? event.reason : undefined;
      return onAnswer(state, event.agentId, event.offerId, reason, event.free, context);
    }
    case 'report':
      return onReport(state, event.agentId, event.id, event.epoch, event.report, context);
    case 'configured':
      return onConfigured(state, context);
    case 'command':
      return onCommand(state, event.callId, event.command, context);
    case 'drain':
      return drainShards(state, context);
    case 'commitDone':
      return onCommitResult(state, event.callId, event.result, context);
    case 'readDone': {
      const purpose = state.calls.get(event.callId);
      if (purpose === undefined) return unchanged(state);
      const ended = { ...state, calls: state.calls.delete(event.callId) };
      return onReadResult(ended, purpose, event.result, context);
    }
    default:
      return assertNever(event);
  }
}

/** Applies an event to the state of batch work. */
export function stepBatch(
  state: BatchState,
  event: BatchEvent,
  inputs: BatchInputs,
  { nowMs, random }: StepInputs,
): BatchStep {
  return handleEvent(state, event, { inputs, nowMs, random });
}
