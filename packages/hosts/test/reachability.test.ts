import { expect } from 'chai';
import type { Reachability } from '@bronzeyoke/hosts';
import { REACHABLE, updateReachability } from '@bronzeyoke/hosts';
import type { LogEffect } from '@bronzeyoke/telemetry';

const STEP_MS = 40;

interface Belief {
  readonly state: Reachability;
  readonly logs: readonly LogEffect[];
  readonly nowMs: number;
}

/** Applies results of calls, one every 40 ms. */
function observe(before: Belief, results: readonly boolean[]): Belief {
  return results.reduce<Belief>((belief, isAnswered) => {
    const nowMs = belief.nowMs + STEP_MS;
    const next = updateReachability(belief.state, 'store', isAnswered, nowMs);
    return { state: next.state, logs: [...belief.logs, ...next.logs], nowMs };
  }, before);
}

const START: Belief = { state: REACHABLE, logs: [], nowMs: 0 };

function failures(count: number): readonly boolean[] {
  return Array.from({ length: count }, () => false);
}

// Guards against two log lines for each call that a rate limit turns away.
it('keeps a dependency that refuses a share of the calls', () => {
  const results = Array.from({ length: 200 }, (_, index) => index % 3 === 0);
  expect(observe(START, results).logs).to.deep.equal([]);
});

// Guards against an outage that is logged with each failed call, or not at all.
it('logs one line when a dependency is lost and one when it is back', () => {
  const lost = observe(START, failures(40));
  expect(lost.logs).to.deep.equal([
    { kind: 'log', event: 'dependencyLost', fields: { what: 'store', outageMs: 520 } },
  ]);
  const back = observe(lost, [true, true]);
  expect(back.logs.slice(1)).to.deep.equal([
    { kind: 'log', event: 'dependencyRegained', fields: { what: 'store', outageMs: 1_600 } },
  ]);
});

// Guards against a dependency that counts as lost after one failure, because it was idle before.
it('counts an outage from its first failed call', () => {
  const idle = { ...START, nowMs: 10_000 };
  expect(observe(idle, failures(1)).logs).to.deep.equal([]);
  expect(observe(idle, [...failures(10), true, ...failures(10)]).logs).to.deep.equal([]);
});
