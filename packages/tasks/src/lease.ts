import { OrderedMap } from 'immutable';
import { advance } from '@bronzeyoke/chart';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, chain, chainEach } from '@bronzeyoke/types';
import { callWorker, isCallPending } from './call';
import type { LeaseAction } from './chart';
import { leaseChart } from './chart';
import { stopAll, stopTask, taskLeaseMs } from './task';
import {
  DISPUTE_MS,
  EVICT_LEAD_MS,
  FINAL_REPORTS_MS,
  LEASE_MARGIN_MS,
  LEASE_MS,
  MAX_RETRY_MS,
  RENEW_INTERVAL_MS,
  RENEW_RETRY_MS,
  TOKEN_REUSE_MS,
} from './limits';
import type { Lease, LeaseRequest, AgentTaskRecord, TasksState, TasksStep } from './types';

type LeaseEvent =
  | 'register'
  | 'registered'
  | 'attach'
  | 'attached'
  | 'renew'
  | 'renewed'
  | 'nearExpiry'
  | 'expired'
  | 'revoked'
  | 'superseded'
  | 'disputeLost';

const TOKEN_RADIX = 36;
const TOKEN_RANGE = 2 ** 48;

/** The lease of an agent that has not registered yet. */
export const NO_LEASE: Lease = {
  phase: leaseChart.initial,
  incarnation: 0,
  untilMs: 0,
  requests: OrderedMap(),
  lastSentAtMs: -Infinity,
  tries: 0,
};

/** Returns whether offers can be accepted. A lease that is about to expire allows no new work. */
export function isLeaseHeld({ lease }: TasksState): boolean {
  return lease.phase === 'held';
}

/**
 * Returns the link used last, or the next one after a missing reply, because an entry may be cut
 * off from the store. The first link is chosen at random to spread agents over the entries.
 */
function chooseLink(links: readonly string[], lease: Lease, random: number): string | undefined {
  const last = links.findIndex((linkId) => linkId === lease.lastLinkId);
  return last === -1
    ? links[Math.floor(random * links.length)]
    : links[(last + Number(lease.tries > 0)) % links.length];
}

function sendRequest(
  state: TasksState,
  kind: LeaseRequest['kind'],
  { nowMs, random }: StepInputs,
): TasksStep {
  const { lease, profile, links } = state;
  const { worker, agentId } = profile;
  const { incarnation } = lease;
  // A reply that arrives after the duration of a lease has no effect.
  const recent = lease.requests.filter(({ sentAtMs }) => nowMs - sentAtMs < LEASE_MS);
  // A retry reuses the token, so that two entries do not register the agent twice. After
  // TOKEN_REUSE_MS too little would be left of the lease, which counts from the first request.
  const reused = recent.findLastEntry(
    (request) =>
      kind === 'register' && request.kind === kind && nowMs - request.sentAtMs < TOKEN_REUSE_MS,
  );
  const random36 = Math.floor(random * TOKEN_RANGE).toString(TOKEN_RADIX);
  const created = { kind, sentAtMs: nowMs, incarnation };
  const [token, request] = reused ?? [`${agentId}/${state.callCount}/${random36}`, created];
  const linkId = chooseLink(links, lease, random);
  if (linkId === undefined) return unchanged(state);
  const message =
    kind === 'register'
      ? ({ kind: 'registerWorker', worker, agentId, token } as const)
      : ({ kind: 'renewWorker', worker, incarnation, token } as const);
  return {
    state: {
      ...state,
      callCount: state.callCount + 1,
      lease: {
        ...lease,
        requests: recent.set(token, request),
        lastSentAtMs: nowMs,
        lastLinkId: linkId,
        tries: lease.tries + 1,
      },
    },
    effects: [{ kind: 'send', linkId, message }],
  };
}

function mayRun({ phase }: AgentTaskRecord): boolean {
  return phase === 'starting' || phase === 'running' || phase === 'checkpointing';
}

/** Renews task leases at the worker for the remaining time of the worker lease. */
export function renewTasks(state: TasksState, nowMs: number): TasksStep {
  const leaseMs = taskLeaseMs(state, nowMs);
  const running = state.records.filter(mayRun);
  if (running.isEmpty() || leaseMs <= 0 || isCallPending(state, 'renew')) return unchanged(state);
  const ids = running
    .valueSeq()
    .map(({ task }) => task.id)
    .toArray();
  return callWorker(state, { kind: 'renew' }, { kind: 'renew', ids, leaseMs }, nowMs);
}

function performAction(state: TasksState, action: LeaseAction, inputs: StepInputs): TasksStep {
  const { nowMs } = inputs;
  switch (action) {
    case 'sendRegister':
      return sendRequest(state, 'register', inputs);
    case 'sendRenew':
      return sendRequest(state, 'renew', inputs);
    case 'attachWorker':
      return callWorker(state, { kind: 'attach' }, { kind: 'attach' }, nowMs);
    case 'adoptTasks':
    case 'renewTasks':
      return renewTasks(state, nowMs);
    case 'evictTasks':
      return stopAll(state, 'evict', 'notRegistered', nowMs);
    case 'stopTasks':
      return stopAll(state, 'fence', 'notRegistered', nowMs);
    case 'declineOffers':
      return chainEach(
        unchanged(state),
        state.records.filter(({ phase }) => phase === 'reserved').keys(),
        (current, key) => stopTask(current, key, 'fence', 'notRegistered', nowMs),
      );
    case 'exit': {
      const { worker } = state.profile;
      const incarnation = state.lease.dispute?.incarnation ?? state.lease.incarnation;
      return {
        state,
        effects: [{ kind: 'exit', failure: { kind: 'fenced', worker, incarnation } }],
      };
    }
    default:
      return assertNever(action);
  }
}

/** Applies an event to the lease chart and runs the resulting actions. */
export function advanceLease(state: TasksState, event: LeaseEvent, inputs: StepInputs): TasksStep {
  const next = advance(leaseChart, state.lease.phase, event);
  const isNewRegistration = next.state === 'registering' && next.state !== state.lease.phase;
  const tries = isNewRegistration ? 0 : state.lease.tries;
  const base = { ...state, lease: { ...state.lease, phase: next.state, tries } };
  return chainEach(unchanged(base), next.actions, (current, action) =>
    performAction(current, action, inputs),
  );
}

function withoutRequest(state: TasksState, token: string): TasksState {
  const requests = state.lease.requests.delete(token);
  return { ...state, lease: { ...state.lease, requests } };
}

/** Handles a completed registration. Of several by this agent, the highest incarnation counts. */
export function onRegistered(
  state: TasksState,
  token: string,
  incarnation: number,
  inputs: StepInputs,
): TasksStep {
  const request = state.lease.requests.get(token);
  if (request === undefined || request.kind !== 'register') return unchanged(state);
  const answered = withoutRequest(state, token);
  const isStale =
    incarnation <= state.lease.incarnation ||
    incarnation < (state.lease.dispute?.incarnation ?? 0) ||
    request.sentAtMs + LEASE_MS - LEASE_MARGIN_MS <= inputs.nowMs;
  if (isStale) return unchanged(answered);
  const { dispute: settled, ...lease } = answered.lease;
  const untilMs = request.sentAtMs + LEASE_MS;
  const registered = { ...answered, lease: { ...lease, incarnation, untilMs, tries: 0 } };
  return advanceLease(registered, 'registered', inputs);
}

/** Handles a renewal, which counts from when it was sent, in whatever order replies arrive. */
export function onRenewed(state: TasksState, token: string, inputs: StepInputs): TasksStep {
  const request = state.lease.requests.get(token);
  if (request === undefined || request.kind !== 'renew') return unchanged(state);
  const answered = withoutRequest(state, token);
  const { lease } = answered;
  const untilMs = Math.max(lease.untilMs, request.sentAtMs + LEASE_MS);
  if (request.incarnation !== lease.incarnation || untilMs === lease.untilMs) {
    return unchanged(answered);
  }
  return advanceLease({ ...answered, lease: { ...lease, untilMs, tries: 0 } }, 'renewed', inputs);
}

/**
 * Handles a fence, which reports the incarnation in the worker's row or at the worker itself. The
 * agent's own incarnation means that an owner fenced it because its lease expired: the agent stops
 * all tasks and registers again. A higher incarnation means a later registration. It may be the
 * agent's own if one of its registrations has no reply yet; otherwise another agent took over, and
 * this one exits. The other agent adopts the running tasks, or they stop when their leases expire.
 */
export function onFenced(state: TasksState, incarnation: number, inputs: StepInputs): TasksStep {
  const { lease } = state;
  // An agent that never registered cannot be fenced.
  const isStale = lease.incarnation === 0 || incarnation < lease.incarnation;
  if (isStale || lease.phase === 'fenced') return unchanged(state);
  if (incarnation === lease.incarnation) return advanceLease(state, 'revoked', inputs);
  const existing = lease.dispute;
  const isHigher = existing === undefined || incarnation > existing.incarnation;
  const untilMs = existing?.untilMs ?? inputs.nowMs + DISPUTE_MS;
  const dispute = isHigher ? { incarnation, untilMs } : existing;
  const disputed = advanceLease({ ...state, lease: { ...lease, dispute } }, 'superseded', inputs);
  const mayBeOwn = lease.requests.some(({ kind }) => kind === 'register');
  return mayBeOwn || !state.reports.isEmpty()
    ? disputed
    : chain(disputed, (current) => advanceLease(current, 'disputeLost', inputs));
}

function retryMs(lease: Lease): number {
  const doubled = RENEW_RETRY_MS * 2 ** Math.max(0, lease.tries - 1);
  return Math.min(doubled, MAX_RETRY_MS);
}

function advanceIfDue(
  state: TasksState,
  event: 'register' | 'renew',
  inputs: StepInputs,
): TasksStep {
  const { lease } = state;
  const isAnswered = event === 'renew' && lease.tries === 0;
  const waitMs = isAnswered ? RENEW_INTERVAL_MS : retryMs(lease);
  return inputs.nowMs - lease.lastSentAtMs >= waitMs
    ? advanceLease(state, event, inputs)
    : unchanged(state);
}

/**
 * Sends requests that are due and detects expiry. An expired lease is first renewed, not registered
 * again: the reply shows whether this agent was fenced, and whether another agent replaced it.
 */
export function tickLease(state: TasksState, inputs: StepInputs): TasksStep {
  const { lease } = state;
  const { nowMs } = inputs;
  const leftMs = lease.untilMs - LEASE_MARGIN_MS - nowMs;
  switch (lease.phase) {
    case 'unregistered':
    case 'registering':
      return advanceIfDue(state, 'register', inputs);
    case 'attaching':
      if (leftMs <= 0) return advanceLease(state, 'expired', inputs);
      return chain(advanceIfDue(state, 'renew', inputs), (current) =>
        isCallPending(current, 'attach')
          ? unchanged(current)
          : advanceLease(current, 'attach', inputs),
      );
    case 'held':
      if (leftMs <= 0) return advanceLease(state, 'expired', inputs);
      return chain(advanceIfDue(state, 'renew', inputs), (current) =>
        leftMs <= EVICT_LEAD_MS ? advanceLease(current, 'nearExpiry', inputs) : unchanged(current),
      );
    case 'expiring':
      return leftMs <= 0
        ? advanceLease(state, 'expired', inputs)
        : advanceIfDue(state, 'renew', inputs);
    case 'lost':
      return advanceIfDue(state, 'renew', inputs);
    case 'disputed': {
      const { dispute } = lease;
      const limitMs = (dispute?.untilMs ?? 0) + (state.reports.isEmpty() ? 0 : FINAL_REPORTS_MS);
      return nowMs >= limitMs ? advanceLease(state, 'disputeLost', inputs) : unchanged(state);
    }
    case 'fenced':
      return unchanged(state);
    default:
      return assertNever(lease.phase);
  }
}
