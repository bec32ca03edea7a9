import { Map } from 'immutable';
import type { StepInputs } from '@bronzeyoke/types';
import { decodeNotice, hearNotice } from '@bronzeyoke/jobadmission';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever } from '@bronzeyoke/types';
import { onFenceOutcome, sendFences } from './decline';
import { startQuery, onCancelOutcome, onQueryRows, retryQueries } from './query';
import { expireSubmissions, onSubmitOutcome, sendSubmissions, submit } from './submit';
import type { IntakeEvent, IntakeState, IntakeStep } from './types';

/** Creates an intake without calls in progress. The jobs that it accepts name the entry, if it is given. */
export function createIntake(acceptedBy?: string): IntakeState {
  return {
    ...(acceptedBy === undefined ? {} : { acceptedBy }),
    submissions: Map(),
    queries: Map(),
    inFlight: Map(),
    fencesInFlight: Map(),
    seenVersion: 0,
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
    case 'commitDone': {
      const { callId, result } = event;
      if (state.inFlight.has(callId)) return onSubmitOutcome(state, callId, result, nowMs);
      return state.fencesInFlight.has(callId)
        ? onFenceOutcome(state, callId, result, nowMs)
        : onCancelOutcome(state, callId, result, nowMs);
    }
    case 'rangeDone':
      return onQueryRows(state, event.callId, event.result, nowMs, event.wallMs);
    case 'admission': {
      const notice = decodeNotice(event.row.value);
      if (notice === undefined) {
        const fields = { what: 'admission', version: event.row.version };
        return { state, effects: [logEffect('malformed', fields)] };
      }
      return { state: { ...state, heard: hearNotice(notice, nowMs) }, effects: [] };
    }
    case 'storeVersion':
      return { state, effects: [] };
    case 'tick':
      return retryQueries(state, nowMs);
    default:
      return assertNever(event);
  }
}

/** Returns the newest version of the store that an event tells of. */
function versionIn(event: IntakeEvent): number {
  switch (event.kind) {
    case 'commitDone':
      if (event.result.kind === 'committed') return event.result.version;
      return event.result.kind === 'conflict'
        ? Math.max(0, ...event.result.rows.map(({ version }) => version))
        : 0;
    case 'rangeDone':
      return event.result.kind === 'rows' ? event.result.version : 0;
    case 'admission':
      return event.row.version;
    case 'storeVersion':
      return event.version;
    case 'submit':
    case 'cancel':
    case 'status':
    case 'pending':
    case 'tick':
      return 0;
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
  const seenVersion = Math.max(state.seenVersion, versionIn(event));
  const step = handleEvent({ ...state, seenVersion }, event, nowMs);
  const expired = expireSubmissions(step.state, nowMs);
  const sent = sendSubmissions(expired.state, nowMs);
  const fenced = sendFences(sent.state, nowMs);
  return {
    state: fenced.state,
    effects: [...step.effects, ...expired.effects, ...sent.effects, ...fenced.effects],
  };
}
