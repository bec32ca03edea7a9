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

/** Runs a liveness check in virtual time; `replies` gives the time of the reply to each ping. */
function run(
  sentAtMs: number,
  untilMs: number,
  replies: (pingedAtMs: number) => number | undefined,
): { readonly closedAtMs: number | undefined; readonly pingedAtMs: readonly number[] } {
  let liveness: LinkLiveness = INITIAL_LIVENESS;
  let timers: { readonly atMs: number; readonly event: LivenessEvent }[] = [];
  let closedAtMs: number | undefined;
  const pingedAtMs: number[] = [];
  const perform = (effect: LivenessEffect, nowMs: number): void => {
    if (effect.kind === 'checkLater') {
      const { sequence, afterMs } = effect;
      const event = { kind: 'check', sequence, isBusy: true } as const;
      timers.push({ atMs: nowMs + afterMs, event });
    }
    if (effect.kind === 'ping') {
      pingedAtMs.push(nowMs);
      const replyMs = replies(nowMs);
      if (replyMs !== undefined) timers.push({ atMs: replyMs, event: { kind: 'replied' } });
    }
    if (effect.kind === 'close') closedAtMs = nowMs;
  };
  timers.push({ atMs: sentAtMs, event: { kind: 'sent' } });
  while (timers.length > 0) {
    timers.sort((one, other) => one.atMs - other.atMs);
    const [next] = timers;
    timers = timers.slice(1);
    if (next === undefined || next.atMs > untilMs) break;
    const step = stepLiveness(liveness, next.event, next.atMs);
    liveness = step.state;
    step.effects.forEach((effect) => perform(effect, next.atMs));
  }
  return { closedAtMs, pingedAtMs };
}

it('liveness: a silent connection is pinged after 250 ms and closed one second later', () => {
  const { closedAtMs, pingedAtMs } = run(5_000, 60_000, () => undefined);
  expect(pingedAtMs).to.deep.equal([5_000 + PROGRESS_TIMEOUT_MS]);
  expect(closedAtMs).to.equal(5_000 + PROGRESS_TIMEOUT_MS + PING_TIMEOUT_MS);
});

// A slow request is not a silent connection.
it('liveness: a connection that replies within the limit stays open', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: PING_TIMEOUT_MS - 1 }), (delayMs) => {
      const { closedAtMs } = run(0, 20_000, (atMs) => atMs + delayMs);
      expect(closedAtMs).to.equal(undefined);
    }),
    { seed: SEED, numRuns: 50 },
  );
});

it('liveness: silence that begins later is detected within the same time', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 5_000 }), (silentFromMs) => {
      const { closedAtMs } = run(0, 60_000, (atMs) => (atMs < silentFromMs ? atMs + 2 : undefined));
      const boundMs = silentFromMs + 2 + 2 * PROGRESS_TIMEOUT_MS + PING_TIMEOUT_MS;
      expect(closedAtMs).to.be.within(silentFromMs, boundMs);
    }),
    { seed: SEED, numRuns: 50 },
  );
});

// After a pause of the entry all replies are still unread; closing would drop every agent at once.
it('liveness: a late check pings again instead of closing', () => {
  const sent = stepLiveness(INITIAL_LIVENESS, { kind: 'sent' }, 0).state;
  const check = (liveness: LinkLiveness, nowMs: number) =>
    stepLiveness(liveness, { kind: 'check', sequence: liveness.sequence, isBusy: true }, nowMs);
  const pinged = check(sent, 250).state;
  const late = check(pinged, 9_000);
  expect(late.effects.map(({ kind }) => kind)).to.deep.equal(['ping', 'checkLater']);
  expect(check(late.state, 10_000).effects).to.deep.equal([{ kind: 'close' }]);
});

it('liveness: a connection without attempts is not checked until heartbeats are missing', () => {
  const sent = stepLiveness(INITIAL_LIVENESS, { kind: 'sent' }, 0).state;
  const idle = { kind: 'check', sequence: sent.sequence, isBusy: false } as const;
  const idled = stepLiveness(sent, idle, 250);
  expect(idled).to.deep.include({ effects: [] });
  const missed = stepLiveness(idled.state, { kind: 'beatsMissed' }, 90_000);
  expect(missed.effects.map(({ kind }) => kind)).to.deep.equal(['ping', 'checkLater']);
  const stale = { ...idle, isBusy: true };
  expect(stepLiveness(missed.state, stale, 90_250).effects).to.deep.equal([]);
});

// One heartbeat a second from 630 agents would exceed the control budget twenty times.
it('membership: the heartbeat interval keeps to the budget', () => {
  expect([1, 11, 630].map(beatIntervalMs)).to.deep.equal([1_000, 1_000, 30_000]);
});
