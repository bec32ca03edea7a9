import { expect } from 'chai';
import type { RequestsEffect, RequestsEvent, RequestsState } from '@bronzeyoke/requests';
import { AGENT_RETURN_TIMEOUT_MS, createRequests, stepRequests } from '@bronzeyoke/requests';
import type { CallerRequest } from '@bronzeyoke/types';

interface Fixture {
  readonly state: RequestsState;
  readonly effects: readonly RequestsEffect[];
}

const START: Fixture = { state: createRequests('hobart'), effects: [] };

/** Applies one event and returns the effects of this event only. */
function dispatch(fixture: Fixture, event: RequestsEvent, nowMs = 0): Fixture {
  return stepRequests(fixture.state, event, { nowMs, random: 0.3 });
}

function dispatchAll(fixture: Fixture, events: readonly RequestsEvent[]): Fixture {
  return events.reduce((current, event) => dispatch(current, event), fixture);
}

function connect(agentId: string, service = 'quoter', slots = 1): RequestsEvent {
  const upstream = { agentId, service, domain: 'hobart', slots, connections: 0 };
  return { kind: 'upstreamUp', upstream };
}

function arrive(requestId: string, change: Partial<CallerRequest> = {}): RequestsEvent {
  const request = {
    requestId,
    service: 'quoter',
    method: 'POST',
    path: '/price',
    headers: {},
    body: Buffer.from('spring'),
    timeoutMs: 10_000,
    ...change,
  };
  return { kind: 'arrived', request };
}

function answerAttempt(agentId: string, requestId: string, attempt = 1): RequestsEvent {
  const answer = { status: 200, headers: {}, body: Buffer.from(requestId) };
  const attemptId = `${requestId}.${attempt}`;
  return {
    kind: 'attemptEnded',
    agentId,
    requestId,
    attemptId,
    result: { kind: 'answered', answer },
  };
}

const origin = 'requests';
const FLUSH: RequestsEvent = { kind: 'timer', timer: { kind: 'intentFlush' } };
const KEYED = { idempotencyKey: 'k' };
const ROW = {
  requestId: 'other',
  attemptId: 'other.1',
  agentId: 'a',
  fingerprint: '',
  plannedAtWallMs: 0,
};

function sentTo(fixture: Fixture): readonly string[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'send' ? `${effect.message.kind} ${effect.agentId}` : [],
  );
}

function outcomes(fixture: Fixture): readonly string[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'reply' ? `${effect.requestId} ${effect.outcome.kind}` : [],
  );
}

function fingerprintIn(fixture: Fixture): string {
  const [commit] = fixture.effects.filter((effect) => effect.kind === 'commit');
  const [write] = commit?.transaction.writes ?? [];
  return write?.kind === 'put' ? (write.value as typeof ROW).fingerprint : '';
}

function confirmCommit(version: number, callId = 'intents#1'): RequestsEvent {
  const rows = [{ key: 'request/k', version, value: ROW }];
  return { kind: 'commitDone', origin, callId, result: { kind: 'committed', rows } };
}

// Without collecting, every reconnection would leave its requests with unknown outcomes.
it('requests: an attempt is collected when its agent reconnects', () => {
  const sent = dispatchAll(START, [connect('a'), arrive('r', KEYED), FLUSH, confirmCommit(1)]);
  expect(sentTo(sent)).to.deep.equal(['request a']);
  const down = dispatch(sent, { kind: 'upstreamDown', agentId: 'a' });
  expect(outcomes(down)).to.deep.equal([]);
  const back = dispatch(down, connect('a'), 700);
  expect(sentTo(back)).to.deep.equal(['collect a']);
  expect(outcomes(dispatch(back, answerAttempt('a', 'r')))).to.deep.equal(['r answered']);
});

it('requests: the outcome is unknown when the agent does not reconnect', () => {
  const events = [connect('a'), arrive('r', KEYED), FLUSH, confirmCommit(1)];
  const down = dispatch(dispatchAll(START, events), { kind: 'upstreamDown', agentId: 'a' });
  const timer = { kind: 'agentReturn', agentId: 'a' } as const;
  const early = dispatch(down, { kind: 'timer', timer }, AGENT_RETURN_TIMEOUT_MS - 1);
  expect(outcomes(early)).to.deep.equal([]);
  const over = dispatch(down, { kind: 'timer', timer }, AGENT_RETURN_TIMEOUT_MS);
  expect(outcomes(over)).to.deep.equal(['r unknown']);
});

it('requests: a repeat collects from the agent in the row and replaces the row on proof', () => {
  const committing = dispatchAll(START, [connect('a'), connect('b'), arrive('r', KEYED), FLUSH]);
  const value = { ...ROW, fingerprint: fingerprintIn(committing) };
  const result = { kind: 'conflict', rows: [{ key: 'request/k', version: 4, value }] } as const;
  const found = dispatch(committing, { kind: 'commitDone', origin, callId: 'intents#1', result });
  expect(sentTo(found)).to.deep.equal(['collect a']);
  expect(outcomes(dispatch(found, answerAttempt('a', 'other')))).to.deep.equal(['r answered']);
  const proven = dispatch(found, {
    kind: 'attemptEnded',
    agentId: 'a',
    requestId: 'other',
    attemptId: 'other.1',
    result: { kind: 'neverArrived' },
  });
  const [commit] = dispatch(proven, FLUSH).effects.filter((effect) => effect.kind === 'commit');
  expect(commit?.transaction.conditions).to.deep.equal([{ key: 'request/k', version: 4 }]);
  expect(sentTo(proven)).to.deep.equal([]);
});

// Agents drop attempts after 15 minutes; trusting a report on an older one starts a second run.
it('requests: an old row is not replaced on a report of its agent', () => {
  const committing = dispatchAll(START, [connect('a'), connect('b'), arrive('r', KEYED), FLUSH]);
  const value = { ...ROW, fingerprint: fingerprintIn(committing), plannedAtWallMs: -700_000 };
  const result = { kind: 'conflict', rows: [{ key: 'request/k', version: 4, value }] } as const;
  const found = dispatch(committing, { kind: 'commitDone', origin, callId: 'intents#1', result });
  const reported = dispatch(found, {
    kind: 'attemptEnded',
    agentId: 'a',
    requestId: 'other',
    attemptId: 'other.1',
    result: { kind: 'neverArrived' },
  });
  expect(outcomes(reported)).to.deep.equal(['r unknown']);
});

// The agent in the row may have run the request, so its absence proves nothing.
it('requests: a repeat whose agent is missing ends as unknown', () => {
  const committing = dispatchAll(START, [connect('b'), arrive('r', KEYED), FLUSH]);
  const value = { ...ROW, agentId: 'gone', fingerprint: fingerprintIn(committing) };
  const result = { kind: 'conflict', rows: [{ key: 'request/k', version: 4, value }] } as const;
  const found = dispatch(committing, { kind: 'commitDone', origin, callId: 'intents#1', result });
  const timer = { kind: 'agentReturn', agentId: 'gone' } as const;
  const over = dispatch(found, { kind: 'timer', timer }, AGENT_RETURN_TIMEOUT_MS);
  expect(outcomes(over)).to.deep.equal(['r unknown']);
});

it('requests: a key with different content is refused', () => {
  const committing = dispatchAll(START, [connect('a'), arrive('r', KEYED), FLUSH]);
  const rows = [{ key: 'request/k', version: 1, value: { ...ROW, fingerprint: 'different' } }];
  const result = { kind: 'conflict', rows } as const;
  const refused = dispatch(committing, { kind: 'commitDone', origin, callId: 'intents#1', result });
  expect(outcomes(refused)).to.deep.equal(['r keyReused']);
  expect(sentTo(refused)).to.deep.equal([]);
});

// A write whose response was lost may take effect after the row was read as absent.
it('requests: an absent row after a lost response is committed again for the same attempt', () => {
  const committing = dispatchAll(START, [connect('a'), arrive('r', KEYED), FLUSH]);
  const lost = dispatch(committing, {
    kind: 'commitDone',
    origin,
    callId: 'intents#1',
    result: { kind: 'unknown' },
  });
  expect(lost.effects.map(({ kind }) => kind)).to.deep.equal(['read']);
  const again = dispatch(lost, {
    kind: 'readDone',
    origin,
    callId: 'r#2',
    result: { kind: 'rows', rows: [] },
  });
  const [commit] = dispatch(again, FLUSH).effects.filter((effect) => effect.kind === 'commit');
  const [first] = committing.effects.filter((effect) => effect.kind === 'commit');
  expect(commit?.transaction).to.deep.equal(first?.transaction);
});

it('requests: without the store only non-idempotent requests are refused', () => {
  const result = { kind: 'unavailable' } as const;
  const keyed = dispatchAll(START, [connect('a'), arrive('r', KEYED), FLUSH]);
  const refused = dispatch(keyed, { kind: 'commitDone', origin, callId: 'intents#1', result });
  expect(outcomes(refused)).to.deep.equal(['r notRun']);
  expect(sentTo(dispatch(refused, arrive('s')))).to.deep.equal(['request a']);
});

// An attempt that is sent long after other entries could read its row may run a second time.
it('requests: an intent that was stored late is replaced before it is sent', () => {
  const committing = dispatchAll(START, [connect('a'), arrive('r', KEYED), FLUSH]);
  const late = dispatch(committing, confirmCommit(1), 6_000);
  expect(sentTo(late)).to.deep.equal([]);
  const [commit] = dispatch(late, FLUSH, 6_010).effects.filter(
    (effect) => effect.kind === 'commit',
  );
  expect(commit?.transaction.conditions).to.deep.equal([{ key: 'request/k', version: 1 }]);
});

// One transaction for each request would exceed the store budget of an entry.
it('requests: intents of a few milliseconds share a transaction without those in conflict', () => {
  const events = ['k1', 'k2', 'k2'].map((idempotencyKey, index) =>
    arrive(`r${index}`, { idempotencyKey }),
  );
  const flushed = dispatchAll(START, [connect('a', 'quoter', 8), ...events, FLUSH]);
  const writersIn = (fixture: Fixture) =>
    fixture.effects.flatMap((effect) =>
      effect.kind === 'commit'
        ? effect.transaction.writes.map((write) =>
            write.kind === 'put' ? (write.value as typeof ROW).requestId : '',
          )
        : [],
    );
  expect(writersIn(flushed)).to.deep.equal(['r0', 'r1']);
  const rows = [{ key: 'request/k1', version: 3, value: { ...ROW, fingerprint: 'different' } }];
  const result = { kind: 'conflict', rows } as const;
  const refused = dispatch(flushed, { kind: 'commitDone', origin, callId: 'intents#1', result });
  expect(outcomes(refused)).to.deep.equal(['r0 keyReused']);
  expect(writersIn(dispatch(refused, FLUSH))).to.deep.equal(['r1']);
});

it('requests: a result with mismatched ids is ignored', () => {
  const sent = dispatchAll(START, [connect('a'), connect('b'), arrive('r'), arrive('s')]);
  const byOther = ['a', 'b'].map((agentId) => dispatch(sent, answerAttempt(agentId, 'r', 2)));
  byOther.forEach((fixture) => expect(outcomes(fixture)).to.deep.equal([]));
  const both = ['a', 'b'].flatMap((agentId) =>
    outcomes(dispatch(sent, answerAttempt(agentId, 'r'))),
  );
  expect(both).to.deep.equal(['r answered']);
});

it('requests: the queue is in deadline order and does not block another service', () => {
  const busy = dispatchAll(START, [
    connect('a'),
    connect('c', 'certdesk'),
    arrive('r'),
    arrive('late', { timeoutMs: 9_000 }),
    arrive('soon', { timeoutMs: 3_000 }),
  ]);
  expect(sentTo(dispatch(busy, arrive('x', { service: 'certdesk' })))).to.deep.equal(['request c']);
  const freed = dispatch(busy, answerAttempt('a', 'r'));
  const sent = freed.effects.filter((effect) => effect.kind === 'send');
  expect(sent.map(({ message }) => 'requestId' in message && message.requestId)).to.deep.equal([
    'soon',
  ]);
});

it('requests: the queue is bounded and an expired request is refused as not run', () => {
  const events = Array.from({ length: 10 }, (_, index) => arrive(`r${index}`));
  const full = dispatchAll(START, [connect('a'), ...events]);
  expect(outcomes(full)).to.deep.equal(['r9 notRun']);
  const timer = { kind: 'requestExpiry', requestId: 'r3' } as const;
  expect(outcomes(dispatch(full, { kind: 'timer', timer }, 10_000))).to.deep.equal(['r3 notRun']);
});

it('requests: only idempotent requests are hedged, at another upstream', () => {
  const warm = Array.from({ length: 64 }, (_, index) => `w${index}`).reduce(
    (fixture, id) => {
      const sent = dispatch(fixture, arrive(id));
      const [target = ''] = sentTo(sent).map((text) => text.split(' ')[1] ?? '');
      return dispatch(sent, answerAttempt(target, id), 20);
    },
    dispatchAll(START, [connect('a', 'quoter', 4), connect('b', 'quoter', 4)]),
  );
  const plain = dispatch(warm, arrive('r'));
  const keyed = dispatch(warm, arrive('k', KEYED));
  const timersOf = (fixture: Fixture) =>
    fixture.effects.flatMap((effect) => (effect.kind === 'wake' ? effect.timer.kind : []));
  expect(timersOf(plain)).to.include('requestHedge');
  expect(timersOf(keyed)).to.not.include('requestHedge');
  const timer = { kind: 'requestHedge', requestId: 'r' } as const;
  const hedged = dispatch(plain, { kind: 'timer', timer }, 30);
  expect([...sentTo(plain), ...sentTo(hedged)].sort()).to.deep.equal(['request a', 'request b']);
});
