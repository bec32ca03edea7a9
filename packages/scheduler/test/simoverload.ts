import { DEFAULT_POLICY } from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';
import { TIMES } from './fixture';
import { MEASURED_COSTS } from './simcpu';
import { startOf } from './simslow';
import type { Simulation } from './simtypes';
import { createSimulation } from './simulation';

const WORKERS = 100;
const ENTRIES = 5;
const LASTING_TASKS = Math.round(WORKERS * 1.2);
const WARM_UP_MS = 4_000;
const PLAY_MS = 8_000;
const REST_MS = 4_000;
const STEP_MS = 100;

/** Narrow jobs that are quick, and wide ones, of which a burst brings more. */
const QUICK_TASKS = 2;
const QUICK_EVERY_MS = 100;
const WIDE_TASKS = 39;
const WIDE_EVERY_MS = 300;
const BURST_EVERY_MS = 150;

/** Machines that restart one after the other while the burst lasts. */
const RESTARTED_SHARE = 0.3;
const SILENT_MS = 3_000;

/** What disturbs a leader beside a burst of wide jobs. */
export type Disturbance =
  /** Workers restart one after the other, as in a release. */
  | 'release'
  /** The store is silent for some seconds, and answers again with a backlog of jobs. */
  | 'silentStore'
  /** The leader is killed, and the next one takes the backlog over. */
  | 'killedLeader';

/** Options of a play of overloaded entries. */
export interface OverloadPlay {
  readonly ordersEvents: boolean;
  /** Processors of each entry. */
  readonly processors: number;
  readonly disturbance: Disturbance;
}

/** What a play of overloaded entries has shown. */
export interface OverloadResult {
  /** Times from the hand-in of quick jobs to their first start, and of wide ones to their last, in order. */
  readonly quickMs: readonly number[];
  readonly wideMs: readonly number[];
  /** Waits of answers to transactions for the processor of the leader during the play, in order. */
  readonly commitWaitsMs: readonly number[];
  /** Leases of live workers that the leaders have taken as expired. */
  readonly lapses: number;
  readonly claims: number;
  readonly broken: readonly string[];
}

function disturb(simulation: Simulation, disturbance: Disturbance, stepMs: number): void {
  switch (disturbance) {
    case 'release': {
      const everyMs = PLAY_MS / (WORKERS * RESTARTED_SHARE);
      const before = Math.floor(stepMs / everyMs);
      const after = Math.floor((stepMs + STEP_MS) / everyMs);
      Array.from({ length: after - before }, (_, index) => before + index).forEach((index) =>
        simulation.restartWorker(index),
      );
      return;
    }
    case 'silentStore':
      if (stepMs === 1_000) simulation.setStore({ isSilent: true });
      if (stepMs === 1_000 + SILENT_MS) simulation.calmStore();
      return;
    case 'killedLeader':
      if (stepMs === 1_000) simulation.killEntry(simulation.leader(), 2_000);
      return;
    default:
      assertNever(disturbance);
  }
}

/** Returns when the last task of a job began; infinite if one has not. */
function lastStartOf(simulation: Simulation, jobId: string): number {
  return Math.max(
    ...Array.from({ length: WIDE_TASKS }, (_, index) => startOf(simulation, jobId, index)),
  );
}

/** Plays quick jobs beside a burst of wide ones that overloads the leader. */
export function playOverload(
  seed: number,
  { ordersEvents, processors, disturbance }: OverloadPlay,
): OverloadResult {
  const simulation = createSimulation(seed, WORKERS, TIMES, {
    costs: MEASURED_COSTS,
    processors: Array.from({ length: ENTRIES }, () => processors),
    policy: { ...DEFAULT_POLICY, handsOver: true, detectsEndedHolder: true, ordersEvents },
  });
  const quick: (readonly [string, number])[] = [];
  const wide: (readonly [string, number])[] = [];
  const submitDue = (stepMs: number, wideEveryMs: number): void => {
    if (stepMs % QUICK_EVERY_MS === 0) {
      quick.push([simulation.submit('short', QUICK_TASKS), simulation.now()]);
    }
    if (Math.floor(stepMs / wideEveryMs) !== Math.floor((stepMs + STEP_MS) / wideEveryMs)) {
      wide.push([simulation.submit('short', WIDE_TASKS), simulation.now()]);
    }
  };
  simulation.submit('lasting', LASTING_TASKS);
  simulation.advance(WARM_UP_MS);
  const sinceMs = simulation.now();
  const warmCommits = simulation.commitWaitsMs().length;
  Array.from({ length: PLAY_MS / STEP_MS }, (_, step) => step * STEP_MS).forEach((stepMs) => {
    disturb(simulation, disturbance, stepMs);
    submitDue(stepMs, stepMs < PLAY_MS / 2 ? BURST_EVERY_MS : WIDE_EVERY_MS);
    simulation.advance(STEP_MS);
  });
  simulation.advance(REST_MS);
  const ordered = (times: readonly number[]): readonly number[] =>
    times.toSorted((left, right) => left - right);
  return {
    quickMs: ordered(quick.map(([jobId, atMs]) => startOf(simulation, jobId, 0) - atMs)),
    commitWaitsMs: ordered(simulation.commitWaitsMs().slice(warmCommits)),
    wideMs: ordered(wide.map(([jobId, atMs]) => lastStartOf(simulation, jobId) - atMs)),
    lapses: simulation
      .logged()
      .filter(
        ({ atMs, event, fields }) =>
          atMs >= sinceMs && event === 'workerGone' && fields.reason === 'leaseExpired',
      ).length,
    claims: simulation.claims().length,
    broken: [...new Set(simulation.violations().map(({ kind }) => kind))],
  };
}
