import { logEffect } from '@bronzeyoke/telemetry';
import type { Address, StepInputs } from '@bronzeyoke/types';
import { unchanged } from '@bronzeyoke/types';
import type { RunnerState, RunnerStep } from './types';

/**
 * Times without a reply after which an agent leaves its leader, or a seed: at first, and after one and more
 * connections to the same leader that stayed silent. The first two together are less than what is left
 * of a lease of 5 s at the leader's last reply, so that an agent asks a second entry for a successor
 * before it ends. The last one is long, because an overloaded leader accepts few connections a second,
 * also those that their agents have left, so a fleet that dials again and again is never answered.
 */
const REPLY_TIMEOUTS_MS = [2_000, 2_000, 17_600] as const;

/** Share of a time that is random, so that the agents of a fleet do not reconnect together. */
const JITTER_SHARE = 0.2;

/** Returns whether two addresses are the same. */
export function isSameAddress(left: Address | undefined, right: Address): boolean {
  return left?.host === right.host && left.port === right.port;
}

/** Returns whether the agent has a connection to the entry that it takes for the leader. */
function isAtLeader({ isLinked, leader, target }: RunnerState): boolean {
  return isLinked && leader !== undefined && isSameAddress(target, leader);
}

/** Returns the time without a reply after which the agent connects elsewhere. */
function replyTimeoutMs(state: RunnerState): number {
  const { silentCount, timeoutJitter } = state;
  // Without a connection, or at a seed, there is no load of a leader to spare.
  const count = isAtLeader(state) ? Math.min(silentCount, REPLY_TIMEOUTS_MS.length - 1) : 0;
  const longestMs = REPLY_TIMEOUTS_MS[count] ?? 0;
  return longestMs * (1 - JITTER_SHARE + JITTER_SHARE * timeoutJitter);
}

function connectTo(
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

/** Connects to the leader that a row or an entry names, unless it is an earlier or the present one. */
export function onLeader(
  state: RunnerState,
  term: number,
  address: Address,
  inputs: StepInputs,
): RunnerStep {
  if (term < state.term || (term === state.term && isSameAddress(state.target, address))) {
    return unchanged(state);
  }
  const isNew = term > state.term || !isSameAddress(state.leader, address);
  const silentCount = isNew ? 0 : state.silentCount;
  const updated = { ...state, term, leader: address, silentCount };
  const step = isSameAddress(state.target, address)
    ? unchanged(updated)
    : connectTo(updated, address, inputs);
  const fields = { term, leader: `${address.host}:${address.port}` };
  return { state: step.state, effects: [...step.effects, logEffect('leaderSeen', fields)] };
}

/** Connects to the seeds and the leader in turn until one of them replies. */
export function reconnectIfSilent(state: RunnerState, inputs: StepInputs): RunnerStep {
  const { target, leader, settings, connectCount } = state;
  if (inputs.nowMs - state.progressAtMs < replyTimeoutMs(state)) return unchanged(state);
  // Without a list of a worker nothing was sent that a leader could answer.
  const isLeaderSilent = isAtLeader(state) && state.worker?.clockMs !== undefined;
  const known = [...settings.seeds, ...(leader === undefined ? [] : [leader])];
  const positions = known.map((_, offset) => (connectCount + offset) % known.length);
  const position =
    positions.find((index) => known[index] !== undefined && !isSameAddress(target, known[index])) ??
    0;
  const address = known[position];
  if (address === undefined) return unchanged(state);
  const silentCount = state.silentCount + (isLeaderSilent ? 1 : 0);
  const tried = { ...state, connectCount: position + 1, silentCount };
  const step = connectTo(tried, address, inputs);
  const fields = { what: 'leader', address: `${address.host}:${address.port}` };
  return { state: step.state, effects: [...step.effects, logEffect('dependencyLost', fields)] };
}
