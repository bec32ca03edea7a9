import { expect } from 'chai';
import type { ListedEnd } from '@bronzeyoke/ports';
import type { Fixture } from './fixture';
import { answerHold, createLeased, dispatch, reportsOf, TASK } from './fixture';

const END: ListedEnd = { sequence: 3, task: TASK, attempt: 1, end: 'done', checkpoint: '' };

/** End of the lease that the worker may hold at its first reply, on its clock. */
const LEASE_END_MS = 10_060;

/** Lets the worker list an end at a time of its clock. */
function listAt(clockMs: number): Fixture {
  const asked = dispatch(createLeased(), { kind: 'tick' }, 300);
  return answerHold(asked, { clockMs, ended: [END] });
}

// Guards against a leader that takes a success for void while the lease under which it came lasts.
it('lapses: an end that is listed while a lease may last is not said to be before its end', () => {
  const [report] = reportsOf(listAt(LEASE_END_MS - 100));
  expect(report?.ended).to.deep.equal([END]);
  expect(report?.lapsedSequence).to.equal(undefined);
});

// Guards against a worker that gets no lease for good, because no report tells that the last one has ended.
it('lapses: an end that is listed after the lease is said to be before its end', () => {
  const [report] = reportsOf(listAt(LEASE_END_MS + 100));
  expect(report?.lapsedSequence).to.equal(3);
});
