import type { ActionOf } from '@bronzeyoke/chart';
import { advance } from '@bronzeyoke/chart';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, unchanged } from '@bronzeyoke/types';
import { reportEffects } from './report';
import type { RunnerEffect, RunnerState, RunnerStep } from './types';
import { agentChart } from './types';

/** Returns whether the worker listed ends before the stop that no leader has acknowledged. */
function hasOpenEnds({ worker, stopping }: RunnerState): boolean {
  return (
    worker !== undefined &&
    stopping !== undefined &&
    worker.workerKey === stopping.workerKey &&
    worker.ackSequence < stopping.endSequence
  );
}

function isSettled(state: RunnerState): boolean {
  return state.goneWorkers.length === 0 && !hasOpenEnds(state);
}

function performAction(
  state: RunnerState,
  action: ActionOf<typeof agentChart>,
): readonly RunnerEffect[] {
  const fields = {
    goneWorkers: state.goneWorkers.map(({ workerKey }) => workerKey).join(','),
    hasOpenEnds: hasOpenEnds(state),
  };
  switch (action) {
    case 'logSettling':
      return [logEffect('settling', fields)];
    case 'logUnsettled':
      return [logEffect('unsettled', fields)];
    case 'report':
      return reportEffects(state);
    case 'exit':
      return [{ kind: 'settled' }];
    default:
      return assertNever(action);
  }
}

function advanceAgent(
  state: RunnerState,
  event: 'stop' | 'stopIdle' | 'settled' | 'deadline',
): RunnerStep {
  const { state: phase, actions } = advance(agentChart, state.phase, event);
  const next = { ...state, phase };
  return { state: next, effects: actions.flatMap((action) => performAction(next, action)) };
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
  return advanceAgent(updated, isSettled(updated) ? 'stopIdle' : 'stop');
}

/** Ends a planned stop when everything is settled or its time is over. */
export function settleIfDue(step: RunnerStep, nowMs: number): RunnerStep {
  const { state, effects } = step;
  if (state.phase !== 'settling') return step;
  const isLate = nowMs >= (state.stopping?.deadlineAtMs ?? 0);
  if (!isSettled(state) && !isLate) return step;
  const end = advanceAgent(state, isSettled(state) ? 'settled' : 'deadline');
  return { state: end.state, effects: [...effects, ...end.effects] };
}
