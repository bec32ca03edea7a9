import { expect } from 'chai';
import type { QuotaEvent, QuotaStep } from '../src';
import { NO_LINKS, stepQuota } from '../src';

const LIMITS = { maxConnections: 2, maxUnprovenBytes: 100, firstMessageTimeoutMs: 5_000 };

/** Applies events one second apart, and returns the last step. */
function play(...events: readonly QuotaEvent[]): QuotaStep {
  return events.reduce<QuotaStep>(
    ({ quota }, event, index) => stepQuota(quota, event, { limits: LIMITS, nowMs: index * 1_000 }),
    { quota: NO_LINKS, closed: [] },
  );
}

const open = (linkId: string): QuotaEvent => ({ kind: 'opened', linkId });
const prove = (linkId: string): QuotaEvent => ({ kind: 'proven', linkId });
const buffer = (linkId: string, bytes: number): QuotaEvent => ({ kind: 'buffered', linkId, bytes });

// Guards against strangers that keep an agent from its leader.
it('quota: a new connection displaces the oldest that has sent no message', () => {
  expect(play(open('a'), open('b'), prove('a'), open('c')).closed).to.deep.equal(['b']);
});

it('quota: a proven connection is not displaced', () => {
  expect(play(open('a'), open('b'), prove('a'), prove('b'), open('c')).closed).to.deep.equal(['c']);
});

it('quota: the oldest incomplete first message gives way', () => {
  const { quota, closed } = play(open('a'), open('b'), buffer('a', 60), buffer('b', 60));
  expect(closed).to.deep.equal(['a']);
  expect(quota.unprovenBytes).to.equal(60);
});

// Guards against a limit on the large reports of agents that are known.
it('quota: bytes of proven connections are not counted', () => {
  expect(play(open('a'), prove('a'), buffer('a', 1_000)).closed).to.deep.equal([]);
});

// Guards against the end of a connection on which an agent only waits for the leader's reply.
it('quota: only a connection that has begun a message has a time limit', () => {
  const { quota } = play(open('a'), open('b'), buffer('a', 1));
  const late = stepQuota(quota, { kind: 'tick' }, { limits: LIMITS, nowMs: 60_000 });
  expect(late.closed).to.deep.equal(['a']);
  expect(late.quota.unprovenBytes).to.equal(0);
});
