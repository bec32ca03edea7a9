import { Map } from 'immutable';
import { createGroup, flushGroup, isGroupIdle, settleGroup } from '@bronzeyoke/commits';
import type { CommitResult, ReadResult } from '@bronzeyoke/ports';
import type { Instant } from '@bronzeyoke/types';
import { assertNever, unchanged, fitsIn } from '@bronzeyoke/types';
import {
  agentDown,
  agentLeaving,
  agentUp,
  evictOut,
  onAnswer,
  onBeat,
  repeatMessages,
} from './agents';
import { commandRead, onCommand } from './command';
import { inboxJobsRead, inboxRead, readInboxes } from './inbox';
import { NOTHING_LEARNED, sizeOf } from './learn';
import { leasesRead, watchLeases } from './lease';
import { addJob, pageRead, resumeLoads } from './load';
import { moveTask } from './move';
import { expireOffers, schedule } from './offer';
import { OFFER_LIMIT_MS, partEnded } from './outcome';
import { quotaOf } from './quota';
import { sequence } from './records';
import { onReport } from './report';
import { retire } from './retire';
import {
  drainShards,
  initialShards,
  renewed,
  rosterRead,
  shardsIn,
  shardsRead,
  survey,
} from './shard';
import type {
  BatchEvent,
  BatchState,
  BatchStep,
  BatchTimer,
  CallPurpose,
  Context,
  World,
} from './types';
import { watchersOf } from './watcher';

const TICK_MS = 50;
const POLL_MS = 1_000;
const SURVEY_POLLS = 3;
const LEASE_POLLS = 4;
const RETIRE_POLLS = 60;

/** Batch work of an entry that owns nothing yet. */
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
    roster: Map(),
    isRosterKnown: false,
    jobs: Map(),
    tasks: Map(),
    offers: Map(),
    usage: Map(),
    byWorker: Map(),
    candidates: Map(),
    agentOf: Map(),
    learned: NOTHING_LEARNED,
    health: Map(),
    leases: Map(),
    isDirty: false,
    scheduledAtMs: 0,
  };
}

/** Whether a planned stop can go ahead: nothing is owned and nothing is on its way. */
export function isBatchIdle(state: BatchState): boolean {
  return (
    shardsIn(state, ['taking', 'loading', 'owned', 'releasing']).length === 0 &&
    isGroupIdle(state.group)
  );
}

function flush(state: BatchState, context: Context): BatchStep {
  const step = flushGroup(state.group, context.nowMs);
  return { state: { ...state, group: step.state }, effects: step.effects };
}

function tick(state: BatchState, context: Context): BatchStep {
  return sequence(state, [
    (from) => expireOffers(from, OFFER_LIMIT_MS, context),
    (from) => schedule(from, context),
    (from) => flush(from, context),
    (from) => ({
      state: from,
      effects: [{ kind: 'wake', timer: { kind: 'tick' }, afterMs: TICK_MS }],
    }),
  ]);
}

/** Tries parked work again that fits now, after a ticket or a new worker. */
function revive(state: BatchState, context: Context): BatchStep {
  const parked = state.tasks.filter((task) => {
    const job = state.jobs.get(task.id.jobId)?.job;
    if (job === undefined) return false;
    const isWanted = task.id.index < job.taskCount && !job.cancelled;
    if (task.phase === 'cancelled') return isWanted && job.role === 'watcher';
    if (task.phase !== 'parked' || task.parkReason === undefined) return false;
    const reserved = sizeOf(state.learned, job.workKind, job.declared, task.floor);
    const { kind } = task.parkReason;
    const quota = quotaOf(context.world.configuration, job.team);
    return kind === 'overQuota'
      ? quota === undefined || fitsIn(reserved, quota)
      : kind === 'tooLarge' &&
          state.candidates.some(({ profile }) => fitsIn(reserved, profile.total));
  });
  return sequence(
    state,
    [...parked.keys()].map((key) => (from) => moveTask(from, key, 'revive', {}, context)),
  );
}

function configured(state: BatchState, context: Context): BatchStep {
  const owned = shardsIn(state, ['owned']);
  const records = owned.flatMap(({ shard }) =>
    watchersOf(shard, [], context, (jobId) => state.jobs.has(jobId)),
  );
  return sequence({ ...state, isDirty: true }, [
    ...records.map(
      (record) => (from: BatchState) => addJob(from, record, new globalThis.Map(), context),
    ),
    (from) => revive(from, context),
    (from) => evictOut(from, context),
  ]);
}

function poll(state: BatchState, context: Context): BatchStep {
  const count = state.pollCount;
  const isTurn = (every: number) => count % every === 0;
  const always: readonly ((from: BatchState) => BatchStep)[] = [
    readInboxes,
    resumeLoads,
    (from) => evictOut(from, context),
    (from) => repeatMessages(from, context),
  ];
  return sequence({ ...state, pollCount: count + 1 }, [
    ...always,
    ...(isTurn(SURVEY_POLLS) ? [(from: BatchState) => survey(from, context)] : []),
    ...(isTurn(LEASE_POLLS) ? [(from: BatchState) => watchLeases(from, context)] : []),
    ...(isTurn(RETIRE_POLLS)
      ? [
          (from: BatchState) => unchanged(retire(from, context)),
          (from: BatchState) => revive(from, context),
        ]
      : []),
    (from) => ({
      state: from,
      effects: [{ kind: 'wake', timer: { kind: 'poll' }, afterMs: POLL_MS }],
    }),
  ]);
}

function onTimer(state: BatchState, timer: BatchTimer, context: Context): BatchStep {
  switch (timer.kind) {
    case 'tick':
      return tick(state, context);
    case 'poll':
      return poll(state, context);
    default:
      return assertNever(timer);
  }
}

function onRead(
  state: BatchState,
  purpose: CallPurpose,
  result: ReadResult,
  context: Context,
): BatchStep {
  switch (purpose.kind) {
    case 'roster':
      return rosterRead(state, result, context);
    case 'shards':
      return shardsRead(state, result, context);
    case 'renew':
      return unchanged(state);
    case 'load':
      return pageRead(state, purpose.shard, purpose.version, result, context);
    case 'inbox':
      return inboxRead(state, purpose.shard, result);
    case 'inboxJobs':
      return inboxJobsRead(state, purpose.shard, purpose.inbox, result, context);
    case 'leases':
      return leasesRead(state, purpose.workers, purpose.sentAtMs, result, context);
    case 'sameKey':
    case 'cancelRead':
    case 'showRead':
    case 'showTasks':
    case 'list':
      return commandRead(state, purpose, result);
    default:
      return assertNever(purpose);
  }
}

function onCommit(
  state: BatchState,
  callId: string,
  result: CommitResult,
  context: Context,
): BatchStep {
  const purpose = state.calls.get(callId);
  if (purpose?.kind === 'renew') {
    const ended = { ...state, calls: state.calls.delete(callId) };
    return renewed(ended, purpose.shards, result, context);
  }
  const settled = settleGroup(state.group, callId, result, context.nowMs);
  return sequence(
    { ...state, group: settled.state },
    settled.outcomes.map((outcome) => (from) => partEnded(from, outcome, context)),
  );
}

function decide(state: BatchState, event: BatchEvent, context: Context): BatchStep {
  switch (event.kind) {
    case 'started':
      return sequence({ ...state, wallOffsetMs: event.wallOffsetMs, startedAtMs: context.nowMs }, [
        (from) => tick(from, context),
        (from) => poll(from, context),
      ]);
    case 'timer':
      return onTimer(state, event.timer, context);
    case 'agentUp':
      return agentUp(state, event.agentId, event.profile, context);
    case 'agentLeaving':
      return agentLeaving(state, event.agentId);
    case 'agentDown':
      return agentDown(state, event.agentId, context);
    case 'beat':
      return onBeat(state, event.agentId, event.free, event.slowDowns);
    case 'accepted':
    case 'declined': {
      const { agentId, offerId, free } = event;
      return onAnswer(state, agentId, offerId, event.kind === 'accepted', free, context);
    }
    case 'report':
      return onReport(state, event.agentId, event.id, event.epoch, event.report, context);
    case 'configured':
      return configured(state, context);
    case 'command':
      return onCommand(state, event.callId, event.command, context);
    case 'drain':
      return drainShards(state, context);
    case 'commitDone':
      return onCommit(state, event.callId, event.result, context);
    case 'readDone': {
      const purpose = state.calls.get(event.callId);
      if (purpose === undefined) return unchanged(state);
      const ended = { ...state, calls: state.calls.delete(event.callId) };
      return onRead(ended, purpose, event.result, context);
    }
    default:
      return assertNever(event);
  }
}

/** Decides about batch work. */
export function stepBatch(
  state: BatchState,
  event: BatchEvent,
  world: World,
  { nowMs, random }: Instant,
): BatchStep {
  return decide(state, event, { world, nowMs, random });
}
