import { expect } from 'chai';
import { FAULT_FREE_COMMANDS, runFuzz } from '@bronzeyoke/harness';

// Guards against an invariant of the design page that does not hold under faults.
it('fuzz: no invariant is violated under faults', () => {
  const report = runFuzz({ seed: 1, runs: 12 });
  expect(report.failure).to.equal(undefined);
  expect(report.steps).to.be.greaterThan(10_000);
});

// Guards against a planned stop that loses a request. Faults would mask it, so none occur here.
it('fuzz: planned stops alone abort no request', () => {
  const report = runFuzz({ seed: 2, runs: 8, commands: FAULT_FREE_COMMANDS });
  expect(report.failure).to.equal(undefined);
});

// Guards against a run that cannot be replayed from its seed.
it('fuzz: the same seed gives the same run', () => {
  expect(runFuzz({ seed: 3, runs: 2 })).to.deep.equal(runFuzz({ seed: 3, runs: 2 }));
});
