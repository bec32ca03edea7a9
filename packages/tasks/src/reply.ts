import type { WorkerEvent, WorkerReply, WorkerResult } from '@bronzeyoke/ports';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, chain } from '@bronzeyoke/types';
import { advanceLease, onFenced } from './lease';
import { advanceTaskByKey, markStarted } from './task';
import { endMissing, onListing, onNotices } from './listing';
import type { WorkerCallPurpose, TasksState, TasksStep, PendingWorkerCall } from './types';

function requestListing(state: TasksState): TasksStep {
  return unchanged({ ...state, needsListing: true });
}

function onAttach(
  state: TasksState,
  call: PendingWorkerCall,
  result: Extract<WorkerReply, { readonly kind: 'attach' }>['result'],
  inputs: StepInputs,
): TasksStep {
  if (result.kind !== 'done') return unchanged(state);
  const listed = onListing(state, result.value, call.sentAtMs, inputs.nowMs);
  return call.incarnation === state.lease.incarnation
    ? chain(listed, (current) => advanceLease(current, 'attached', inputs))
    : listed;
}

function onStart(
  state: TasksState,
  key: string,
  result: WorkerResult<void>,
  nowMs: number,
): TasksStep {
  switch (result.kind) {
    case 'done':
      return markStarted(state, key, nowMs);
    case 'refused':
      // An older copy runs, or this start took effect twice. Only the worker's list shows which.
      return result.problem === 'alreadyRunning'
        ? requestListing(state)
        : advanceTaskByKey(state, key, { kind: 'notStarted' }, nowMs);
    case 'fenced':
      return advanceTaskByKey(state, key, { kind: 'notStarted' }, nowMs);
    case 'unavailable':
      return requestListing(state);
    default:
      return assertNever(result);
  }
}

function onCheckpoint(
  state: TasksState,
  key: string,
  result: WorkerResult<string>,
  nowMs: number,
): TasksStep {
  if (result.kind === 'done') {
    return advanceTaskByKey(state, key, { kind: 'saved', checkpointRef: result.value }, nowMs);
  }
  const kept = advanceTaskByKey(state, key, { kind: 'notSaved' }, nowMs);
  return result.kind === 'refused' ? chain(kept, requestListing) : kept;
}

function onStop(
  state: TasksState,
  key: string,
  result: WorkerResult<void>,
  nowMs: number,
): TasksStep {
  switch (result.kind) {
    case 'done':
      return advanceTaskByKey(state, key, { kind: 'stopped' }, nowMs);
    // The task may have finished just before; its notice has to be read first.
    case 'refused':
      return requestListing(state);
    case 'fenced':
    case 'unavailable':
      return unchanged(state);
    default:
      return assertNever(result);
  }
}

function onReply(
  state: TasksState,
  call: PendingWorkerCall,
  reply: WorkerReply,
  inputs: StepInputs,
): TasksStep {
  const { purpose } = call;
  const { nowMs } = inputs;
  switch (purpose.kind) {
    case 'attach':
      return reply.kind === 'attach'
        ? onAttach(state, call, reply.result, inputs)
        : unchanged(state);
    case 'renew': {
      if (reply.kind !== 'renew') return unchanged(state);
      const isRenewed = reply.result.kind === 'done' || reply.result.kind === 'refused';
      const renewed = isRenewed ? { ...state, renewedAtMs: call.sentAtMs } : state;
      return reply.result.kind === 'refused' ? requestListing(renewed) : unchanged(renewed);
    }
    case 'notices':
      return reply.kind === 'notices' && reply.result.kind === 'done'
        ? endMissing(state, call.sentAtMs, nowMs)
        : requestListing(state);
    case 'start':
      return reply.kind === 'start'
        ? onStart(state, purpose.key, reply.result, nowMs)
        : unchanged(state);
    case 'checkpoint':
      return reply.kind === 'checkpoint'
        ? onCheckpoint(state, purpose.key, reply.result, nowMs)
        : unchanged(state);
    case 'stop':
      return reply.kind === 'stop'
        ? onStop(state, purpose.key, reply.result, nowMs)
        : unchanged(state);
    default:
      return assertNever(purpose);
  }
}

/**
 * Handles the reply to a call. A reply after the timeout is ignored, because the next listing shows
 * its effect. Only notices count at any time, because the worker delivers them once.
 */
export function onWorkerDone(state: TasksState, event: WorkerEvent, inputs: StepInputs): TasksStep {
  const { callId, reply } = event;
  const call = state.calls.get(callId);
  const noticed =
    reply.kind === 'notices' && reply.result.kind === 'done'
      ? onNotices(state, reply.result.value, inputs.nowMs)
      : unchanged(state);
  if (call === undefined) return noticed;
  const closed = chain(noticed, (current) =>
    unchanged({ ...current, calls: current.calls.delete(callId) }),
  );
  const { result } = reply;
  const done = chain(closed, (current) => onReply(current, call, reply, inputs));
  return result.kind === 'fenced'
    ? chain(done, (current) => onFenced(current, result.incarnation, inputs))
    : done;
}

function unavailableReply(purpose: WorkerCallPurpose): WorkerReply {
  return { kind: purpose.kind, result: { kind: 'unavailable' } };
}

/** Fails calls whose reply is overdue. */
export function expireCalls(state: TasksState, timeoutMs: number, inputs: StepInputs): TasksStep {
  return state.calls
    .filter(({ sentAtMs }) => inputs.nowMs - sentAtMs >= timeoutMs)
    .reduce<TasksStep>(
      (step, { purpose }, callId) =>
        chain(step, (current) =>
          onWorkerDone(
            current,
            { kind: 'workerDone', callId, reply: unavailableReply(purpose) },
            inputs,
          ),
        ),
      unchanged(state),
    );
}
