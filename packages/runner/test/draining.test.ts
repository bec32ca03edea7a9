import { expect } from 'chai';
import type { Fixture } from './fixture';
import { answerHold, callIdOf, createLeased, dispatch, endHold, REPORT } from './fixture';

/** Time after which a hold without an answer counts as lost. */
const HOLD_TIMEOUT_MS = 1_000;

/** Returns the lease that the hold of the last step passes on, by the worker's clock. */
function passedLease({ effects }: Fixture): number {
  const leases = effects.flatMap((effect) =>
    effect.kind === 'call' && effect.call.kind === 'hold'
      ? (effect.call.leaseUntilClockMs ?? [])
      : [],
  );
  return leases[0] ?? 0;
}

// Guards against the end of all runs of a draining worker because one hold got no answer.
it('draining: the lease outlasts a hold without an answer', () => {
  const report = { ...REPORT, isDraining: true, sequence: 2 };
  const answered = answerHold(dispatch(createLeased(), { kind: 'heartbeat', report }));
  const held = dispatch(answered, { kind: 'tick' }, 50);
  const lost = endHold(held, { kind: 'lost' }, HOLD_TIMEOUT_MS);
  const next = dispatch(lost, { kind: 'tick' }, 130);
  expect(callIdOf(next, 'hold')).not.to.equal('none');
  expect(passedLease(held)).to.be.greaterThan(next.nowMs);
});
