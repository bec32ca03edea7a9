import { logEffect } from '@bronzeyoke/telemetry';
import type { Address, StepInputs } from '@bronzeyoke/types';
import { chain, formatAddress, unchanged } from '@bronzeyoke/types';
import { connectTo, isSameAddress, nextAddress } from './connect';
import { advanceLookup } from './lookup';
import type { RunnerState, RunnerStep } from './types';

/** Time without an answer after which an agent turns to another seed. */
const SEED_TIMEOUT_MS = 2_000;

/**
 * Times without a reply of the leader after which an agent asks a seed who leads: on a connection that
 * it keeps, after that on the same one, which it then replaces, and on each later one. The first two
 * together are less than what is left of a lease of 5 s at the leader's last reply, so that an agent
 * asks a second entry, and leaves a connection that was cut without a notice, before the lease ends.
 * The last one is long, because an overloaded leader accepts few connections a second, also those that
 * their agents have left, so a fleet that dials again and again is never answered.
 */
const REPLY_TIMEOUTS_MS = [SEED_TIMEOUT_MS, 2_000, 17_600] as const;

/** Share of a time that is random, so that the agents of a fleet do not reconnect together. */
const JITTER_SHARE = 0.2;

/** Returns whether the agent has a connection to the entry that it takes for the leader. */
function isAtLeader({ isLinked, leader, target }: RunnerState): boolean {
  return isLinked && leader !== undefined && isSameAddress(target, leader);
}

/** Returns a time less the random share of this connection. */
function jittered(longestMs: number, { timeoutJitter }: RunnerState): number {
  return longestMs * (1 - JITTER_SHARE + JITTER_SHARE * timeoutJitter);
}

/** Returns the time without a reply after which the agent looks for the leader. */
function replyTimeoutMs(state: RunnerState): number {
  const { silentCount } = state;
  // Without a connection, or at a seed, there is no load of a leader to spare.
  const count = isAtLeader(state) ? Math.min(silentCount, REPLY_TIMEOUTS_MS.length - 1) : 0;
  return jittered(REPLY_TIMEOUTS_MS[count] ?? 0, state);
}

/**
 * Connects to the leader that a row or an entry names, unless it is an earlier or the present one. A silent
 * leader that is named under a later term may have been started again on a machine that lost power, so that
 * the open connection leads nowhere.
 */
export function onLeader(
  state: RunnerState,
  term: number,
  address: Address,
  inputs: StepInputs,
): RunnerStep {
  const isTarget = isSameAddress(state.target, address);
  if (term < state.term || (term === state.term && isTarget)) return unchanged(state);
  const isNew = term > state.term || !isSameAddress(state.leader, address);
  const silentCount = isNew ? 0 : state.silentCount;
  const updated = { ...state, term, leader: address, silentCount };
  const isSilent = state.lookup.phase !== 'none';
  const step = isTarget && !isSilent ? unchanged(updated) : connectTo(updated, address, inputs);
  const left = chain(step, (current) => advanceLookup(current, 'left', inputs));
  const fields = { term, leader: formatAddress(address) };
  return { state: left.state, effects: [...left.effects, logEffect('leaderSeen', fields)] };
}

/** Handles the answer of a seed that was asked who leads. */
export function onLeaderNamed(
  state: RunnerState,
  term: number,
  address: Address,
  inputs: StepInputs,
): RunnerStep {
  return term === state.term && isSameAddress(state.target, address)
    ? advanceLookup(state, 'confirmed', inputs)
    : onLeader(state, term, address, inputs);
}

function withLostLog({ state, effects }: RunnerStep, address: Address): RunnerStep {
  const fields = { what: 'leader', address: formatAddress(address) };
  return { state, effects: [...effects, logEffect('dependencyLost', fields)] };
}

/** Returns whether the agent has sent something that a leader answers. */
function awaitsReply({ worker, goneWorkers }: RunnerState): boolean {
  return worker?.clockMs !== undefined || goneWorkers.some(({ phase }) => phase === 'ended');
}

/**
 * Asks a seed who leads, and keeps the connection to the leader meanwhile. From the second silence on
 * it is replaced as well: one that was cut without a notice stays silent although the leader replies
 * on others.
 */
function onSilentLeader(state: RunnerState, leader: Address, inputs: StepInputs): RunnerStep {
  const { nowMs: progressAtMs, random: timeoutJitter } = inputs;
  const { silentCount } = state;
  // Without a seed to ask, only a new connection shows whether the leader is there.
  const isKept = silentCount === 0 && nextAddress(state) !== undefined;
  const noticed = {
    ...state,
    progressAtMs,
    timeoutJitter,
    silentCount: silentCount + (awaitsReply(state) ? 1 : 0),
  };
  const step = advanceLookup(noticed, isKept ? 'silent' : 'silentAgain', inputs);
  return withLostLog(step, leader);
}

/** Connects to the seeds and the leader in turn. */
function connectToNext(state: RunnerState, inputs: StepInputs): RunnerStep {
  const { address, connectCount } = nextAddress(state) ?? {
    address: state.settings.seeds.at(0) ?? state.leader,
    connectCount: state.connectCount,
  };
  if (address === undefined) return unchanged(state);
  const step = chain(connectTo({ ...state, connectCount }, address, inputs), (current) =>
    advanceLookup(current, 'left', inputs),
  );
  return withLostLog(step, address);
}

/** Looks for the leader when it has been silent for too long, until it or another entry replies. */
export function reconnectIfSilent(state: RunnerState, inputs: StepInputs): RunnerStep {
  const { leader, lookup, progressAtMs } = state;
  const { nowMs } = inputs;
  if (nowMs - progressAtMs >= replyTimeoutMs(state)) {
    return leader !== undefined && isAtLeader(state)
      ? onSilentLeader(state, leader, inputs)
      : connectToNext(state, inputs);
  }
  const { askedAtMs = nowMs } = lookup;
  return nowMs - askedAtMs >= jittered(SEED_TIMEOUT_MS, state)
    ? advanceLookup(state, 'unanswered', inputs)
    : unchanged(state);
}
