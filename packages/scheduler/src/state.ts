import { Map } from 'immutable';
import { EMPTY_PAIRS } from '@bronzeyoke/interference';
import type { LeaderMessage } from '@bronzeyoke/wire';
import { NO_RUNS } from './runs';
import type {
  AfterCommit,
  Batch,
  OpenJob,
  SchedulerEffect,
  SchedulerSettings,
  SchedulerState,
  SchedulerStep,
} from './types';
import { leadershipChart } from './types';

/** A batch without rows. */
export const EMPTY_BATCH: Batch = { jobIds: new Set(), after: [] };

/** The part of the state that only a leader has, empty. */
export const NOT_LEADING = {
  loading: {},
  jobs: Map<string, never>(),
  ended: Map<string, never>(),
  workers: Map<string, never>(),
  runs: NO_RUNS,
  ghosts: Map<string, never>(),
  backOff: Map<string, never>(),
  queued: EMPTY_BATCH,
  needsPlacement: false,
  pendingCounts: '',
  countsAtMs: 0,
} as const;

/** State of a scheduler that has read nothing yet. */
export function createScheduler(settings: SchedulerSettings): SchedulerState {
  return {
    settings,
    phase: leadershipChart.initial,
    calls: 0,
    leaderVersion: -1,
    leaseVersion: -1,
    leaseNumber: 0,
    pollAtMs: 0,
    claimedAtMs: 0,
    wasReleased: false,
    mayGrantUntilMs: 0,
    domainsOut: new Set(),
    links: Map(),
    linksOpened: 0,
    pairs: EMPTY_PAIRS,
    pairsSavedAtMs: 0,
    arePairsDirty: false,
    renewAtMs: 0,
    ...NOT_LEADING,
  };
}

/** A step without effects. */
export function stay(state: SchedulerState): SchedulerStep {
  return { state, effects: [] };
}

/** Applies decisions after a step. */
export function chainAfter(
  first: SchedulerStep,
  decisions: readonly ((state: SchedulerState) => SchedulerStep)[],
): SchedulerStep {
  return decisions.reduce<SchedulerStep>((step, decide) => {
    const next = decide(step.state);
    return { state: next.state, effects: [...step.effects, ...next.effects] };
  }, first);
}

/** Applies decisions one after the other. */
export function chain(
  state: SchedulerState,
  decisions: readonly ((state: SchedulerState) => SchedulerStep)[],
): SchedulerStep {
  return chainAfter(stay(state), decisions);
}

/** Adds effects to a state. */
export function withEffects(
  state: SchedulerState,
  effects: readonly SchedulerEffect[],
): SchedulerStep {
  return { state, effects };
}

/** Replaces a job, and notes that its row has to be written. */
export function putJob(state: SchedulerState, jobId: string, open: OpenJob): SchedulerState {
  const { queued } = state;
  return {
    ...state,
    jobs: state.jobs.set(jobId, open),
    queued: { ...queued, jobIds: new Set([...queued.jobIds, jobId]) },
    needsPlacement: true,
  };
}

/** Adds what is done after the next transaction. */
export function afterCommit(state: SchedulerState, action: AfterCommit): SchedulerState {
  const { queued } = state;
  return { ...state, queued: { ...queued, after: [...queued.after, action] } };
}

/** A message to the agent of a worker; nothing while it has no connection. */
export function tellWorker(
  state: SchedulerState,
  workerKey: string,
  message: LeaderMessage,
): readonly SchedulerEffect[] {
  const linkId = state.workers.get(workerKey)?.linkId;
  return linkId === undefined ? [] : [{ kind: 'send', linkId, message }];
}
