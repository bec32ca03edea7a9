import type { AwayReason, EventFields } from '@bronzeyoke/telemetry';
import { AWAY_REASONS, logEffect } from '@bronzeyoke/telemetry';
import { assertNever, memoize } from '@bronzeyoke/types';
import { Map } from 'immutable';
import { serviceOf } from '../placement/pass';
import { withEffects } from '../state';
import { LOG_AGAIN_MS, MAX_LINES, roomFields, taskLog } from '../tasklog';
import type { SchedulerEffect, SchedulerState, SchedulerStep } from '../types';
import type { Absence } from '../views';
import type { LastingTask, Whereabouts } from './whereabouts';
import { lastingTasks, whereaboutsOf } from './whereabouts';

/** Time after which an absence is logged. */
const LOG_AFTER_MS = 3_000;

/** A lasting task that does not work, and why. */
interface AwayTask {
  readonly lasting: LastingTask;
  readonly reason: AwayReason;
  readonly whereabouts: Whereabouts;
  readonly absence: Absence;
}

/** Returns why a task is away; undefined for one that works or cannot start yet. */
function reasonOf(whereabouts: Whereabouts): AwayReason | undefined {
  switch (whereabouts.kind) {
    case 'working':
    case 'notReady':
      return undefined;
    case 'storing':
    case 'awaitingAgent':
    case 'starting':
    case 'stopping':
    case 'silent':
    case 'backingOff':
    case 'searching':
    case 'reserved':
    case 'clearing':
    case 'queued':
    case 'contradictory':
      return whereabouts.kind;
    default:
      return assertNever(whereabouts);
  }
}

/** Returns since when a task has been away, as far as the leader knows. */
function awaySinceMs(state: SchedulerState, task: string, nowMs: number): number {
  const waitSinceMs = state.waits.get(task)?.sinceMs ?? nowMs;
  const claimedAtMs = state.runs.byTask.get(task)?.claimedAtMs ?? nowMs;
  return Math.min(waitSinceMs, claimedAtMs, nowMs);
}

function findAway(state: SchedulerState, nowMs: number, wallMs: number): readonly AwayTask[] {
  return lastingTasks(state, wallMs).flatMap((lasting): readonly AwayTask[] => {
    const whereabouts = whereaboutsOf(state, lasting, nowMs);
    const reason = reasonOf(whereabouts);
    if (reason === undefined) return [];
    const known = state.absences.get(lasting.task);
    // A run that is silent or being stopped worked until then.
    const startMs =
      reason === 'silent' || reason === 'stopping'
        ? nowMs
        : awaySinceMs(state, lasting.task, nowMs);
    return [{ lasting, reason, whereabouts, absence: known ?? { sinceMs: startMs } }];
  });
}

/** What a stage needs and which workers could run a task of it, for a log line. */
type RoomCounter = (lasting: LastingTask) => EventFields;

/** Returns a counter for one look. The tasks of a stage share a look at the fleet. */
function createRoomCounter(state: SchedulerState): RoomCounter {
  return memoize(
    ({ stage }) => stage,
    ({ stage, open }) => {
      const service = serviceOf(state, open);
      const loads = [...state.loads.values()].map(({ load }) => load);
      return roomFields(
        stage,
        loads.filter((load) => load.service === service),
      );
    },
  );
}

/** Returns what decides the next step of a task that is away. */
function detailsOf(
  { lasting, whereabouts }: AwayTask,
  roomOf: RoomCounter,
  nowMs: number,
): EventFields {
  switch (whereabouts.kind) {
    case 'storing':
    case 'starting':
    case 'stopping': {
      const { workerKey, sinceMs } = whereabouts;
      return { worker: workerKey, stateMs: Math.round(nowMs - sinceMs) };
    }
    case 'silent':
    case 'awaitingAgent': {
      const { workerKey, untilMs } = whereabouts;
      return { worker: workerKey, endsInMs: Math.round(untilMs - nowMs) };
    }
    case 'backingOff':
      return { endsInMs: Math.round(whereabouts.untilMs - nowMs) };
    case 'reserved':
    case 'clearing':
      return { worker: whereabouts.workerKey };
    case 'searching':
    case 'queued':
      return roomOf(lasting);
    case 'contradictory':
      return { problem: whereabouts.problem };
    case 'working':
    case 'notReady':
      return {};
    default:
      return assertNever(whereabouts);
  }
}

function describe(away: AwayTask, roomOf: RoomCounter, nowMs: number): SchedulerEffect {
  const { lasting, reason, absence } = away;
  const { task, stage, open } = lasting;
  return taskLog(stage, 'taskAway', {
    job: open.job.jobId,
    task,
    reason,
    awayMs: Math.round(nowMs - absence.sinceMs),
    ...detailsOf(away, roomOf, nowMs),
  });
}

/** Returns the counts by reason; those of a leader without absences are logged once. */
function describeCounts(
  state: SchedulerState,
  away: readonly AwayTask[],
): readonly SchedulerEffect[] {
  if (away.length === 0 && state.absences.isEmpty()) return [];
  const counts = AWAY_REASONS.map(
    (reason) => [reason, away.filter((other) => other.reason === reason).length] as const,
  );
  return [logEffect('awayCounts', { total: away.length, ...Object.fromEntries(counts) })];
}

/**
 * Logs the lasting tasks that have been away for long, each again while it stays away, and counts those
 * that are away by reason.
 */
export function logAbsences(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const away = findAway(state, nowMs, wallMs);
  const isLate = ({ absence: { sinceMs, loggedAtMs = -Infinity } }: AwayTask): boolean =>
    nowMs - sinceMs >= LOG_AFTER_MS && nowMs - loggedAtMs >= LOG_AGAIN_MS;
  const late = away
    .filter(isLate)
    .toSorted((left, right) => left.absence.sinceMs - right.absence.sinceMs)
    .slice(0, MAX_LINES);
  const roomOf = createRoomCounter(state);
  const logged = new Set(late.map(({ lasting }) => lasting.task));
  const absences = away.map(({ lasting: { task }, absence }): readonly [string, Absence] => [
    task,
    logged.has(task) ? { ...absence, loggedAtMs: nowMs } : absence,
  ]);
  return withEffects({ ...state, absences: Map(absences) }, [
    ...late.map((task) => describe(task, roomOf, nowMs)),
    ...describeCounts(state, away),
  ]);
}
