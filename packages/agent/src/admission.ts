import type { AdmissionEffect, AdmissionEvent } from '@bronzeyoke/admission';
import { stepAdmission } from '@bronzeyoke/admission';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import type { AgentEffect, AgentState, AgentStep } from './types';

function toAgentEffect(effect: AdmissionEffect): AgentEffect {
  switch (effect.kind) {
    case 'send':
    case 'callUpstream':
      return effect;
    case 'expireLater':
      return {
        kind: 'wake',
        timer: { kind: 'attemptExpiry', attemptId: effect.attemptId },
        afterMs: effect.afterMs,
      };
    default:
      return assertNever(effect);
  }
}

/** Handles an event of requests at the upstream, and converts the effects to those of the agent. */
export function handleAdmission(
  state: AgentState,
  event: AdmissionEvent,
  inputs: StepInputs,
): AgentStep {
  const step = stepAdmission(state.admission, event, inputs);
  return { state: { ...state, admission: step.state }, effects: step.effects.map(toAgentEffect) };
}
