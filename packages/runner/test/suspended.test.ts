import { expect } from 'chai';
import { answerHold, callIdOf, createLeased, dispatch, order } from './fixture';

/** Time of a suspension after which the leader counts neither the lease nor a late order any more. */
const SUSPENDED_MS = 15_000;

// Guards against a start call that an agent makes long after the order, because it was suspended: the worker
// may be a later instance, which takes the lease by the clock of the earlier one, and the run was released.
it('suspended: an order that was read after a suspension is refused', () => {
  const listed = answerHold(dispatch(createLeased(), { kind: 'tick' }, 300));
  const resumed = { ...listed, nowMs: listed.nowMs + SUSPENDED_MS };
  expect(callIdOf(order(resumed), 'start')).to.equal('none');
});
