import { Map } from 'immutable';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import { startQuery, onCancelOutcome, onQueryRows, retryQueries } from './query';
import { expireSubmissions, onSubmitOutcome, sendSubmissions, submit } from './submit';
import type { IntakeEvent, IntakeState, IntakeStep } from './types';

/** Creates an intake without calls in progress. */
export function createIntake(): IntakeState {
  return {
    submissions: Map(),
    queries: Map(),
    inFlight: Map(),
    callCount: 0,
  };
}

function handleEvent(state: IntakeState, event: IntakeEvent, nowMs: number): IntakeStep {
  switch (event.kind) {
    case 'submit':
      return submit(state, event, nowMs);
    case 'cancel':
    case 'status':
    case 'pending':
      return startQuery(state, event, nowMs);
    case 'commitDone':
      return state.inFlight.has(event.callId)
        ? onSubmitOutcome(state, event.callId, event.result, nowMs)
        : onCancelOutcome(state, event.callId, event.result, nowMs);
    case 'rangeDone':
      return onQueryRows(state, event.callId, event.result, nowMs, event.wallMs);
    case 'tick':
      return retryQueries(state, nowMs);
    default:
      return assertNever(event);
  }
}

/** Applies an event to the intake, then ends expired submissions and sends those that are ready. */
export function stepIntake(
  state: IntakeState,
  event: IntakeEvent,
  { nowMs }: StepInputs,
): IntakeStep {
  const step = handleEvent(state, event, nowMs);
  const expired = expireSubmissions(step.state, nowMs);
  const sent = sendSubmissions(expired.state, nowMs);
  return {
    state: sent.state,
    effects: [...step.effects, ...expired.effects, ...sent.effects],
  };
}
