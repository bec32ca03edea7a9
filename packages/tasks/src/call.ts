import type { WorkerCommand } from '@bronzeyoke/ports';
import type { WorkerCallPurpose, TasksState, TasksStep } from './types';

/** Prefix of the ids of calls that this package makes. */
const CALL_PREFIX = 'tasks/';

/** Sends a command to the worker and records its purpose. */
export function callWorker(
  state: TasksState,
  purpose: WorkerCallPurpose,
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

/** Returns whether a call of a kind still awaits its reply. */
export function isCallPending(
  state: TasksState,
  kind: WorkerCallPurpose['kind'],
  key?: string,
): boolean {
  return state.calls.some(
    ({ purpose }) =>
      purpose.kind === kind && (key === undefined || !('key' in purpose) || purpose.key === key),
  );
}
