import { expect } from 'chai';
import { FLEET_TIMES, outcomes, runFleet } from '@bronzeyoke/fleet';

const CALM_SEEDS = [1, 2];
const FAULTY_SEEDS = Array.from({ length: 16 }, (_, index) => 100 + index);
const FAULTS = 7;

// Guards against a fleet that cannot even serve a day without faults.
it('completes every job on a calm day', () => {
  CALM_SEEDS.forEach((seed) => {
    const { fleet, unfinished } = runFleet(seed, 0);
    expect(fleet.breaches, `seed ${seed}`).to.deep.equal([]);
    expect(unfinished, `seed ${seed}`).to.deep.equal([]);
    expect(outcomes(fleet)).to.include('complete').and.to.include('cancelled');
  });
});

// Guards against two runs of a task at a time, runs after a recorded success, and lost jobs, while
// processes, workers, links and the store fail.
FAULTY_SEEDS.forEach((seed) => {
  it(`keeps every job and runs no task twice, seed ${seed}`, () => {
    const { fleet, unfinished } = runFleet(seed, FAULTS);
    expect(fleet.breaches).to.deep.equal([]);
    expect(unfinished).to.deep.equal([]);
    expect(fleet.starts).to.be.greaterThan(50);
  });
});

// Guards against an oracle that sees nothing: a leader that gives tasks away before their lease is
// over has to be caught.
it('catches a leader that does not wait for leases to expire', () => {
  const hasty = { ...FLEET_TIMES, marginMs: -4_500 };
  const rules = FAULTY_SEEDS.flatMap((seed) =>
    runFleet(seed, FAULTS, hasty).fleet.breaches.map(({ rule }) => rule),
  );
  expect(rules).to.include('twice');
});
