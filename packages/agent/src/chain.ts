import type { AgentMessage } from '@bronzeyoke/wire';
import type { AgentEffect, AgentState, AgentStep } from './types';

/** Runs the next step on the state after a step and joins the effects of both. */
export function chain(step: AgentStep, next: (state: AgentState) => AgentStep): AgentStep {
  const after = next(step.state);
  return { state: after.state, effects: [...step.effects, ...after.effects] };
}

/** Sends a message to every open link. */
export function broadcast(state: AgentState, message: AgentMessage): readonly AgentEffect[] {
  return state.links.map((linkId) => ({ kind: 'send', linkId, message }));
}
