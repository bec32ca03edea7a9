import type { SchedulerState } from '../types';

/** Makes the next reports apply the ends once more that their workers have kept. */
export function handleKeptEnds(state: SchedulerState): SchedulerState {
  return { ...state, workers: state.workers.map((view) => ({ ...view, handledSequence: 0 })) };
}
