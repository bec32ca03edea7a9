import { Map } from 'immutable';
import type { Instant } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import { inquire, onCancelWritten, onInquiryRows, retryInquiries } from './inquire';
import { expireSubmissions, onSubmitted, sendSubmissions, submit } from './submit';
import type { IntakeEvent, IntakeState, IntakeStep } from './types';

/** An intake without callers. */
export function createIntake(): IntakeState {
  return {
    submissions: Map(),
    inquiries: Map(),
    flights: Map(),
    calls: 0,
  };
}

function decide(state: IntakeState, event: IntakeEvent, nowMs: number): IntakeStep {
  switch (event.kind) {
    case 'submit':
      return submit(state, event, nowMs);
    case 'cancel':
    case 'status':
    case 'pending':
      return inquire(state, event, nowMs);
    case 'commitDone':
      return state.flights.has(event.callId)
        ? onSubmitted(state, event.callId, event.result, nowMs)
        : onCancelWritten(state, event.callId, event.result, nowMs);
    case 'rangeDone':
      return onInquiryRows(state, event.callId, event.result, nowMs, event.wallMs);
    case 'tick':
      return retryInquiries(state, nowMs);
    default:
      return assertNever(event);
  }
}

/** Decides what the intake does with an event. */
export function stepIntake(state: IntakeState, event: IntakeEvent, { nowMs }: Instant): IntakeStep {
  const step = decide(state, event, nowMs);
  const expired = expireSubmissions(step.state, nowMs);
  const sent = sendSubmissions(expired.state, nowMs);
  return {
    state: sent.state,
    effects: [...step.effects, ...expired.effects, ...sent.effects],
  };
}
