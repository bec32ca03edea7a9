import { Map } from 'immutable';
import type {
  CommitResult,
  Condition,
  Row,
  StoreEffect,
  StoreOrigin,
  Transaction,
  Write,
} from '@bronzeyoke/ports';
import { MAX_TRANSACTION_ROWS } from '@bronzeyoke/ports';
import { assertNever } from '@bronzeyoke/types';
import { resolveCommit } from './resolve';

// At one flush in each tick of 50 ms, this is the limit of 60 transactions per second for an entry.
const MAX_TRANSACTIONS_PER_FLUSH = 3;
const RETRY_DELAY_MS = 250;
const BACK_OFF_MS = 500;

/** Conditions and writes that take effect together. A transaction applies all of its parts or none. */
export interface Part {
  readonly partId: string;
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
  /** Is sent in a transaction without other parts. */
  readonly isSolo?: true;
}

/** A transaction whose result is not known yet. */
export interface GroupTransaction {
  readonly parts: readonly Part[];
  readonly transaction: Transaction;
  readonly wasReplyLost: boolean;
  /** When to send it again, after its reply was lost. */
  readonly retryAtMs?: number;
}

/** Parts that wait to be sent or whose transaction is in flight. */
export interface GroupState {
  readonly origin: StoreOrigin;
  readonly callCount: number;
  readonly waiting: readonly Part[];
  readonly inFlight: Map<string, GroupTransaction>;
  /** Nothing is sent before this time, after the table was unavailable. */
  readonly backOffUntilMs: number;
}

/** Result of a part. The rows are those of the whole transaction. */
export type PartOutcome =
  | { readonly kind: 'committed'; readonly part: Part; readonly rows: readonly Row[] }
  | {
      readonly kind: 'conflict';
      readonly part: Part;
      /** Conditions of the part that do not hold. `rows` has the current rows. */
      readonly failed: readonly Condition[];
      readonly rows: readonly Row[];
    }
  | { readonly kind: 'unavailable'; readonly part: Part };

/** Next state of a group, with the accesses to send and the parts that have ended. */
export interface GroupStep {
  readonly state: GroupState;
  readonly effects: readonly StoreEffect[];
  readonly outcomes: readonly PartOutcome[];
}

/** Creates a group without parts. */
export function createGroup(origin: StoreOrigin): GroupState {
  return { origin, callCount: 0, waiting: [], inFlight: Map(), backOffUntilMs: 0 };
}

/** Adds a part to the queue that `flushGroup` sends. */
export function addPart(state: GroupState, part: Part): GroupState {
  return { ...state, waiting: [...state.waiting, part] };
}

/** Returns whether sending is paused because the table was unavailable. */
export function isBackingOff(state: GroupState, nowMs: number): boolean {
  return nowMs < state.backOffUntilMs;
}

/** Returns whether no part is waiting or in flight. */
export function isGroupIdle(state: GroupState): boolean {
  return state.waiting.length === 0 && state.inFlight.isEmpty();
}

interface PackedParts {
  readonly conditions: Map<string, Condition>;
  readonly writes: Map<string, Write>;
  readonly parts: readonly Part[];
}

const NO_PACKED_PARTS: PackedParts = { conditions: Map(), writes: Map(), parts: [] };

function addToPacked(packed: PackedParts, part: Part): PackedParts | undefined {
  const [first] = packed.parts;
  if (first !== undefined && (part.isSolo === true || first.isSolo === true)) return undefined;
  const conflicts = part.conditions.some(
    ({ key, version }) => (packed.conditions.get(key)?.version ?? version) !== version,
  );
  if (conflicts || part.writes.some((write) => packed.writes.has(write.key))) return undefined;
  const conditions = packed.conditions.merge(
    Map(part.conditions.map((condition) => [condition.key, condition])),
  );
  const writes = packed.writes.merge(Map(part.writes.map((write) => [write.key, write])));
  const extraCount = [...writes.keys()].filter((key) => !conditions.has(key)).length;
  return first !== undefined && conditions.size + extraCount > MAX_TRANSACTION_ROWS
    ? undefined
    : { conditions, writes, parts: [...packed.parts, part] };
}

function packNext(parts: readonly Part[]): { readonly packed: PackedParts; readonly rest: Part[] } {
  const rest: Part[] = [];
  const packed = parts.reduce((current, part) => {
    const next = addToPacked(current, part);
    if (next === undefined) rest.push(part);
    return next ?? current;
  }, NO_PACKED_PARTS);
  return { packed, rest };
}

function send(state: GroupState, inFlight: GroupTransaction): GroupStep {
  const callId = `${state.origin}-group-${state.callCount}`;
  return {
    state: {
      ...state,
      callCount: state.callCount + 1,
      inFlight: state.inFlight.set(callId, inFlight),
    },
    effects: [{ kind: 'commit', origin: state.origin, callId, transaction: inFlight.transaction }],
    outcomes: [],
  };
}

function sendPacked(step: GroupStep): GroupStep {
  const { packed, rest } = packNext(step.state.waiting);
  if (packed.parts.length === 0) return step;
  const next = send(
    { ...step.state, waiting: rest },
    {
      parts: packed.parts,
      transaction: {
        conditions: [...packed.conditions.values()],
        writes: [...packed.writes.values()],
      },
      wasReplyLost: false,
    },
  );
  return { ...next, effects: [...step.effects, ...next.effects] };
}

/** Sends waiting parts in few transactions, and sends those again whose reply was lost. */
export function flushGroup(state: GroupState, nowMs: number): GroupStep {
  const due = state.inFlight.filter(
    (inFlight) => inFlight.retryAtMs !== undefined && inFlight.retryAtMs <= nowMs,
  );
  const retried = [...due.values()].reduce<GroupStep>(
    (done, { parts, transaction }) => {
      const next = send(done.state, { parts, transaction, wasReplyLost: true });
      return { ...next, effects: [...done.effects, ...next.effects] };
    },
    {
      state: { ...state, inFlight: state.inFlight.deleteAll(due.keys()) },
      effects: [],
      outcomes: [],
    },
  );
  if (isBackingOff(state, nowMs)) return retried;
  return Array.from({ length: MAX_TRANSACTIONS_PER_FLUSH }).reduce<GroupStep>(sendPacked, retried);
}

function splitConflict(
  inFlight: GroupTransaction,
  rows: readonly Row[],
): { readonly outcomes: readonly PartOutcome[]; readonly retried: readonly Part[] } {
  const versions = Map(rows.map((row) => [row.key, row.version]));
  const checked = inFlight.parts.map((part) => ({
    part,
    failed: part.conditions.filter(({ key, version }) => (versions.get(key) ?? 0) !== version),
  }));
  return {
    outcomes: checked.flatMap(({ part, failed }) =>
      failed.length === 0 ? [] : [{ kind: 'conflict' as const, part, failed, rows }],
    ),
    retried: checked.flatMap(({ part, failed }) => (failed.length === 0 ? [part] : [])),
  };
}

/**
 * Applies the result of a transaction. After a conflict, the parts whose conditions hold are sent again
 * without the others.
 */
export function applyCommitResult(
  state: GroupState,
  callId: string,
  result: CommitResult,
  nowMs: number,
): GroupStep {
  const inFlight = state.inFlight.get(callId);
  if (inFlight === undefined) return { state, effects: [], outcomes: [] };
  const next = { ...state, inFlight: state.inFlight.delete(callId) };
  const resolution = resolveCommit(inFlight.transaction, inFlight.wasReplyLost, result);
  switch (resolution.kind) {
    case 'committed': {
      const { rows } = resolution;
      const outcomes = inFlight.parts.map((part) => ({ kind: 'committed', part, rows }) as const);
      return { state: next, effects: [], outcomes };
    }
    case 'conflict': {
      const { outcomes, retried } = splitConflict(inFlight, resolution.rows);
      return {
        state: { ...next, waiting: [...retried, ...next.waiting] },
        effects: [],
        outcomes,
      };
    }
    case 'unavailable':
      return {
        state: { ...next, backOffUntilMs: nowMs + BACK_OFF_MS },
        effects: [],
        outcomes: inFlight.parts.map((part) => ({ kind: 'unavailable', part }) as const),
      };
    case 'retry': {
      const waiting = { ...inFlight, wasReplyLost: true, retryAtMs: nowMs + RETRY_DELAY_MS };
      return {
        state: { ...next, inFlight: next.inFlight.set(callId, waiting) },
        effects: [],
        outcomes: [],
      };
    }
    default:
      return assertNever(resolution);
  }
}
