import { expect } from 'chai';
import type { RequestsEffect, RequestsEvent, RequestsState } from '@bronzeyoke/requests';
import { AGENT_RETURN_TIMEOUT_MS, createRequests, stepRequests } from '@bronzeyoke/requests';
import type { CallerRequest } from '@bronzeyoke/types';

interface Run {
  readonly state: RequestsState;
  readonly effects: readonly RequestsEffect[];
}

const START: Run = { state: createRequests('hobart'), effects: [] };

/** Applies one event and returns the effects of this event only. */
function after(run: Run, event: RequestsEvent, nowMs = 0): Run {
  return stepRequests(run.state, event, { nowMs, random: 0.3 });
}

function afterAll(run: Run, events: readonly RequestsEvent[]): Run {
  return events.reduce((current, event) => after(current, event), run);
}

function up(agentId: string, service = 'quoter', slots = 1): RequestsEvent {
  const upstream = { agentId, service, domain: 'hobart', slots, connections: 0 };
  return { kind: 'upstreamUp', upstream };
}

function arrived(requestId: string, change: Partial<CallerRequest> = {}): RequestsEvent {
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

function answered(agentId: string, requestId: string, attempt = 1): RequestsEvent {
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

function sentTo(run: Run): readonly string[] {
  return run.effects.flatMap((effect) =>
    effect.kind === 'send' ? `${effect.message.kind} ${effect.agentId}` : [],
  );
}

function outcomes(run: Run): readonly string[] {
  return run.effects.flatMap((effect) =>
    effect.kind === 'reply' ? `${effect.requestId} ${effect.outcome.kind}` : [],
  );
}

function fingerprintIn(run: Run): string {
  const [commit] = run.effects.filter((effect) => effect.kind === 'commit');
  const [write] = commit?.transaction.writes ?? [];
  return write?.kind === 'put' ? (write.value as typeof ROW).fingerprint : '';
}

function commitDone(version: number, callId = 'intents#1'): RequestsEvent {
  const rows = [{ key: 'request/k', version, value: ROW }];
  return { kind: 'commitDone', origin, callId, result: { kind: 'committed', rows } };
}

// Without collecting, every reconnection would leave its requests with unknown outcomes.
it('requests: an attempt is collected when its agent reconnects', () => {
  const sent = afterAll(START, [up('a'), arrived('r', KEYED), FLUSH, commitDone(1)]);
  expect(sentTo(sent)).to.deep.equal(['request a']);
  const down = after(sent, { kind: 'upstreamDown', agentId: 'a' });
  expect(outcomes(down)).to.deep.equal([]);
  const back = after(down, up('a'), 700);
  expect(sentTo(back)).to.deep.equal(['collect a']);
  expect(outcomes(after(back, answered('a', 'r')))).to.deep.equal(['r answered']);
});

it('requests: the outcome is unknown when the agent does not reconnect', () => {
  const events = [up('a'), arrived('r', KEYED), FLUSH, commitDone(1)];
  const down = after(afterAll(START, events), { kind: 'upstreamDown', agentId: 'a' });
  const timer = { kind: 'agentReturn', agentId: 'a' } as const;
  const early = after(down, { kind: 'timer', timer }, AGENT_RETURN_TIMEOUT_MS - 1);
  expect(outcomes(early)).to.deep.equal([]);
  const over = after(down, { kind: 'timer', timer }, AGENT_RETURN_TIMEOUT_MS);
  expect(outcomes(over)).to.deep.equal(['r unknown']);
});

it('requests: a repeat collects from the agent in the row and replaces the row on proof', () => {
  const committing = afterAll(START, [up('a'), up('b'), arrived('r', KEYED), FLUSH]);
  const value = { ...ROW, fingerprint: fingerprintIn(committing) };
  const result = { kind: 'conflict', rows: [{ key: 'request/k', version: 4, value }] } as const;
  const found = after(committing, { kind: 'commitDone', origin, callId: 'intents#1', result });
  expect(sentTo(found)).to.deep.equal(['collect a']);
  expect(outcomes(after(found, answered('a', 'other')))).to.deep.equal(['r answered']);
  const proven = after(found, {
    kind: 'attemptEnded',
    agentId: 'a',
    requestId: 'other',
    attemptId: 'other.1',
    result: { kind: 'neverArrived' },
  });
  const [commit] = after(proven, FLUSH).effects.filter((effect) => effect.kind === 'commit');
  expect(commit?.transaction.conditions).to.deep.equal([{ key: 'request/k', version: 4 }]);
  expect(sentTo(proven)).to.deep.equal([]);
});

// Agents drop attempts after 15 minutes; trusting a report on an older one starts a second run.
it('requests: an old row is not replaced on a report of its agent', () => {
  const committing = afterAll(START, [up('a'), up('b'), arrived('r', KEYED), FLUSH]);
  const value = { ...ROW, fingerprint: fingerprintIn(committing), plannedAtWallMs: -700_000 };
  const result = { kind: 'conflict', rows: [{ key: 'request/k', version: 4, value }] } as const;
  const found = after(committing, { kind: 'commitDone', origin, callId: 'intents#1', result });
  const reported = after(found, {
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
  const committing = afterAll(START, [up('b'), arrived('r', KEYED), FLUSH]);
  const value = { ...ROW, agentId: 'gone', fingerprint: fingerprintIn(committing) };
  const result = { kind: 'conflict', rows: [{ key: 'request/k', version: 4, value }] } as const;
  const found = after(committing, { kind: 'commitDone', origin, callId: 'intents#1', result });
  const timer = { kind: 'agentReturn', agentId: 'gone' } as const;
  const over = after(found, { kind: 'timer', timer }, AGENT_RETURN_TIMEOUT_MS);
  expect(outcomes(over)).to.deep.equal(['r unknown']);
});

it('requests: a key with different content is refused', () => {
  const committing = afterAll(START, [up('a'), arrived('r', KEYED), FLUSH]);
  const rows = [{ key: 'request/k', version: 1, value: { ...ROW, fingerprint: 'different' } }];
  const result = { kind: 'conflict', rows } as const;
  const refused = after(committing, { kind: 'commitDone', origin, callId: 'intents#1', result });
  expect(outcomes(refused)).to.deep.equal(['r keyReused']);
  expect(sentTo(refused)).to.deep.equal([]);
});

// A write whose response was lost may take effect after the row was read as absent.
it('requests: an absent row after a lost response is committed again for the same attempt', () => {
  const committing = afterAll(START, [up('a'), arrived('r', KEYED), FLUSH]);
  const lost = after(committing, {
    kind: 'commitDone',
    origin,
    callId: 'intents#1',
    result: { kind: 'unknown' },
  });
  expect(lost.effects.map(({ kind }) => kind)).to.deep.equal(['read']);
  const again = after(lost, {
    kind: 'readDone',
    origin,
    callId: 'r#2',
    result: { kind: 'rows', rows: [] },
  });
  const [commit] = after(again, FLUSH).effects.filter((effect) => effect.kind === 'commit');
  const [first] = committing.effects.filter((effect) => effect.kind === 'commit');
  expect(commit?.transaction).to.deep.equal(first?.transaction);
});

it('requests: without the store only non-idempotent requests are refused', () => {
  const result = { kind: 'unavailable' } as const;
  const keyed = afterAll(START, [up('a'), arrived('r', KEYED), FLUSH]);
  const refused = after(keyed, { kind: 'commitDone', origin, callId: 'intents#1', result });
  expect(outcomes(refused)).to.deep.equal(['r notRun']);
  expect(sentTo(after(refused, arrived('s')))).to.deep.equal(['request a']);
});

// An attempt that is sent long after other entries could read its row may run a second time.
it('requests: an intent that was stored late is replaced before it is sent', () => {
  const committing = afterAll(START, [up('a'), arrived('r', KEYED), FLUSH]);
  const late = after(committing, commitDone(1), 6_000);
  expect(sentTo(late)).to.deep.equal([]);
  const [commit] = after(late, FLUSH, 6_010).effects.filter((effect) => effect.kind === 'commit');
  expect(commit?.transaction.conditions).to.deep.equal([{ key: 'request/k', version: 1 }]);
});

// One transaction for each request would exceed the store budget of an entry.
it('requests: intents of a few milliseconds share a transaction without those in conflict', () => {
  const events = ['k1', 'k2', 'k2'].map((idempotencyKey, index) =>
    arrived(`r${index}`, { idempotencyKey }),
  );
  const flushed = afterAll(START, [up('a', 'quoter', 8), ...events, FLUSH]);
  const writersIn = (run: Run) =>
    run.effects.flatMap((effect) =>
      effect.kind === 'commit'
        ? effect.transaction.writes.map((write) =>
            write.kind === 'put' ? (write.value as typeof ROW).requestId : '',
          )
        : [],
    );
  expect(writersIn(flushed)).to.deep.equal(['r0', 'r1']);
  const rows = [{ key: 'request/k1', version: 3, value: { ...ROW, fingerprint: 'different' } }];
  const result = { kind: 'conflict', rows } as const;
  const refused = after(flushed, { kind: 'commitDone', origin, callId: 'intents#1', result });
  expect(outcomes(refused)).to.deep.equal(['r0 keyReused']);
  expect(writersIn(after(refused, FLUSH))).to.deep.equal(['r1']);
});

it('requests: a result with mismatched ids is ignored', () => {
  const sent = afterAll(START, [up('a'), up('b'), arrived('r'), arrived('s')]);
  const byOther = ['a', 'b'].map((agentId) => after(sent, answered(agentId, 'r', 2)));
  byOther.forEach((run) => expect(outcomes(run)).to.deep.equal([]));
  const both = ['a', 'b'].flatMap((agentId) => outcomes(after(sent, answered(agentId, 'r'))));
  expect(both).to.deep.equal(['r answered']);
});

it('requests: the queue is in deadline order and does not block another service', () => {
  const busy = afterAll(START, [
    up('a'),
    up('c', 'certdesk'),
    arrived('r'),
    arrived('late', { timeoutMs: 9_000 }),
    arrived('soon', { timeoutMs: 3_000 }),
  ]);
  expect(sentTo(after(busy, arrived('x', { service: 'certdesk' })))).to.deep.equal(['request c']);
  const freed = after(busy, answered('a', 'r'));
  const sent = freed.effects.filter((effect) => effect.kind === 'send');
  expect(sent.map(({ message }) => 'requestId' in message && message.requestId)).to.deep.equal([
    'soon',
  ]);
});

it('requests: the queue is bounded and an expired request is refused as not run', () => {
  const events = Array.from({ length: 10 }, (_, index) => arrived(`r${index}`));
  const full = afterAll(START, [up('a'), ...events]);
  expect(outcomes(full)).to.deep.equal(['r9 notRun']);
  const timer = { kind: 'requestExpiry', requestId: 'r3' } as const;
  expect(outcomes(after(full, { kind: 'timer', timer }, 10_000))).to.deep.equal(['r3 notRun']);
});

it('requests: only idempotent requests are hedged, at another upstream', () => {
  const warm = Array.from({ length: 64 }, (_, index) => `w${index}`).reduce(
    (run, id) => {
      const sent = after(run, arrived(id));
      const [target = ''] = sentTo(sent).map((text) => text.split(' ')[1] ?? '');
      return after(sent, answered(target, id), 20);
    },
    afterAll(START, [up('a', 'quoter', 4), up('b', 'quoter', 4)]),
  );
  const plain = after(warm, arrived('r'));
  const keyed = after(warm, arrived('k', KEYED));
  const timersOf = (run: Run) =>
    run.effects.flatMap((effect) => (effect.kind === 'wake' ? effect.timer.kind : []));
  expect(timersOf(plain)).to.include('requestHedge');
  expect(timersOf(keyed)).to.not.include('requestHedge');
  const timer = { kind: 'requestHedge', requestId: 'r' } as const;
  const hedged = after(plain, { kind: 'timer', timer }, 30);
  expect([...sentTo(plain), ...sentTo(hedged)].sort()).to.deep.equal(['request a', 'request b']);
});
