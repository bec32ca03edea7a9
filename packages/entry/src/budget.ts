import type { StoreEffect } from '@bronzeyoke/ports';
import type { StepInputs, Step } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';

const MAX_IN_FLIGHT = 32;
const MAX_QUEUED = 5_000;
// The table service handles several hundred writes and 2,000 reads a second from all entries.
const TRANSACTIONS_PER_S = 60;
const READS_PER_S = 300;
const BURST_S = 0.25;

/** Accesses that are queued for the table service, and the tokens that limit their rate. */
export interface BudgetState {
  readonly renewals: readonly StoreEffect[];
  readonly transactions: readonly StoreEffect[];
  readonly reads: readonly StoreEffect[];
  readonly inFlight: number;
  readonly transactionTokens: number;
  readonly readTokens: number;
  readonly refilledAtMs: number;
}

/** Events of the accesses of an entry to the table service. */
export type BudgetEvent =
  | { readonly kind: 'access'; readonly access: StoreEffect }
  | { readonly kind: 'ended' }
  | { readonly kind: 'refill' };

/** Effects of the budget. A refused access is reported as unavailable. */
export type BudgetEffect =
  | { readonly kind: 'call'; readonly access: StoreEffect }
  | { readonly kind: 'refuse'; readonly access: StoreEffect }
  | { readonly kind: 'wake'; readonly afterMs: number };

/** Budget without accesses, with all of its tokens. */
export const INITIAL_BUDGET: BudgetState = {
  renewals: [],
  transactions: [],
  reads: [],
  inFlight: 0,
  transactionTokens: TRANSACTIONS_PER_S * BURST_S,
  readTokens: READS_PER_S * BURST_S,
  refilledAtMs: 0,
};

function refill(state: BudgetState, nowMs: number): BudgetState {
  const elapsedS = Math.max(0, nowMs - state.refilledAtMs) / 1_000;
  const refillTokens = (tokens: number, perS: number) =>
    Math.min(perS * BURST_S, tokens + elapsedS * perS);
  return {
    ...state,
    transactionTokens: refillTokens(state.transactionTokens, TRANSACTIONS_PER_S),
    readTokens: refillTokens(state.readTokens, READS_PER_S),
    refilledAtMs: nowMs,
  };
}

function countQueued(state: BudgetState): number {
  return state.renewals.length + state.transactions.length + state.reads.length;
}

function enqueue(state: BudgetState, access: StoreEffect): BudgetState {
  if (access.kind !== 'commit') return { ...state, reads: [...state.reads, access] };
  return access.isRenewal === true
    ? { ...state, renewals: [...state.renewals, access] }
    : { ...state, transactions: [...state.transactions, access] };
}

function sendAllowed(state: BudgetState): Step<BudgetState, BudgetEffect> {
  const freeSlots = Math.max(0, MAX_IN_FLIGHT - state.inFlight);
  const maxWrites = Math.min(freeSlots, Math.floor(state.transactionTokens));
  const renewals = state.renewals.slice(0, maxWrites);
  const transactions = state.transactions.slice(0, maxWrites - renewals.length);
  const written = renewals.length + transactions.length;
  const reads = state.reads.slice(0, Math.min(freeSlots - written, Math.floor(state.readTokens)));
  const next = {
    ...state,
    renewals: state.renewals.slice(renewals.length),
    transactions: state.transactions.slice(transactions.length),
    reads: state.reads.slice(reads.length),
    inFlight: state.inFlight + written + reads.length,
    transactionTokens: state.transactionTokens - written,
    readTokens: state.readTokens - reads.length,
  };
  const calls = [...renewals, ...transactions, ...reads].map(
    (access) => ({ kind: 'call', access }) as const,
  );
  // With free slots, only missing tokens can delay an access.
  const isOutOfTokens = countQueued(next) > 0 && next.inFlight < MAX_IN_FLIGHT;
  return {
    state: next,
    effects: isOutOfTokens
      ? [...calls, { kind: 'wake', afterMs: Math.ceil(1_000 / TRANSACTIONS_PER_S) }]
      : calls,
  };
}

/** Selects the accesses to send: renewals first, within the budget of the entry. */
export function stepBudget(
  state: BudgetState,
  event: BudgetEvent,
  inputs: StepInputs,
): Step<BudgetState, BudgetEffect> {
  const refilled = refill(state, inputs.nowMs);
  switch (event.kind) {
    case 'access':
      return countQueued(refilled) >= MAX_QUEUED
        ? { state: refilled, effects: [{ kind: 'refuse', access: event.access }] }
        : sendAllowed(enqueue(refilled, event.access));
    case 'ended':
      return sendAllowed({ ...refilled, inFlight: refilled.inFlight - 1 });
    case 'refill':
      return sendAllowed(refilled);
    default:
      return assertNever(event);
  }
}
