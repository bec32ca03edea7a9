import { expect } from 'chai';
import fc from 'fast-check';
import type { LinkLiveness, LivenessEffect, LivenessEvent } from '@bronzeyoke/membership';
import {
  INITIAL_LIVENESS,
  PROGRESS_TIMEOUT_MS,
  PING_TIMEOUT_MS,
  beatIntervalMs,
  stepLiveness,
} from '@bronzeyoke/membership';

const SEED = 20_240_613;

/** Runs a watch under virtual time until a time, while the agent replies as `replies` says. */
function run(
  sentAtMs: number,
  untilMs: number,
  replies: (pingedAtMs: number) => number | undefined,
): { readonly closedAtMs: number | undefined; readonly pingedAtMs: readonly number[] } {
  let watch: LinkLiveness = INITIAL_LIVENESS;
  let agenda: { readonly atMs: number; readonly event: LivenessEvent }[] = [];
  let closedAtMs: number | undefined;
  const pingedAtMs: number[] = [];
  const perform = (effect: LivenessEffect, nowMs: number): void => {
    if (effect.kind === 'checkLater') {
      const { sequence, afterMs } = effect;
      const event = { kind: 'check', sequence, isBusy: true } as const;
      agenda.push({ atMs: nowMs + afterMs, event });
    }
    if (effect.kind === 'ping') {
      pingedAtMs.push(nowMs);
      const replyMs = replies(nowMs);
      if (replyMs !== undefined) agenda.push({ atMs: replyMs, event: { kind: 'replied' } });
    }
    if (effect.kind === 'close') closedAtMs = nowMs;
  };
  agenda.push({ atMs: sentAtMs, event: { kind: 'sent' } });
  while (agenda.length > 0) {
    agenda.sort((one, other) => one.atMs - other.atMs);
    const [next] = agenda;
    agenda = agenda.slice(1);
    if (next === undefined || next.atMs > untilMs) break;
    const step = stepLiveness(watch, next.event, next.atMs);
    watch = step.state;
    step.effects.forEach((effect) => perform(effect, next.atMs));
  }
  return { closedAtMs, pingedAtMs };
}

it('watch: a silent connection is pinged after 250 ms and closed one second later', () => {
  const { closedAtMs, pingedAtMs } = run(5_000, 60_000, () => undefined);
  expect(pingedAtMs).to.deep.equal([5_000 + PROGRESS_TIMEOUT_MS]);
  expect(closedAtMs).to.equal(5_000 + PROGRESS_TIMEOUT_MS + PING_TIMEOUT_MS);
});

// A slow request is not a silent connection.
it('watch: a connection that replies within the limit stays open', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: PING_TIMEOUT_MS - 1 }), (delayMs) => {
      const { closedAtMs } = run(0, 20_000, (atMs) => atMs + delayMs);
      expect(closedAtMs).to.equal(undefined);
    }),
    { seed: SEED, numRuns: 50 },
  );
});

it('watch: silence that begins later is found within the same time', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 5_000 }), (silentFromMs) => {
      const { closedAtMs } = run(0, 60_000, (atMs) => (atMs < silentFromMs ? atMs + 2 : undefined));
      const boundMs = silentFromMs + 2 + 2 * PROGRESS_TIMEOUT_MS + PING_TIMEOUT_MS;
      expect(closedAtMs).to.be.within(silentFromMs, boundMs);
    }),
    { seed: SEED, numRuns: 50 },
  );
});

// After a pause of the entry all replies wait unread; closing then would drop every agent at once.
it('watch: a check that comes late pings again instead of closing', () => {
  const sent = stepLiveness(INITIAL_LIVENESS, { kind: 'sent' }, 0).state;
  const check = (watch: LinkLiveness, nowMs: number) =>
    stepLiveness(watch, { kind: 'check', sequence: watch.sequence, isBusy: true }, nowMs);
  const pinged = check(sent, 250).state;
  const late = check(pinged, 9_000);
  expect(late.effects.map(({ kind }) => kind)).to.deep.equal(['ping', 'checkLater']);
  expect(check(late.state, 10_000).effects).to.deep.equal([{ kind: 'close' }]);
});

it('watch: a connection without attempts rests, and missing beats wake it', () => {
  const sent = stepLiveness(INITIAL_LIVENESS, { kind: 'sent' }, 0).state;
  const idle = { kind: 'check', sequence: sent.sequence, isBusy: false } as const;
  const rested = stepLiveness(sent, idle, 250);
  expect(rested).to.deep.include({ effects: [] });
  const missed = stepLiveness(rested.state, { kind: 'beatsMissed' }, 90_000);
  expect(missed.effects.map(({ kind }) => kind)).to.deep.equal(['ping', 'checkLater']);
  const stale = { ...idle, isBusy: true };
  expect(stepLiveness(missed.state, stale, 90_250).effects).to.deep.equal([]);
});

// One beat a second from 630 agents would cost twenty times the control budget.
it('membership: the beat interval keeps to the budget', () => {
  expect([1, 11, 630].map(beatIntervalMs)).to.deep.equal([1_000, 1_000, 30_000]);
});
