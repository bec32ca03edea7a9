import { expect } from 'chai';
import type { SchedulingPolicy } from '@bronzeyoke/scheduler';
import { DEFAULT_POLICY } from '@bronzeyoke/scheduler';
import { TIMES } from './fixture';
import { MEASURED_COSTS } from './simcpu';
import { expectRules, SEED } from './simrules';
import { LASTING_PER_WORKER } from './simworker';
import type { Simulation } from './simtypes';
import { createSimulation } from './simulation';

const POLICY = { ...DEFAULT_POLICY, detectsEndedHolder: true, restoresPlaces: true };
const WORKERS = 70;
const PROCESSORS = [0.324, 0.324, 0.675, 0.324, 0.324];
const BACK_MS = 1_300;

/** Time from the first report to the last order, and from the return of power to the last order. */
const ORDERED_IN_MS = 2_000;
const RESTORED_IN_MS = 4_000;

function createFleet(policy: SchedulingPolicy): Simulation {
  const options = { costs: MEASURED_COSTS, processors: PROCESSORS, policy };
  const simulation = createSimulation(SEED, WORKERS, TIMES, options);
  Array.from({ length: 14 }, () =>
    simulation.submit('lasting', (WORKERS * LASTING_PER_WORKER) / 14),
  );
  simulation.advance(8_000);
  return simulation;
}

/** Returns the time of the last step of that name of a new leader. */
function stepAtMs(simulation: Simulation, step: string): number {
  const lines = simulation
    .logged()
    .filter(({ event, fields }) => event === 'recoveryStep' && fields.step === step);
  return lines.at(-1)?.atMs ?? Infinity;
}

// Guards against a fleet whose lasting tasks wait for seconds after a loss of power, for a leader and then
// for a search each.
it('power loss: the lasting tasks of a large fleet are back soon on small entries', () => {
  const simulation = createFleet(POLICY);
  simulation.losePower(BACK_MS);
  simulation.advance(BACK_MS);
  const backAtMs = simulation.now();
  simulation.advance(10_000);
  expectRules(simulation);
  const restoredAtMs = stepAtMs(simulation, 'restored');
  expect(restoredAtMs - stepAtMs(simulation, 'reported')).to.be.lessThan(ORDERED_IN_MS);
  expect(restoredAtMs - backAtMs).to.be.within(0, RESTORED_IN_MS);
  expect(simulation.lastingAway()).to.deep.equal([]);
});

// Guards against tasks that start twice, or never, because the store fails between their release and claim.
it('power loss: a store that fails halfway delays the tasks and breaks no rule', () => {
  const simulation = createFleet(POLICY);
  simulation.losePower(BACK_MS);
  simulation.advance(BACK_MS + 1_000);
  simulation.setStore({ isSilent: true });
  simulation.advance(2_500);
  simulation.calmStore();
  simulation.advance(15_000);
  expectRules(simulation);
  expect(simulation.lastingAway()).to.deep.equal([]);
});
