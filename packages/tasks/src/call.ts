import type { WorkerCommand } from '@bronzeyoke/ports';
import type { CallPurpose, TasksState, TasksStep } from './types';

/** Prefix of the ids of commands that this package gives. */
export const CALL_PREFIX = 'tasks/';

/** Gives a command to the worker and remembers what for. */
export function callWorker(
  state: TasksState,
  purpose: CallPurpose,
  command: WorkerCommand,
  nowMs: number,
): TasksStep {
  const callId = `${CALL_PREFIX}${state.callCount}`;
  const { incarnation } = state.lease;
  return {
    state: {
      ...state,
      callCount: state.callCount + 1,
      calls: state.calls.set(callId, { purpose, incarnation, sentAtMs: nowMs }),
    },
    effects: [{ kind: 'worker', callId, incarnation, command }],
  };
}

/** Whether a command of a kind has no reply yet. */
export function isCallPending(state: TasksState, kind: CallPurpose['kind'], key?: string): boolean {
  return state.calls.some(
    ({ purpose }) =>
      purpose.kind === kind && (key === undefined || !('key' in purpose) || purpose.key === key),
  );
}

/** Runs one more decision after a step. */
export function chain(step: TasksStep, next: (state: TasksState) => TasksStep): TasksStep {
  const after = next(step.state);
  return { state: after.state, effects: [...step.effects, ...after.effects] };
}

/** Runs a decision for each item in turn. */
export function chainEach<Item>(
  step: TasksStep,
  items: Iterable<Item>,
  next: (state: TasksState, item: Item) => TasksStep,
): TasksStep {
  return [...items].reduce((current, item) => chain(current, (state) => next(state, item)), step);
}
