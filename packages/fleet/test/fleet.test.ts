import { expect } from 'chai';
import { FLEET_TIMES, jobOutcomes, observeAbsences, runFleet } from '@bronzeyoke/fleet';

const FAULT_FREE_SEEDS = [1, 2];
const FAULT_SEEDS = Array.from({ length: 16 }, (_, index) => 100 + index);
const FAULTS = 7;

/** Returns the lasting tasks that run at the end of a run without faults. */
function lastingRuns(seed: number): readonly string[] {
  const { fleet } = runFleet(seed, 0);
  return fleet.workers
    .valueSeq()
    .flatMap(({ state }) => [...state.runs.keys()])
    .toArray();
}

// Guards against jobs that do not end although there are no faults.
it('completes every job without faults', () => {
  FAULT_FREE_SEEDS.forEach((seed) => {
    const { fleet, unfinished, away } = runFleet(seed, 0);
    expect(fleet.violations, `seed ${seed}`).to.deep.equal([]);
    expect(unfinished, `seed ${seed}`).to.deep.equal([]);
    expect(away, `seed ${seed}`).to.deep.equal([]);
    expect(jobOutcomes(fleet)).to.include('complete').and.to.include('cancelled');
  });
});

// Guards against two runs of a task at a time, runs after a recorded success, and lost jobs, while
// processes, workers, links and the store fail.
FAULT_SEEDS.forEach((seed) => {
  it(`keeps every job and runs no task twice, seed ${seed}`, () => {
    const { fleet, unfinished, away } = runFleet(seed, FAULTS);
    expect(fleet.violations).to.deep.equal([]);
    expect(unfinished).to.deep.equal([]);
    expect(away).to.deep.equal([]);
    expect(fleet.starts).to.be.greaterThan(50);
  });
});

// Guards against checks that detect nothing: a leader that reassigns tasks before their leases expire
// has to cause a violation.
it('detects a leader that does not wait for leases to expire', () => {
  const shortMargin = { ...FLEET_TIMES, marginMs: -4_500 };
  const kinds = FAULT_SEEDS.flatMap((seed) =>
    runFleet(seed, FAULTS, shortMargin).fleet.violations.map(({ kind }) => kind),
  );
  expect(kinds).to.include('concurrentRun');
});

// Guards against an oracle that does not see a task which runs nowhere beside workers with room.
it('detects a lasting task that runs on no worker', () => {
  const seed = FAULT_SEEDS.find((other) => lastingRuns(other).length > 0) ?? 0;
  const { fleet } = runFleet(seed, 0);
  const idle = fleet.workers.map((worker) => {
    const { state } = worker;
    return { ...worker, state: { ...state, runs: state.runs.clear(), ends: state.ends.clear() } };
  });
  const [task = ''] = lastingRuns(seed);
  const later = observeAbsences({ ...fleet, workers: idle, nowMs: fleet.nowMs + 13_000 });
  expect(later.violations.map((violation) => violation.task)).to.include(task);
});
