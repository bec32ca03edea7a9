import { expect } from 'chai';
import fc from 'fast-check';
import type { AdmissionEvent, AdmissionState, ReceivedAttempt } from '@bronzeyoke/admission';
import {
  MAX_HISTORY_ATTEMPTS,
  HISTORY_RETENTION_MS,
  createAdmission,
  stepAdmission,
} from '@bronzeyoke/admission';
import { assertNever } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';

const answer = { status: 200, headers: {}, body: new Uint8Array(10) };

function attempt(attemptId: string, idempotencyKey?: string): ReceivedAttempt {
  const key = idempotencyKey === undefined ? {} : { idempotencyKey };
  const body = new Uint8Array(100);
  const head = { method: 'POST', path: '/', headers: {}, timeoutMs: 5_000 };
  return { requestId: `r-${attemptId}`, attemptId, ...key, ...head, body };
}

interface Fixture {
  readonly state: AdmissionState;
  readonly nowMs: number;
  readonly calls: readonly string[];
  readonly sent: readonly { readonly linkId: string; readonly message: AgentMessage }[];
}

function createFixture(slots = 2, connections = 4): Fixture {
  return { state: createAdmission(slots, connections), nowMs: 0, calls: [], sent: [] };
}

function dispatch(fixture: Fixture, event: AdmissionEvent): Fixture {
  const step = stepAdmission(fixture.state, event, { nowMs: fixture.nowMs, random: 0.5 });
  return step.effects.reduce<Fixture>(
    (current, effect) => {
      switch (effect.kind) {
        case 'callUpstream':
          return { ...current, calls: [...current.calls, effect.attempt.attemptId] };
        case 'send':
          return { ...current, sent: [...current.sent, effect] };
        case 'expireLater':
          return current;
        default:
          return assertNever(effect);
      }
    },
    { ...fixture, state: step.state },
  );
}

function request(fixture: Fixture, newAttempt: ReceivedAttempt, linkId = 'l1'): Fixture {
  return dispatch(fixture, { kind: 'request', linkId, attempt: newAttempt });
}

function collect(fixture: Fixture, attemptId: string, linkId = 'l2'): Fixture {
  return dispatch(fixture, { kind: 'collect', linkId, requestId: `r-${attemptId}`, attemptId });
}

function finish(fixture: Fixture, attemptId: string): Fixture {
  return dispatch(fixture, { kind: 'answered', attemptId, answer });
}

function kinds(fixture: Fixture): readonly string[] {
  return fixture.sent.map(({ linkId, message }) => `${linkId} ${message.kind}`);
}

it('admission: the same attempt over two links runs once and answers both', () => {
  const both = request(request(createFixture(), attempt('a')), attempt('a'), 'l2');
  const done = finish(both, 'a');
  expect(done.calls).to.deep.equal(['a']);
  expect(kinds(done)).to.deep.equal(['l2 progress', 'l1 answer', 'l2 answer']);
});

it('admission: a collect after the answer sends it to the collecting link only', () => {
  const done = collect(finish(request(createFixture(), attempt('a')), 'a'), 'a');
  expect(kinds(done)).to.deep.equal(['l1 answer', 'l2 answer']);
});

// P7: a repeat of a non-idempotent request must not run during or after the first one.
it('admission: another attempt of the same key joins the first one', () => {
  const both = request(request(createFixture(), attempt('a', 'k')), attempt('b', 'k'), 'l2');
  const done = finish(both, 'a');
  expect(done.calls).to.deep.equal(['a']);
  const last = done.sent.at(-1)?.message;
  expect(last).to.include({ kind: 'answer', attemptId: 'b', requestId: 'r-b' });
  const later = collect(request(done, attempt('c', 'k')), 'b', 'l3');
  expect(later.calls).to.deep.equal(['a']);
  expect(kinds(later).slice(-2)).to.deep.equal(['l1 answer', 'l3 answer']);
});

it('admission: a key whose attempt did not run can be used again', () => {
  const refused = dispatch(request(createFixture(), attempt('a', 'k')), {
    kind: 'notReached',
    attemptId: 'a',
  });
  expect(request(refused, attempt('b', 'k')).calls).to.deep.equal(['a', 'b']);
  expect(request(refused, attempt('a', 'k')).calls).to.deep.equal(['a']);
});

// A flood of other answers evicts this answer; "never seen" would make it run twice.
it('admission: a key that ran stays in the history after its answer was dropped', () => {
  const ran = finish(request(createFixture(), attempt('a', 'k')), 'a');
  const flooded = Array.from({ length: 600 }, (_, index) => `x${index}`).reduce(
    (fixture, attemptId) => finish(request(fixture, attempt(attemptId)), attemptId),
    ran,
  );
  expect(flooded.state.records.has('a')).to.equal(false);
  expect(kinds(collect(flooded, 'a')).at(-1)).to.equal('l2 outcomeUnknown');
  const repeated = request(flooded, attempt('b', 'k'));
  expect(repeated.calls.filter((attemptId) => attemptId === 'b')).to.deep.equal([]);
  expect(kinds(repeated).at(-1)).to.equal('l1 outcomeUnknown');
});

it('admission: an attempt that a collect found missing never runs, even after a flood', () => {
  const blocked = collect(createFixture(1, 1), 'a');
  expect(kinds(blocked)).to.deep.equal(['l2 unknownRequest']);
  const busy = request(blocked, attempt('busy'));
  const flooded = Array.from({ length: 2_000 }, (_, index) => `x${index}`).reduce(
    (fixture, attemptId) => request(fixture, attempt(attemptId)),
    busy,
  );
  const late = request(finish(flooded, 'busy'), attempt('a', 'k'));
  expect(late.calls).to.not.include('a');
  expect(kinds(late).at(-1)).to.equal('l1 notRun');
  expect(flooded.state.records.size).to.be.at.most(1_100);
});

// A history that had to remove attempts early cannot prove that an unknown one never ran.
it('admission: an overflowing history does not report that attempts never ran', () => {
  const full = Array.from({ length: MAX_HISTORY_ATTEMPTS + 2 }, (_, index) => `x${index}`).reduce(
    (fixture, attemptId) => collect({ ...fixture, sent: [] }, attemptId),
    createFixture(),
  );
  expect(full.state.history.attempts.size).to.equal(MAX_HISTORY_ATTEMPTS);
  expect(kinds(collect(full, 'new')).at(-1)).to.equal('l2 outcomeUnknown');
  const later = collect({ ...full, nowMs: HISTORY_RETENTION_MS + 1 }, 'new');
  expect(kinds(later).at(-1)).to.equal('l2 unknownRequest');
});

it('admission: a closed link is sent nothing, and another one collects the answer', () => {
  const disconnected = dispatch(request(createFixture(), attempt('a')), {
    kind: 'linkClosed',
    linkId: 'l1',
  });
  const done = collect(finish(disconnected, 'a'), 'a');
  expect(kinds(done)).to.deep.equal(['l2 answer']);
});

it('admission: an ended attempt keeps neither its body nor its waiters', () => {
  const done = finish(request(createFixture(), attempt('a')), 'a');
  expect(done.state.records.get('a')?.attempt.body).to.have.length(0);
  expect(done.state.records.get('a')?.waiters).to.deep.equal([]);
});

const ids = fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f');
const keys: Readonly<Record<string, string>> = { a: 'k', b: 'k', c: 'k', d: 'm', e: 'm' };
const event = fc.oneof(
  fc.record({
    kind: fc.constant('request' as const),
    id: ids,
    linkId: fc.constantFrom('l1', 'l2'),
  }),
  fc.record({
    kind: fc.constant('collect' as const),
    id: ids,
    linkId: fc.constantFrom('l1', 'l2'),
  }),
  fc.record({ kind: fc.constant('cancel' as const), id: ids }),
  fc.record({ kind: fc.constant('answered' as const), id: ids }),
  fc.record({ kind: fc.constant('lost' as const), id: ids }),
  fc.record({ kind: fc.constant('notReached' as const), id: ids }),
  fc.record({ kind: fc.constant('expire' as const), id: ids }),
  fc.record({ kind: fc.constant('linkClosed' as const), id: ids }),
);

type Given = typeof event extends fc.Arbitrary<infer Value> ? Value : never;

function toEvent(given: Given, running: ReadonlySet<string>): AdmissionEvent | undefined {
  const attemptId = given.id;
  const requestId = `r-${attemptId}`;
  switch (given.kind) {
    case 'request':
      return { kind: 'request', linkId: given.linkId, attempt: attempt(attemptId, keys[given.id]) };
    case 'collect':
      return { kind: 'collect', linkId: given.linkId, requestId, attemptId };
    case 'linkClosed':
      return { kind: 'linkClosed', linkId: 'l1' };
    case 'cancel':
    case 'expire':
      return { kind: given.kind, attemptId };
    case 'answered':
      return running.has(attemptId) ? { kind: 'answered', attemptId, answer } : undefined;
    case 'lost':
      return running.has(attemptId)
        ? { kind: 'lost', attemptId, reason: 'upstreamFailed' }
        : undefined;
    case 'notReached':
      return running.has(attemptId) ? { kind: 'notReached', attemptId } : undefined;
  }
}

// Guards P6 and P7: an attempt reported as "not run" never runs later, and a key runs at most once.
it('admission: no order of copies, collects and ends runs a key twice or a refused attempt', () => {
  fc.assert(
    fc.property(fc.array(event, { maxLength: 60 }), (events) => {
      const reached = new Set<string>();
      const refused = new Set<string>();
      events.reduce((fixture, given) => {
        const running = new Set(
          fixture.state.records.filter(({ phase }) => phase === 'running').keys(),
        );
        const next = toEvent(given, running);
        if (next === undefined) return fixture;
        const after = dispatch(fixture, next);
        after.calls.slice(fixture.calls.length).forEach((attemptId) => {
          expect(refused.has(attemptId), `${attemptId} ran after a refusal`).to.equal(false);
          reached.add(attemptId);
        });
        if (next.kind === 'notReached') reached.delete(next.attemptId);
        after.sent.slice(fixture.sent.length).forEach(({ message }) => {
          if (message.kind === 'notRun' || message.kind === 'unknownRequest') {
            refused.add(message.attemptId);
            expect(reached.has(message.attemptId), 'refused after it ran').to.equal(false);
          }
        });
        ['k', 'm'].forEach((key) => {
          const runs = [...reached].filter((attemptId) => keys[attemptId] === key);
          expect(runs.length, `runs of ${key}`).to.be.at.most(1);
        });
        expect(after.state.runningCount).to.be.at.most(2);
        return after;
      }, createFixture());
    }),
    { seed: 5, numRuns: 1_000 },
  );
});
