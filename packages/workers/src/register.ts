import { resolveCommit } from '@bronzeyoke/commits';
import type { CommitResult, ReadResult, Row, Transaction } from '@bronzeyoke/ports';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import { sendAccess, cacheRows } from './call';
import { leaseKey, workerKey, workerRowOf, workerValue } from './rows';
import type { Registration, WorkersState, WorkersStep } from './types';

const RETRY_DELAY_MS = 500;
/** Timeout of a registration. An agent without a reply in this time retries with a new token. */
const REGISTRATION_TIMEOUT_MS = 30_000;

function startRead(state: WorkersState, registration: Registration): WorkersStep {
  const { worker, token } = registration;
  const registrations = state.registrations.set(token, registration);
  const keys = [workerKey(worker), leaseKey(worker)];
  return sendAccess(
    { ...state, registrations },
    { kind: 'register', token },
    { kind: 'read', keys },
  );
}

/** Starts a registration; does nothing if one with the same token is in progress. */
export function startRegistration(
  state: WorkersState,
  request: Pick<Registration, 'agentId' | 'worker' | 'token'>,
  inputs: StepInputs,
): WorkersStep {
  if (state.registrations.has(request.token)) return unchanged(state);
  return startRead(state, {
    ...request,
    requestedAtMs: inputs.nowMs,
    incarnation: 0,
    wasReplyLost: false,
  });
}

function completeRegistration(
  state: WorkersState,
  registration: Registration,
  incarnation: number,
): WorkersStep {
  const { token, agentId } = registration;
  return {
    state: { ...state, registrations: state.registrations.delete(token) },
    effects: [{ kind: 'send', agentId, message: { kind: 'workerRegistered', token, incarnation } }],
  };
}

function scheduleRetry(state: WorkersState, registration: Registration): WorkersStep {
  const { token } = registration;
  return {
    state: { ...state, registrations: state.registrations.set(token, registration) },
    effects: [{ kind: 'wake', timer: { kind: 'register', token }, afterMs: RETRY_DELAY_MS }],
  };
}

function planRegistration(
  registration: Registration,
  incarnation: number,
  rows: readonly Row[],
): Transaction {
  const { worker, agentId, token } = registration;
  const versionOf = (key: string) => rows.find((row) => row.key === key)?.version ?? 0;
  const keys = [workerKey(worker), leaseKey(worker)] as const;
  return {
    conditions: keys.map((key) => ({ key, version: versionOf(key) })),
    writes: [
      { kind: 'put', key: keys[0], value: workerValue(incarnation, agentId, false, token) },
      { kind: 'put', key: keys[1], value: { incarnation, renewalToken: token } },
    ],
  };
}

/** Continues a registration after the rows of its worker were read. */
export function onRegistrationRead(
  state: WorkersState,
  token: string,
  result: ReadResult,
  inputs: StepInputs,
): WorkersStep {
  const registration = state.registrations.get(token);
  if (registration === undefined) return unchanged(state);
  if (result.kind === 'unavailable') return scheduleRetry(state, registration);
  const row = result.rows.find((candidate) => candidate.key === workerKey(registration.worker));
  const current = workerRowOf(row, inputs.nowMs);
  const cached = cacheRows(state, result.rows, inputs.nowMs);
  // The agent repeats a registration through another entry with the same token.
  if (current.token === token && !current.isFenced) {
    return completeRegistration(cached, registration, current.incarnation);
  }
  const incarnation = current.incarnation + 1;
  const transaction = planRegistration(registration, incarnation, result.rows);
  const planned = { ...registration, incarnation, transaction };
  return sendAccess(
    { ...cached, registrations: cached.registrations.set(token, planned) },
    { kind: 'register', token },
    { kind: 'commit', transaction },
  );
}

/** Completes a registration, or retries it after a conflict or a lost reply. */
export function onRegistrationCommit(
  state: WorkersState,
  token: string,
  result: CommitResult,
  inputs: StepInputs,
): WorkersStep {
  const registration = state.registrations.get(token);
  if (registration?.transaction === undefined) return unchanged(state);
  const resolution = resolveCommit(registration.transaction, registration.wasReplyLost, result);
  switch (resolution.kind) {
    case 'committed':
      return completeRegistration(
        cacheRows(state, resolution.rows, inputs.nowMs),
        registration,
        registration.incarnation,
      );
    case 'conflict':
      return startRead(state, { ...registration, wasReplyLost: false });
    case 'unavailable':
      return scheduleRetry(state, registration);
    case 'retry':
      return scheduleRetry(state, { ...registration, wasReplyLost: true });
    default:
      return assertNever(resolution);
  }
}

/** Retries a registration after the table was unavailable or a reply was lost. */
export function retryRegistration(
  state: WorkersState,
  token: string,
  inputs: StepInputs,
): WorkersStep {
  const registration = state.registrations.get(token);
  if (registration === undefined) return unchanged(state);
  if (inputs.nowMs - registration.requestedAtMs > REGISTRATION_TIMEOUT_MS) {
    return unchanged({ ...state, registrations: state.registrations.delete(token) });
  }
  const { transaction, wasReplyLost } = registration;
  return wasReplyLost && transaction !== undefined
    ? sendAccess(state, { kind: 'register', token }, { kind: 'commit', transaction })
    : startRead(state, registration);
}
