import type { ListedEnd } from '@bronzeyoke/ports';
import type { EventFields } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import type { RunRef } from '@bronzeyoke/wire';
import type { RunnerEffect, RunnerState, StartCall, WorkerState } from './types';
import { orderKey } from './types';

/** A start call to an instance that has ended. */
interface EarlierOrder {
  readonly call: StartCall;
  /** The instance that was called. */
  readonly workerKey: string;
}

/** Returns the open start call of a run to an instance that has ended. */
function earlierOrderOf({ goneWorkers }: RunnerState, run: RunRef): EarlierOrder | undefined {
  const key = orderKey(run);
  return goneWorkers.flatMap(({ workerKey, openStarts }) => {
    const call = openStarts.get(key);
    return call === undefined ? [] : [{ call, workerKey }];
  })[0];
}

/** Returns which earlier instance the order of a run was for, and how long ago it was called. */
export function earlierOrderFields(state: RunnerState, run: RunRef, nowMs: number): EventFields {
  const order = earlierOrderOf(state, run);
  if (order === undefined) return {};
  return {
    orderedFor: order.workerKey,
    orderedAgoMs: Math.round(nowMs - order.call.calledAtMs),
  };
}

/**
 * Logs the ends of runs that a worker began by orders to earlier instances. Each is logged at the first list
 * that names it: its sequence is above those of the list before.
 */
export function lateOrderEnds(
  state: RunnerState,
  before: WorkerState,
  ended: readonly ListedEnd[],
  nowMs: number,
): readonly RunnerEffect[] {
  if (state.goneWorkers.every(({ openStarts }) => openStarts.isEmpty())) return [];
  const listed = new Set(before.ended.map(({ sequence }) => sequence));
  return ended
    .filter((run) => !listed.has(run.sequence) && earlierOrderOf(state, run) !== undefined)
    .map(({ task, attempt, end }) =>
      logEffect('lateOrderEnded', {
        worker: before.workerKey,
        task,
        attempt,
        end,
        ...earlierOrderFields(state, { task, attempt }, nowMs),
      }),
    );
}
