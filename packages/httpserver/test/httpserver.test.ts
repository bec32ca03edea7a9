import { expect } from 'chai';
import { EMPTY_BODY, appendChunk, bytesOf, neededBytes } from '@bronzeyoke/decoding';
import type { HttpEvent, HttpLimits, HttpStep } from '../src';
import {
  NO_CONNECTIONS,
  NO_REFUSALS,
  defaultLimits,
  noteQuiet,
  noteRefusal,
  stepHttp,
} from '../src';

const LIMITS: HttpLimits = {
  ...defaultLimits(),
  maxBodyBytes: 100,
  maxBodiesBytes: 150,
  maxConnections: 2,
  maxConnectionsPerAddress: 2,
  maxUnanswered: 1,
  maxUnsentBytes: 1_000,
};

/** Applies events one second apart, and returns the last step. */
function play(...events: readonly HttpEvent[]): HttpStep {
  return events.reduce<HttpStep>(
    ({ state }, event, index) => stepHttp(state, event, { limits: LIMITS, nowMs: index * 1_000 }),
    { state: NO_CONNECTIONS, effects: [] },
  );
}

const open = (id: number, address = 'a'): HttpEvent => ({ kind: 'opened', id, address });

const head = (id: number, lengthBytes = 100): HttpEvent => ({
  kind: 'head',
  id,
  fields: 1,
  framing: { kind: 'announced', lengthBytes },
  maxBodyBytes: 1_000,
});

// Guards against a refusal that comes only after the body has been read.
it('httpserver: refuses a body by its announced length', () => {
  expect(play(open(1), head(1, 101)).effects).to.deep.equal([
    { kind: 'refuse', id: 1, refusal: 'bodyTooLong' },
  ]);
});

it('httpserver: refuses a message that announces trailers', () => {
  const framing = { kind: 'chunkedWithTrailer' } as const;
  const event = { kind: 'head', id: 1, fields: 1, framing, maxBodyBytes: 100 } as const;
  expect(play(open(1), event).effects).to.deep.equal([
    { kind: 'refuse', id: 1, refusal: 'trailer' },
  ]);
});

// Guards against stalled bodies that keep all others out.
it('httpserver: refuses the oldest incomplete body when all do not fit', () => {
  const { state, effects } = play(
    open(1),
    open(2),
    head(1),
    head(2),
    { kind: 'grown', id: 1, bytes: 100 },
    { kind: 'grown', id: 2, bytes: 100 },
  );
  expect(effects).to.deep.equal([{ kind: 'refuse', id: 1, refusal: 'bodiesFull' }]);
  expect(state.bodiesBytes).to.equal(100);
});

// Guards against the refusal of a request that may already run.
it('httpserver: a complete request is not refused for room', () => {
  const { effects } = play(
    open(1),
    open(2),
    head(1),
    { kind: 'grown', id: 1, bytes: 100 },
    { kind: 'ended', id: 1 },
    head(2),
    { kind: 'grown', id: 2, bytes: 100 },
  );
  expect(effects).to.deep.equal([{ kind: 'refuse', id: 2, refusal: 'bodiesFull' }]);
});

it('httpserver: a new connection displaces the one that waits longest', () => {
  expect(play(open(1), open(2), open(3, 'b')).effects).to.deep.equal([
    { kind: 'close', id: 1, cause: 'displaced' },
  ]);
});

it('httpserver: refuses connections over the limit of an address', () => {
  expect(play(open(1), open(2), open(3)).effects).to.deep.equal([
    { kind: 'refuse', id: 3, refusal: 'connectionsFull' },
  ]);
});

// Guards against totals that shrink with every connection, until nobody is served.
it('httpserver: totals are empty when all connections have closed', () => {
  const { state } = play(
    open(1),
    head(1),
    { kind: 'grown', id: 1, bytes: 100 },
    { kind: 'ended', id: 1 },
    { kind: 'answering', id: 1, bytes: 50 },
    { kind: 'closed', id: 1 },
  );
  expect(state).to.deep.equal(NO_CONNECTIONS);
});

it('httpserver: an answered request frees its memory', () => {
  const { state } = play(
    open(1),
    head(1),
    { kind: 'grown', id: 1, bytes: 100 },
    { kind: 'ended', id: 1 },
    { kind: 'answering', id: 1, bytes: 50 },
    { kind: 'answered', id: 1, bytes: 50 },
  );
  expect([state.bodiesBytes, state.unsentBytes]).to.deep.equal([0, 0]);
});

// Guards against answers that pile up for a client that reads none.
it('httpserver: closes the client that has taken the least of its answers', () => {
  expect(
    play(open(1), head(1, 0), { kind: 'ended', id: 1 }, { kind: 'answering', id: 1, bytes: 1_001 })
      .effects,
  ).to.deep.equal([{ kind: 'close', id: 1, cause: 'unread' }]);
});

it('httpserver: a slow body is refused, and its connection then closed', () => {
  const events = [open(1), head(1)];
  const begun = play(...events);
  const inputs = { limits: LIMITS, nowMs: 1_000 + LIMITS.bodyTimeoutMs };
  const late = stepHttp(begun.state, { kind: 'tick' }, inputs);
  expect(late.effects).to.deep.equal([{ kind: 'refuse', id: 1, refusal: 'tooSlow' }]);
  const lingered = { ...inputs, nowMs: inputs.nowMs + 1_000 };
  expect(stepHttp(late.state, { kind: 'tick' }, lingered).effects).to.deep.equal([
    { kind: 'close', id: 1, cause: 'lingered' },
  ]);
});

// Guards against a request that is cut off because its answer takes long.
it('httpserver: a request that is worked on has no time limit', () => {
  const { state } = play(open(1), head(1, 0), { kind: 'ended', id: 1 });
  expect(stepHttp(state, { kind: 'tick' }, { limits: LIMITS, nowMs: 1e9 }).effects).to.deep.equal(
    [],
  );
});

// Guards against a cost of small chunks, and against room that is taken for bytes that never come.
it('httpserver: a buffer grows with the bytes and up to the limit', () => {
  const chunk = Buffer.from('a');
  const body = Array.from({ length: 1_500 }).reduce<typeof EMPTY_BODY>(
    (current) => appendChunk(current, chunk, neededBytes(current, 1, 1_600)),
    EMPTY_BODY,
  );
  expect([body.buffer.length, bytesOf(body).length]).to.deep.equal([1_600, 1_500]);
});

it('httpserver: refusals are told once, and their end after a quiet time', () => {
  const first = noteRefusal(NO_REFUSALS, 'bodiesFull', 0);
  const second = noteRefusal(first.watch, 'tooSlow', 1_000);
  expect([first.change, second.change]).to.deep.equal([
    { kind: 'began', reason: 'bodiesFull' },
    undefined,
  ]);
  expect(noteQuiet(second.watch, 5_000).change).to.equal(undefined);
  expect(noteQuiet(second.watch, 11_000).change).to.deep.equal({ kind: 'ended', refused: 2 });
});

// Guards against defaults that refuse a heartbeat of 4 MiB on a small machine.
it('httpserver: defaults take two of the largest bodies on a small machine', () => {
  const limits = defaultLimits({ memoryMb: 64, maxFds: 400 });
  expect([limits.maxBodyBytes, limits.maxBodiesBytes]).to.deep.equal([4_194_304, 8_388_608]);
  expect(limits.maxConnectionsPerAddress).to.equal(limits.maxConnections);
});
