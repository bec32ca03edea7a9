import type { Address, StepInputs } from '@bronzeyoke/types';
import type { RunnerState, RunnerStep } from './types';

/** Returns whether two addresses are the same. */
export function isSameAddress(left: Address | undefined, right: Address): boolean {
  return left?.host === right.host && left.port === right.port;
}

/** Replaces the agent's connection with one to an address. */
export function connectTo(
  state: RunnerState,
  address: Address,
  { nowMs, random: timeoutJitter }: StepInputs,
): RunnerStep {
  const progressAtMs = nowMs;
  return {
    state: {
      ...state,
      target: address,
      isLinked: false,
      lastOrder: 0,
      progressAtMs,
      timeoutJitter,
    },
    effects: [{ kind: 'connect', address }],
  };
}

/** An address to try, and the number of tries after it. */
export interface NextAddress {
  readonly address: Address;
  readonly connectCount: number;
}

/** Returns the seed or the leader that follows in turn; undefined if the present target is the only one. */
export function nextAddress({
  target,
  leader,
  settings,
  connectCount,
}: RunnerState): NextAddress | undefined {
  const known = [...settings.seeds, ...(leader === undefined ? [] : [leader])];
  return known
    .map((_, offset) => (connectCount + offset) % known.length)
    .flatMap((position) => {
      const address = known[position];
      return address === undefined || isSameAddress(target, address)
        ? []
        : [{ address, connectCount: position + 1 }];
    })
    .at(0);
}
