import { isAdmissionIdle } from '@bronzeyoke/admission';
import { advance } from '@bronzeyoke/chart';
import type { LifecycleAction } from '@bronzeyoke/lifecycle';
import { DRAIN_TIMEOUT_MS, lifecycleChart } from '@bronzeyoke/lifecycle';
import { isTasksIdle } from '@bronzeyoke/tasks';
import type { Failure, StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, chain } from '@bronzeyoke/types';
import { broadcast } from './broadcast';
import { handleAdmission } from './admission';
import type { AgentEffect, AgentState, AgentStep } from './types';

function lifecycleEffects(state: AgentState, action: LifecycleAction): readonly AgentEffect[] {
  switch (action) {
    case 'announce':
      return broadcast(state, { kind: 'draining' });
    case 'startTimeout':
      return [{ kind: 'wake', timer: { kind: 'stopTimeout' }, afterMs: DRAIN_TIMEOUT_MS }];
    case 'exit':
      return [{ kind: 'exit', ...(state.failure === undefined ? {} : { failure: state.failure }) }];
    default:
      return assertNever(action);
  }
}

/** Applies an event to the lifecycle chart and returns the effects of its actions. */
export function advanceLifecycle(state: AgentState, event: 'stop' | 'idle' | 'timeout'): AgentStep {
  const next = advance(lifecycleChart, state.lifecycle, event);
  const changed = { ...state, lifecycle: next.state };
  return {
    state: changed,
    effects: next.actions.flatMap((action) => lifecycleEffects(changed, action)),
  };
}

/** Starts a planned stop: requests in progress are finished, new ones are refused as not run. */
export function drain(state: AgentState, inputs: StepInputs): AgentStep {
  return chain(handleAdmission(state, { kind: 'drain' }, inputs), (current) =>
    advanceLifecycle(current, 'stop'),
  );
}

/** Stops after another agent took over: its tasks are left to that agent, requests are finished. */
export function drainAfterFailure(
  state: AgentState,
  failure: Failure,
  inputs: StepInputs,
): AgentStep {
  return drain({ ...state, failure }, inputs);
}

/** Completes a stop once no request or task is left. */
export function stopWhenIdle(state: AgentState): AgentStep {
  const isDone = state.failure !== undefined || isTasksIdle(state.tasks);
  return state.lifecycle === 'draining' && isAdmissionIdle(state.admission) && isDone
    ? advanceLifecycle(state, 'idle')
    : unchanged(state);
}
