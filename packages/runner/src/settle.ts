import type { ActionOf } from '@bronzeyoke/chart';
import { advance } from '@bronzeyoke/chart';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, chain, unchanged } from '@bronzeyoke/types';
import { sequenceToAcknowledge } from './acks';
import { callWorker } from './calls';
import { noteLeaseEnd } from './heldlease';
import { reportEffects } from './report';
import type { RunnerState, RunnerStep } from './types';
import { agentChart } from './types';

/** Time that is kept for passing the lease on; longer than the timeout of the call. */
const HAND_OVER_MS = 1_000;

/** Returns whether the worker listed ends before the stop that no leader has acknowledged. */
function hasOpenEnds({ worker, stopping }: RunnerState): boolean {
  return (
    worker !== undefined &&
    stopping !== undefined &&
    worker.workerKey === stopping.workerKey &&
    worker.ackSequence < stopping.endSequence
  );
}

/** Returns whether a sign that the worker has ended has neither been proven nor refuted. */
function mayHaveEnded({ worker }: RunnerState): boolean {
  return worker?.leftAtList !== undefined || worker?.failures !== undefined;
}

function isSettled(state: RunnerState): boolean {
  return state.goneWorkers.length === 0 && !hasOpenEnds(state) && !mayHaveEnded(state);
}

/** Passes the whole lease that the leader granted on to the worker. */
function passLease(state: RunnerState, nowMs: number): RunnerStep {
  const { worker, stopping, token: fencingToken } = state;
  const leaseUntilClockMs = worker?.leaseUntilClockMs;
  if (worker === undefined || stopping === undefined || leaseUntilClockMs === undefined) {
    return unchanged(state);
  }
  const ackSequence = sequenceToAcknowledge(worker);
  const hold = { kind: 'hold', fencingToken, ackSequence, leaseUntilClockMs, waitMs: 0 } as const;
  const noted = { ...state, worker: noteLeaseEnd(worker, leaseUntilClockMs) };
  const call = callWorker(noted, worker, hold, nowMs);
  const handOverCallId = call.state.pendingCalls.findKey(({ call: sent }) => sent === hold);
  if (handOverCallId === undefined) return call;
  return { ...call, state: { ...call.state, stopping: { ...stopping, handOverCallId } } };
}

function performAction(
  state: RunnerState,
  action: ActionOf<typeof agentChart>,
  nowMs: number,
): RunnerStep {
  const fields = {
    goneWorkers: state.goneWorkers.map(({ workerKey }) => workerKey).join(','),
    hasOpenEnds: hasOpenEnds(state),
    mayHaveEnded: mayHaveEnded(state),
  };
  switch (action) {
    case 'logSettling':
      return { state, effects: [logEffect('settling', fields)] };
    case 'logUnsettled':
      return { state, effects: [logEffect('unsettled', fields)] };
    case 'report':
      return { state, effects: reportEffects(state) };
    case 'passLease':
      return passLease(state, nowMs);
    case 'exit':
      return { state, effects: [{ kind: 'settled' }] };
    default:
      return assertNever(action);
  }
}

function advanceAgent(
  state: RunnerState,
  event: 'stop' | 'stopIdle' | 'settled' | 'passed' | 'deadline',
  nowMs: number,
): RunnerStep {
  const { state: phase, actions } = advance(agentChart, state.phase, event);
  return actions.reduce<RunnerStep>(
    (step, action) => chain(step, (current) => performAction(current, action, nowMs)),
    unchanged({ ...state, phase }),
  );
}

/** Starts a planned stop. It waits for what the agent knows now, not for later ends of runs. */
export function onStop(state: RunnerState, withinMs: number, nowMs: number): RunnerStep {
  if (state.phase !== 'running') return unchanged(state);
  const { worker } = state;
  const sequences = worker?.ended.map(({ sequence }) => sequence) ?? [];
  const stopping = {
    deadlineAtMs: nowMs + withinMs,
    workerKey: worker?.workerKey,
    endSequence: Math.max(0, ...sequences),
  };
  const updated = { ...state, stopping };
  return advanceAgent(updated, isSettled(updated) ? 'stopIdle' : 'stop', nowMs);
}

/** Returns how much of the time of a stop is left. */
function timeLeftMs({ stopping }: RunnerState, nowMs: number): number {
  return (stopping?.deadlineAtMs ?? 0) - nowMs;
}

function settle(state: RunnerState, nowMs: number): RunnerStep {
  if (isSettled(state)) return advanceAgent(state, 'settled', nowMs);
  const keptMs = state.worker?.leaseUntilClockMs === undefined ? 0 : HAND_OVER_MS;
  return timeLeftMs(state, nowMs) > keptMs
    ? unchanged(state)
    : advanceAgent(state, 'deadline', nowMs);
}

function handOver(state: RunnerState, nowMs: number): RunnerStep {
  const { handOverCallId = '' } = state.stopping ?? {};
  if (!state.pendingCalls.has(handOverCallId)) return advanceAgent(state, 'passed', nowMs);
  return timeLeftMs(state, nowMs) > 0 ? unchanged(state) : advanceAgent(state, 'deadline', nowMs);
}

/** Goes on with a planned stop: hands over when all is settled or the time is over, and then exits. */
export function continueStop(state: RunnerState, nowMs: number): RunnerStep {
  switch (state.phase) {
    case 'running':
    case 'settled':
      return unchanged(state);
    case 'settling':
      return chain(settle(state, nowMs), (current) =>
        current.phase === 'handingOver' ? handOver(current, nowMs) : unchanged(current),
      );
    case 'handingOver':
      return handOver(state, nowMs);
    default:
      return assertNever(state.phase);
  }
}
