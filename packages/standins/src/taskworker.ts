import { List, Map } from 'immutable';
import type { ListedEnd, WorkerCall, WorkerCallResult } from '@bronzeyoke/ports';
import { assertNever } from '@bronzeyoke/types';
import type { RunEnd } from '@bronzeyoke/workflow';

/** An attempt of a task that runs on the stand-in of the platform's worker. */
export interface WorkerRun {
  readonly task: string;
  readonly attempt: number;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
}

/** Longest lease of a worker by default. */
const MAX_LEASE_MS = 10_000;

/** State of the stand-in of the platform's worker, between two restarts. */
export interface TaskWorkerState {
  readonly bornAtMs: number;
  readonly fencingToken: number;
  readonly runs: Map<string, WorkerRun>;
  readonly ends: List<ListedEnd>;
  readonly lastEndSequence: number;
  /** Longest time on the worker's clock for which a call extends the lease. */
  readonly maxLeaseMs: number;
  readonly leaseUntilMs: number;
  /** End of the latest lease that has lapsed; 0 while none has. */
  readonly lastLapseMs: number;
  /** Highest attempt of each task that was stopped or has ended here. */
  readonly closedAttempts: Map<string, number>;
}

/** Creates the state of a worker that has just started. */
export function createTaskWorker(bornAtMs: number, maxLeaseMs = MAX_LEASE_MS): TaskWorkerState {
  return {
    bornAtMs,
    fencingToken: 0,
    runs: Map(),
    ends: List(),
    lastEndSequence: 0,
    maxLeaseMs,
    leaseUntilMs: 0,
    lastLapseMs: 0,
    closedAttempts: Map(),
  };
}

function endRun(state: TaskWorkerState, run: WorkerRun, end: RunEnd): TaskWorkerState {
  const { task, attempt } = run;
  const sequence = state.lastEndSequence + 1;
  return {
    ...state,
    runs: state.runs.delete(task),
    ends: state.ends.push({ sequence, task, attempt, end, checkpoint: '' }),
    lastEndSequence: sequence,
    closedAttempts: state.closedAttempts.set(
      task,
      Math.max(attempt, state.closedAttempts.get(task, 0)),
    ),
  };
}

function noteLapse(state: TaskWorkerState): TaskWorkerState {
  const { leaseUntilMs, lastLapseMs } = state;
  return lastLapseMs === leaseUntilMs ? state : { ...state, lastLapseMs: leaseUntilMs };
}

/** Advances time: runs end when their work is done, and all of them when the lease has expired. */
export function advanceTaskWorker(state: TaskWorkerState, clockMs: number): TaskWorkerState {
  const untilMs = Math.min(clockMs, state.leaseUntilMs);
  const done = state.runs
    .filter(({ endsAtMs }) => endsAtMs <= untilMs)
    .sortBy(({ endsAtMs }) => endsAtMs);
  const completed = done.reduce((current, run) => endRun(current, run, 'done'), state);
  if (clockMs < state.leaseUntilMs) return completed;
  return completed.runs.reduce(
    (current, run) => endRun(current, run, 'expired'),
    noteLapse(completed),
  );
}

/** Extends the lease up to its maximum. A call never shortens it, and grants none that is over already. */
function extendLease(state: TaskWorkerState, untilMs: number, clockMs: number): TaskWorkerState {
  const longestMs = Math.min(untilMs, clockMs + state.maxLeaseMs);
  if (longestMs <= Math.max(clockMs, state.leaseUntilMs)) return state;
  return { ...state, leaseUntilMs: longestMs };
}

/** Result of a call to a worker. `started` is the run that the call began. */
export interface WorkerCallStep {
  readonly state: TaskWorkerState;
  readonly result: WorkerCallResult;
  readonly started?: WorkerRun;
}

/**
 * Executes a call. A run that it starts takes `workMs`. The token and the lease of a call that is not
 * fenced take effect even if the worker refuses the order itself.
 */
export function callTaskWorker(
  initial: TaskWorkerState,
  call: WorkerCall,
  clockMs: number,
  workMs: number,
): WorkerCallStep {
  const state = advanceTaskWorker(initial, clockMs);
  const { bornAtMs } = state;
  const done = { kind: 'done', clockMs, bornAtMs } as const;
  const refuse = (
    after: TaskWorkerState,
    reason: 'fenced' | 'superseded' | 'tooLate',
  ): WorkerCallStep => ({ state: after, result: { kind: 'refused', reason, clockMs } });
  if (call.fencingToken < state.fencingToken) return refuse(state, 'fenced');
  const fenced = { ...state, fencingToken: call.fencingToken };
  switch (call.kind) {
    case 'start': {
      const { task, attempt, leaseUntilClockMs } = call;
      const leased = extendLease(fenced, leaseUntilClockMs, clockMs);
      if (clockMs >= leased.leaseUntilMs) return refuse(leased, 'tooLate');
      const existing = leased.runs.get(task);
      if (existing?.attempt === attempt) return { state: leased, result: done };
      if (attempt <= leased.closedAttempts.get(task, 0) || existing !== undefined)
        return refuse(leased, 'superseded');
      const run = { task, attempt, startedAtMs: clockMs, endsAtMs: clockMs + workMs };
      return {
        state: { ...leased, runs: leased.runs.set(task, run) },
        result: done,
        started: run,
      };
    }
    case 'stop': {
      const { task, attempt } = call;
      const run = fenced.runs.get(task);
      const stopped =
        run !== undefined && run.attempt <= attempt ? endRun(fenced, run, 'stopped') : fenced;
      const closedAttempts = stopped.closedAttempts.set(
        task,
        Math.max(attempt, stopped.closedAttempts.get(task, 0)),
      );
      return { state: { ...stopped, closedAttempts }, result: done };
    }
    case 'pace':
      return { state: fenced, result: done };
    case 'hold': {
      const { ackSequence, leaseUntilClockMs = 0 } = call;
      const next = {
        ...extendLease(fenced, leaseUntilClockMs, clockMs),
        ends: fenced.ends.filter(({ sequence }) => sequence > ackSequence),
      };
      const running = next.runs
        .valueSeq()
        .map(({ task, attempt, startedAtMs, endsAtMs }) => {
          const percent = Math.floor((100 * (clockMs - startedAtMs)) / (endsAtMs - startedAtMs));
          return { task, attempt, checkpoint: '', percent, load: 0 };
        })
        .toArray();
      return { state: next, result: { ...done, running, ended: next.ends.toArray() } };
    }
    default:
      return assertNever(call);
  }
}
