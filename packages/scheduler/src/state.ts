import { Map, Set as ImmutableSet } from 'immutable';
import { EMPTY_PAIRS } from '@bronzeyoke/interference';
import { NO_RUN_TIMES } from '@bronzeyoke/runtimes';
import type { LeaderMessage } from '@bronzeyoke/wire';
import { NO_ADMISSION_VIEW } from './admission/view';
import { NO_INSTANCES } from './fleet/identities';
import { NO_EARLIER_LEASES } from './fleet/leases';
import { NO_HANDOVER } from './leadership/handoverstate';
import { NO_SLOW_PASSES } from './leadership/slowpasses';
import { NO_PACE } from './placement/passbudget';
import type { ActionScope, PostCommitAction, WriteUrgency } from './leadership/pending';
import { addAction, addRow, NO_PENDING_WRITES } from './leadership/pending';
import { NO_RECOVERY } from './leadership/recoverychart';
import { NO_RUNS } from './runs';
import type { SchedulerEffect, SchedulerSettings, SchedulerState, SchedulerStep } from './types';
import { leadershipChart } from './types';
import type { OpenJob } from './views';

/** Initial value of the state that only a leader keeps. */
export const EMPTY_LEADER_STATE = {
  loading: {},
  jobs: Map<string, never>(),
  held: { jobs: Map<string, never>(), fromKey: '', isReading: false, sentAtMs: 0 },
  undecoded: Map<string, never>(),
  unopened: Map<string, never>(),
  ended: Map<string, never>(),
  endStoredAtMs: Map<string, never>(),
  workers: Map<string, never>(),
  instances: NO_INSTANCES,
  instanceCount: 0,
  runs: NO_RUNS,
  runTimes: NO_RUN_TIMES,
  orphans: NO_RUNS,
  released: Map<string, never>(),
  lateEnds: Map<string, never>(),
  loads: Map<string, never>(),
  passCount: 0,
  restoredCount: 0,
  lastPassAtMs: -Infinity,
  passPausedUntilMs: -Infinity,
  passWork: 0,
  passPace: NO_PACE,
  othersHeldSinceMs: Infinity,
  leftOut: Map<string, never>(),
  failedSearches: Map<string, never>(),
  backOff: Map<string, never>(),
  quickEnds: Map<string, never>(),
  suspects: Map<string, never>(),
  waits: Map<string, never>(),
  heldStarts: NO_RUNS,
  unplacedSince: Map<string, never>(),
  missedTurns: Map<string, never>(),
  absences: Map<string, never>(),
  blockedLoggedAtMs: Map<string, never>(),
  lookedAtMs: -Infinity,
  placeAgainAtMs: Infinity,
  pendingWrites: NO_PENDING_WRITES,
  needsPlacement: false,
  writtenCounts: '',
  countsWrittenAtMs: 0,
  handover: NO_HANDOVER,
  slowPasses: NO_SLOW_PASSES,
  earlierLeases: NO_EARLIER_LEASES,
  dueGrants: ImmutableSet<string>(),
  awaited: Map<string, never>(),
  storedAwaited: new Set<string>(),
  formerLeasesEndAtMs: 0,
  mayGrantUntilMs: 0,
  withdrawals: { seen: Map<string, never>(), sentAtMs: 0 },
  admission: NO_ADMISSION_VIEW,
} as const;

/** Returns the state of a scheduler before its first read of the store. */
export function createScheduler(settings: SchedulerSettings): SchedulerState {
  return {
    settings,
    phase: leadershipChart.initial,
    callCount: 0,
    leaderVersion: -1,
    leaseVersion: -1,
    leaseNumber: 0,
    nextReadAtMs: 0,
    seenVersions: [],
    pollSentAtMs: 0,
    claimedAtMs: 0,
    claimPausedUntilMs: 0,
    eventWaitMs: 0,
    evacuations: { kind: 'unread' },
    links: Map(),
    linksOpened: 0,
    pairs: EMPTY_PAIRS,
    pairsSavedAtMs: 0,
    arePairsDirty: false,
    renewAtMs: 0,
    recovery: NO_RECOVERY,
    ...EMPTY_LEADER_STATE,
  };
}

/** Returns a step with effects. */
export function withEffects(
  state: SchedulerState,
  effects: readonly SchedulerEffect[],
): SchedulerStep {
  return { state, effects };
}

/** Replaces a job, and adds its row to the pending writes. */
export function putJob(
  state: SchedulerState,
  jobId: string,
  open: OpenJob,
  urgency: WriteUrgency = 'high',
): SchedulerState {
  return {
    ...state,
    jobs: state.jobs.set(jobId, open),
    pendingWrites: addRow(state.pendingWrites, jobId, urgency),
    needsPlacement: true,
  };
}

/** Adds an action that follows once the changes until now in its scope are stored. */
export function addPostCommitAction(
  state: SchedulerState,
  action: PostCommitAction,
  scope: ActionScope,
): SchedulerState {
  return { ...state, pendingWrites: addAction(state.pendingWrites, action, scope) };
}

/** Sends a message to the agent of a worker; no effect while it has no connection. */
export function sendToWorker(
  state: SchedulerState,
  workerKey: string,
  message: LeaderMessage,
): readonly SchedulerEffect[] {
  const linkId = state.workers.get(workerKey)?.linkId;
  return linkId === undefined ? [] : [{ kind: 'send', linkId, message }];
}
