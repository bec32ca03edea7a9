import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  answerHold,
  callIdOf,
  crash,
  createLeased,
  dispatch,
  goneCausesOf,
  KEY,
  loseHold,
  order,
  refuseHold,
  repeatHolds,
  REPORT,
} from './fixture';

/** Length of the lease that the leader grants. */
const GRANT_MS = 4_900;

/** Returns an agent that the leader has just granted a lease. */
function createGranted(): Fixture {
  const { state, nowMs, effects } = createLeased();
  const leaseUntilClockMs = nowMs + GRANT_MS;
  return dispatch(
    { state, nowMs, effects },
    { kind: 'received', message: { kind: 'grant', workerKey: KEY, leaseUntilClockMs } },
    0,
  );
}

/** Returns the ends of the leases that the calls of the last step pass on. */
function leaseEndsOf({ effects }: Fixture): readonly number[] {
  return effects.flatMap((effect) =>
    effect.kind === 'call' && 'leaseUntilClockMs' in effect.call
      ? [effect.call.leaseUntilClockMs ?? 0]
      : [],
  );
}

// Guards against a long wait for the lease of a worker that does not answer any more.
it('heldlease: holds and starts pass at most 3 s of the granted lease on', () => {
  const answered = answerHold(createGranted(), { clockMs: 100 });
  expect(leaseEndsOf(dispatch(answered, { kind: 'tick' }, 60))).to.deep.equal([3_100]);
  const started = order(answered);
  expect(callIdOf(started, 'start')).not.to.equal('none');
  expect(leaseEndsOf(started)).to.deep.equal([3_100]);
  const draining = { ...REPORT, isDraining: true, sequence: 2 };
  const heard = dispatch(answered, { kind: 'heartbeat', report: draining });
  expect(leaseEndsOf(dispatch(heard, { kind: 'tick' }, 60))).to.deep.equal([1_600]);
});

// Guards against a lease that is longer than the leader counts with.
it('heldlease: a lease never exceeds the granted one', () => {
  const late = answerHold(createGranted(), { clockMs: 4_000 });
  expect(leaseEndsOf(dispatch(late, { kind: 'tick' }, 60))).to.deep.equal([5_000]);
});

// Guards against a worker that counts as gone because its agent was suspended for longer than the lease.
it('heldlease: one more call has to fail once the lease has ended', () => {
  const resumed = dispatch(createGranted(), { kind: 'tick' }, 60_000);
  expect(resumed.state.worker?.workerKey).to.equal(KEY);
  const asked = dispatch(resumed, { kind: 'tick' }, 120);
  expect(asked.state.worker?.workerKey).to.equal(KEY);
  expect(answerHold(asked).state.worker?.workerKey).to.equal(KEY);
  const failed = dispatch(loseHold(asked), { kind: 'tick' }, 100);
  expect(failed.state.worker).to.equal(undefined);
});

// Guards against tasks that are accused of a crash because their worker was cut off from its agent.
it('heldlease: only a worker that listens nowhere and sends nothing has crashed', () => {
  const crashed = crash(createLeased());
  expect(goneCausesOf(crashed)).to.deep.equal(['crashed']);
  const failing = repeatHolds(refuseHold(createLeased()), 500, refuseHold).at(-1) ?? createLeased();
  const heard = dispatch(failing, { kind: 'heartbeat', report: { ...REPORT, sequence: 2 } });
  expect(goneCausesOf(crash(heard))).to.deep.equal(['unreachable']);
  const silent = repeatHolds(failing, 300, loseHold).at(-1);
  expect(goneCausesOf(crash(silent ?? failing))).to.deep.equal(['unreachable']);
});
