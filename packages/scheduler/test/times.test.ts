import { expect } from 'chai';
import type { SchedulerTimes } from '@bronzeyoke/scheduler';
import { deriveTimes } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import { advance, commit, commitAll, createLeader, dispatch, report, TIMES } from './fixture';

const SHORT_TIMES = deriveTimes({ maxLeaseMs: 4_000, holderLeaseMs: 3_000, statusMs: 120_000 });
const LEASE_END_MS = TIMES.agentLeaseMs + TIMES.marginMs;
const AFTER_RENEWAL_MS = 500;

/** Returns a leader with the given times whose only worker w1 holds a lease. */
function granting(times: SchedulerTimes): Fixture {
  const changed = dispatch(createLeader(), { kind: 'timesChanged', times });
  const later = advance(commitAll(changed), TIMES.grantWindowMs + LEASE_END_MS);
  return report(commitAll(later), 'w1');
}

/** Returns the longest lease of the last grant on the worker's clock. */
function lastGrantMs(fixture: Fixture): number {
  const ends = fixture.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'grant'
      ? [effect.message.leaseUntilClockMs]
      : [],
  );
  return (ends.at(-1) ?? 0) - fixture.nowMs;
}

/** Returns when all leases have ended, according to the row that is being written. */
function statedEndAtMs({ state, nowMs }: Fixture): number {
  return nowMs + (state.inFlight?.lease.grants?.lastEndMs ?? 0);
}

// Guards against a second run of a task: the next leader waits only as long as the stored row states.
it('grants longer leases only once a row that states them is stored', () => {
  const leader = advance(granting(SHORT_TIMES), 10);
  const changed = dispatch(leader, { kind: 'timesChanged', times: TIMES });
  expect(lastGrantMs(report(changed, 'w1'))).to.be.at.most(SHORT_TIMES.agentLeaseMs);
  const writing = advance(changed, AFTER_RENEWAL_MS);
  expect(lastGrantMs(report(writing, 'w1'))).to.be.at.most(SHORT_TIMES.agentLeaseMs);
  const stored = advance(commit(writing), 10);
  expect(lastGrantMs(report(stored, 'w1'))).to.be.above(SHORT_TIMES.agentLeaseMs);
});

// Guards against a grant window that a row with a shorter one does not state.
it('grants within the window that the row stated when it was sent', () => {
  const writing = advance(granting(SHORT_TIMES), AFTER_RENEWAL_MS);
  const sentAtMs = writing.nowMs;
  const stored = commit(dispatch(writing, { kind: 'timesChanged', times: TIMES }));
  expect(stored.state.mayGrantUntilMs - sentAtMs).to.equal(SHORT_TIMES.grantWindowMs);
});

// Guards against a second run of a task: a row with shorter leases would hide the longer ones before it.
it('states the leases that were granted before their length was reduced', () => {
  const leader = granting(TIMES);
  const heldUntilMs = leader.nowMs + LEASE_END_MS;
  const changed = dispatch(leader, { kind: 'timesChanged', times: SHORT_TIMES });
  const writing = advance(changed, AFTER_RENEWAL_MS);
  expect(statedEndAtMs(writing)).to.be.at.least(heldUntilMs);
  const next = advance(commitAll(writing), AFTER_RENEWAL_MS);
  expect(statedEndAtMs(next)).to.be.at.least(heldUntilMs);
  const stopped = dispatch(commitAll(next), { kind: 'stop' });
  expect(statedEndAtMs(stopped)).to.be.at.least(heldUntilMs);
});
