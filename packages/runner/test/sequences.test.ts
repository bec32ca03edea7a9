import { expect } from 'chai';
import type { WorkerReport } from '@bronzeyoke/ports';
import { createLeased, dispatch, REPORT } from './fixture';

// Guards against a live worker that counts as draining for good after one heartbeat of another writer with a
// high number: it gets no tasks, and a lease that one call without an answer outlasts.
it('sequences: a high number of another writer does not hide the heartbeats of the worker', () => {
  const odd: WorkerReport = { ...REPORT, isDraining: true, sequence: 1_000_000 };
  const drained = dispatch(createLeased(), { kind: 'heartbeat', report: odd });
  const numbers = Array.from({ length: 20 }, (_, index) => index + 2);
  const later = numbers.reduce(
    (agent, sequence) =>
      dispatch(agent, { kind: 'heartbeat', report: { ...REPORT, sequence } }, 1_000),
    drained,
  );
  expect(later.state.worker?.report.isDraining).to.equal(false);
});
