import { Map } from 'immutable';
import { advance } from '@bronzeyoke/chart';
import { assertNever } from '@bronzeyoke/types';
import type { ExchangeAction } from './chart';
import { exchangeChart } from './chart';
import type { HttpLimits } from './limits';
import type {
  BodyFraming,
  CloseCause,
  Connection,
  HttpEffect,
  HttpEvent,
  HttpState,
  HttpStep,
  Refusal,
} from './types';

/** State without connections. */
export const NO_CONNECTIONS: HttpState = {
  connections: Map(),
  connectionsByAddress: Map(),
  bodiesBytes: 0,
  unsentBytes: 0,
};

/** Time in which a refused client can read the answer: a close with unread bytes resets the connection. */
const LINGER_MS = 1_000;

/** Limits and the steady clock of the process. */
export interface HttpInputs {
  readonly limits: HttpLimits;
  readonly nowMs: number;
}

/** What a change of the phase is caused by. */
type Move =
  | { readonly kind: 'begin' }
  | { readonly kind: 'end' }
  | { readonly kind: 'refuse'; readonly refusal: Refusal }
  | { readonly kind: 'defer'; readonly refusal: Refusal }
  | { readonly kind: 'drop'; readonly cause: CloseCause }
  | { readonly kind: 'lost' };

function put(state: HttpState, id: number, connection: Connection): HttpState {
  return { ...state, connections: state.connections.set(id, connection) };
}

function forget(state: HttpState, id: number): HttpState {
  const connection = state.connections.get(id);
  if (connection === undefined) return state;
  const { address, bodyBytes, heldBytes, unsentBytes } = connection;
  const left = (state.connectionsByAddress.get(address) ?? 1) - 1;
  return {
    connections: state.connections.delete(id),
    connectionsByAddress:
      left === 0
        ? state.connectionsByAddress.delete(address)
        : state.connectionsByAddress.set(address, left),
    bodiesBytes: state.bodiesBytes - bodyBytes - heldBytes,
    unsentBytes: state.unsentBytes - unsentBytes,
  };
}

function update(state: HttpState, id: number, change: Partial<Connection>): HttpState {
  const connection = state.connections.get(id);
  return connection === undefined ? state : put(state, id, { ...connection, ...change });
}

function applyAction(step: HttpStep, id: number, action: ExchangeAction, move: Move): HttpStep {
  const { state, effects } = step;
  const connection = state.connections.get(id);
  if (connection === undefined) return step;
  const withEffect = (effect: HttpEffect): HttpStep => ({ state, effects: [...effects, effect] });
  switch (action) {
    case 'read':
      return withEffect({ kind: 'read', id });
    case 'hold': {
      const heldBytes = connection.heldBytes + connection.bodyBytes;
      const unanswered = connection.unanswered + 1;
      return { state: update(state, id, { heldBytes, bodyBytes: 0, unanswered }), effects };
    }
    case 'release': {
      const bodiesBytes = state.bodiesBytes - connection.bodyBytes;
      return { state: { ...update(state, id, { bodyBytes: 0 }), bodiesBytes }, effects };
    }
    case 'handOn':
      return withEffect({ kind: 'handOn', id });
    case 'discard':
      return {
        state: move.kind === 'defer' ? update(state, id, { deferred: move.refusal }) : state,
        effects: [...effects, { kind: 'discard', id }],
      };
    case 'sendRefusal':
      return move.kind === 'refuse'
        ? withEffect({ kind: 'refuse', id, refusal: move.refusal })
        : step;
    case 'close':
      return move.kind === 'drop' ? withEffect({ kind: 'close', id, cause: move.cause }) : step;
    case 'forget':
      return { state: forget(state, id), effects };
    default:
      return assertNever(action);
  }
}

function moveConnection(step: HttpStep, id: number, move: Move, nowMs: number): HttpStep {
  const connection = step.state.connections.get(id);
  if (connection === undefined) return step;
  const next = advance(exchangeChart, connection.phase, move.kind);
  const moved =
    next.state === connection.phase
      ? step.state
      : put(step.state, id, { ...connection, phase: next.state, sinceMs: nowMs });
  return next.actions.reduce<HttpStep>(
    (current, action) => applyAction(current, id, action, move),
    { state: moved, effects: step.effects },
  );
}

/** Refuses what a connection sends. Requests that may have run are answered before. */
function refuse(step: HttpStep, id: number, refusal: Refusal, nowMs: number): HttpStep {
  const unanswered = step.state.connections.get(id)?.unanswered ?? 0;
  const kind = unanswered === 0 ? 'refuse' : 'defer';
  return moveConnection(step, id, { kind, refusal }, nowMs);
}

/** Returns the matching connection whose phase is the longest unchanged. */
function oldest(
  state: HttpState,
  matches: (connection: Connection, id: number) => boolean,
): number | undefined {
  return state.connections
    .entrySeq()
    .filter(([id, connection]) => matches(connection, id))
    .minBy(([, { sinceMs }]) => sinceMs)?.[0];
}

/** A full process closes the connection that waits longest without an unanswered request, for a new one. */
function open(
  state: HttpState,
  { id, address }: { readonly id: number; readonly address: string },
  { limits, nowMs }: HttpInputs,
): HttpStep {
  const ofAddress = (state.connectionsByAddress.get(address) ?? 0) + 1;
  const opened: HttpState = {
    ...state,
    connections: state.connections.set(id, {
      address,
      phase: exchangeChart.initial,
      sinceMs: nowMs,
      maxBodyBytes: limits.maxBodyBytes,
      bodyBytes: 0,
      heldBytes: 0,
      unanswered: 0,
      unsentBytes: 0,
    }),
    connectionsByAddress: state.connectionsByAddress.set(address, ofAddress),
  };
  const step: HttpStep = { state: opened, effects: [] };
  if (ofAddress > limits.maxConnectionsPerAddress) {
    return refuse(step, id, 'connectionsFull', nowMs);
  }
  if (opened.connections.size <= limits.maxConnections) return step;
  const victim = oldest(
    opened,
    ({ phase, unanswered }, other) => other !== id && phase !== 'closed' && unanswered === 0,
  );
  return victim === undefined
    ? refuse(step, id, 'connectionsFull', nowMs)
    : moveConnection(step, victim, { kind: 'drop', cause: 'displaced' }, nowMs);
}

function framingRefusal(framing: BodyFraming, maxBodyBytes: number): Refusal | undefined {
  switch (framing.kind) {
    case 'announced':
      return framing.lengthBytes > maxBodyBytes ? 'bodyTooLong' : undefined;
    case 'chunked':
      return undefined;
    case 'chunkedWithTrailer':
      return 'trailer';
    default:
      return assertNever(framing);
  }
}

function begin(
  state: HttpState,
  { id, fields, framing, maxBodyBytes }: Extract<HttpEvent, { readonly kind: 'head' }>,
  { limits, nowMs }: HttpInputs,
): HttpStep {
  const connection = state.connections.get(id);
  const limitBytes = Math.min(maxBodyBytes, limits.maxBodyBytes);
  const step = { state: update(state, id, { maxBodyBytes: limitBytes }), effects: [] };
  if (connection === undefined) return step;
  if (connection.unanswered >= limits.maxUnanswered) {
    return refuse(step, id, 'tooManyUnanswered', nowMs);
  }
  if (fields > limits.maxHeadFields) return refuse(step, id, 'headTooLong', nowMs);
  const refusal = framingRefusal(framing, limitBytes);
  return refusal === undefined
    ? moveConnection(step, id, { kind: 'begin' }, nowMs)
    : refuse(step, id, refusal, nowMs);
}

/** Refuses the oldest incomplete bodies until the others fit. */
function makeRoom(step: HttpStep, id: number, { limits, nowMs }: HttpInputs): HttpStep {
  if (step.state.bodiesBytes <= limits.maxBodiesBytes) return step;
  const victim = oldest(step.state, ({ phase }, other) => other !== id && phase === 'body') ?? id;
  const next = refuse(step, victim, 'bodiesFull', nowMs);
  return victim === id ? next : makeRoom(next, id, { limits, nowMs });
}

function grow(state: HttpState, id: number, bytes: number, inputs: HttpInputs): HttpStep {
  const connection = state.connections.get(id);
  if (connection?.phase !== 'body') return { state, effects: [] };
  if (bytes > connection.maxBodyBytes) {
    return refuse({ state, effects: [] }, id, 'bodyTooLong', inputs.nowMs);
  }
  const grown = {
    ...update(state, id, { bodyBytes: bytes }),
    bodiesBytes: state.bodiesBytes + bytes - connection.bodyBytes,
  };
  return makeRoom({ state: grown, effects: [] }, id, inputs);
}

function answering(state: HttpState, id: number, bytes: number, inputs: HttpInputs): HttpStep {
  const { limits, nowMs } = inputs;
  const connection = state.connections.get(id);
  if (connection === undefined) return { state, effects: [] };
  const unsentBytes = connection.unsentBytes + bytes;
  const next = {
    ...update(state, id, { unsentBytes, sinceMs: nowMs }),
    unsentBytes: state.unsentBytes + bytes,
  };
  if (next.unsentBytes <= limits.maxUnsentBytes) return { state: next, effects: [] };
  const slowest = next.connections
    .filter(({ phase }) => phase !== 'closed')
    .entrySeq()
    .maxBy(([, other]) => other.unsentBytes)?.[0];
  const step = { state: next, effects: [] };
  return slowest === undefined
    ? step
    : moveConnection(step, slowest, { kind: 'drop', cause: 'unread' }, nowMs);
}

function answered(state: HttpState, id: number, bytes: number, nowMs: number): HttpStep {
  const connection = state.connections.get(id);
  if (connection === undefined) return { state, effects: [] };
  const unanswered = connection.unanswered - 1;
  const freedBytes = unanswered === 0 ? connection.heldBytes : 0;
  const heldBytes = connection.heldBytes - freedBytes;
  const unsentBytes = connection.unsentBytes - bytes;
  // The time of a body runs on while an earlier request is answered.
  const sinceMs = connection.phase === 'body' ? connection.sinceMs : nowMs;
  const next: HttpState = {
    ...update(state, id, { unanswered, heldBytes, unsentBytes, sinceMs }),
    bodiesBytes: state.bodiesBytes - freedBytes,
    unsentBytes: state.unsentBytes - bytes,
  };
  const step: HttpStep = { state: next, effects: [] };
  const { deferred } = connection;
  return deferred === undefined || unanswered > 0
    ? step
    : moveConnection(step, id, { kind: 'refuse', refusal: deferred }, nowMs);
}

function isOverdue(connection: Connection, { limits, nowMs }: HttpInputs): boolean {
  const ageMs = nowMs - connection.sinceMs;
  switch (connection.phase) {
    case 'head':
      return ageMs >= limits.headTimeoutMs;
    case 'body':
      return ageMs >= limits.bodyTimeoutMs;
    case 'ended':
      // A request that is being worked on has no limit here.
      return (
        ageMs >= limits.idleTimeoutMs && (connection.unanswered === 0 || connection.unsentBytes > 0)
      );
    case 'deferred':
      return ageMs >= limits.idleTimeoutMs && connection.unsentBytes > 0;
    case 'refused':
      return ageMs >= LINGER_MS;
    case 'closed':
      return false;
    default:
      return assertNever(connection.phase);
  }
}

function expire(step: HttpStep, id: number, phase: Connection['phase'], nowMs: number): HttpStep {
  switch (phase) {
    case 'head':
    case 'body':
      return refuse(step, id, 'tooSlow', nowMs);
    case 'ended':
    case 'deferred':
      return moveConnection(step, id, { kind: 'drop', cause: 'idle' }, nowMs);
    case 'refused':
      return moveConnection(step, id, { kind: 'drop', cause: 'lingered' }, nowMs);
    case 'closed':
      return step;
    default:
      return assertNever(phase);
  }
}

/** Decides what an event means for the connections of the process. */
export function stepHttp(state: HttpState, event: HttpEvent, inputs: HttpInputs): HttpStep {
  const { nowMs } = inputs;
  const unchanged: HttpStep = { state, effects: [] };
  switch (event.kind) {
    case 'opened':
      return open(state, event, inputs);
    case 'head':
      return begin(state, event, inputs);
    case 'grown':
      return grow(state, event.id, event.bytes, inputs);
    case 'ended':
      return moveConnection(unchanged, event.id, { kind: 'end' }, nowMs);
    case 'failed':
      return refuse(unchanged, event.id, event.refusal, nowMs);
    case 'answering':
      return answering(state, event.id, event.bytes, inputs);
    case 'answered':
      return answered(state, event.id, event.bytes, nowMs);
    case 'closed':
      return moveConnection(unchanged, event.id, { kind: 'lost' }, nowMs);
    case 'tick':
      return state.connections
        .filter((connection) => isOverdue(connection, inputs))
        .reduce<HttpStep>((step, { phase }, id) => expire(step, id, phase, nowMs), unchanged);
    default:
      return assertNever(event);
  }
}
