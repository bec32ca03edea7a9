import type { InterferenceEffect, InterferenceEvent, Neighbour } from '@bronzeyoke/interference';
import { resetSentFactors, stepInterference, takeChangedSlowDowns } from '@bronzeyoke/interference';
import type { StepInputs, SlowDown } from '@bronzeyoke/types';
import { assertNever, unchanged, chain } from '@bronzeyoke/types';
import { handleTasks } from './tasks';
import type { AgentState, AgentStep } from './types';

const RUNNING_PHASES: ReadonlySet<string> = new Set(['running', 'checkpointing', 'stopping']);

function neighboursOf({ tasks }: AgentState): readonly Neighbour[] {
  return tasks.records
    .valueSeq()
    .filter(({ phase }) => RUNNING_PHASES.has(phase))
    .map(({ task: { id, workKind, role, reserved } }) => ({
      id,
      workKind,
      role,
      processorsMilli: reserved.processorsMilli,
    }))
    .toArray();
}

function performInterferenceEffect(
  state: AgentState,
  effect: InterferenceEffect,
  inputs: StepInputs,
): AgentStep {
  switch (effect.kind) {
    case 'worker':
      return { state, effects: [effect] };
    case 'evict':
      return handleTasks(state, effect, inputs);
    default:
      return assertNever(effect);
  }
}

/** Handles an event of interference control and performs its effects. */
export function handleInterference(
  state: AgentState,
  event: InterferenceEvent,
  inputs: StepInputs,
): AgentStep {
  const step = stepInterference(state.interference, event, inputs);
  return step.effects.reduce<AgentStep>(
    (done, effect) => chain(done, (current) => performInterferenceEffect(current, effect, inputs)),
    unchanged({ ...state, interference: step.state }),
  );
}

/** Ends a window. Without the lease no command can be sent to the worker, so nothing is decided. */
export function endWindow(state: AgentState, inputs: StepInputs): AgentStep {
  const { phase, incarnation } = state.tasks.lease;
  if (phase !== 'held') return unchanged(state);
  const neighbours = neighboursOf(state);
  return handleInterference(state, { kind: 'window', incarnation, neighbours }, inputs);
}

/** Records the service time at the upstream of an attempt that has just ended. */
export function recordServiceTime(
  state: AgentState,
  attemptId: string,
  inputs: StepInputs,
): AgentStep {
  const startedAtMs = state.admission.records.get(attemptId)?.startedAtMs;
  if (startedAtMs === undefined) return unchanged(state);
  return handleInterference(
    state,
    { kind: 'served', serviceMs: inputs.nowMs - startedAtMs },
    inputs,
  );
}

/** Returns the changed slow-downs for the next heartbeat, and marks them as sent. */
export function takeSlowDowns(state: AgentState): {
  readonly state: AgentState;
  readonly slowDowns: readonly SlowDown[];
} {
  const taken = takeChangedSlowDowns(state.interference);
  return { state: { ...state, interference: taken.state }, slowDowns: taken.slowDowns };
}

/** Makes the next heartbeats include every slow-down, because a new entry has none of them. */
export function resendSlowDowns(state: AgentState): AgentState {
  return { ...state, interference: resetSentFactors(state.interference) };
}
