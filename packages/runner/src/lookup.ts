import type { ActionOf } from '@bronzeyoke/chart';
import { advance } from '@bronzeyoke/chart';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, chain, unchanged } from '@bronzeyoke/types';
import { connectTo, nextAddress } from './connect';
import type { RunnerState, RunnerStep } from './types';
import { lookupChart } from './types';

function askNext(state: RunnerState, { nowMs: askedAtMs }: StepInputs): RunnerStep {
  const next = nextAddress(state);
  if (next === undefined) return unchanged(state);
  const { address, connectCount } = next;
  const lookup = { ...state.lookup, address, askedAtMs };
  return { state: { ...state, connectCount, lookup }, effects: [{ kind: 'askSeed', address }] };
}

function performAction(
  state: RunnerState,
  action: ActionOf<typeof lookupChart>,
  inputs: StepInputs,
): RunnerStep {
  switch (action) {
    case 'askSeed':
      return askNext(state, inputs);
    case 'reconnect':
      return state.leader === undefined ? unchanged(state) : connectTo(state, state.leader, inputs);
    case 'endLookup': {
      const { phase } = state.lookup;
      return { state: { ...state, lookup: { phase } }, effects: [{ kind: 'endLookup' }] };
    }
    default:
      return assertNever(action);
  }
}

/** Applies an event to the lookup of the leader, and performs the actions. */
export function advanceLookup(
  state: RunnerState,
  event: 'silent' | 'silentAgain' | 'unanswered' | 'confirmed' | 'replied' | 'left',
  inputs: StepInputs,
): RunnerStep {
  const { state: phase, actions } = advance(lookupChart, state.lookup.phase, event);
  return actions.reduce<RunnerStep>(
    (step, action) => chain(step, (current) => performAction(current, action, inputs)),
    unchanged({ ...state, lookup: { ...state.lookup, phase } }),
  );
}
