import { expect } from 'chai';
import { expectRules } from './simrules';
import type { Simulation } from './simtypes';
import { createSimulation } from './simulation';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const MACHINES = 5;
const STEPS = 25;

/** Tasks that fill the workers of a simulation. */
const ALL_ROOM = 4 * MACHINES;

/** Time in which short jobs are done once nothing fails: a takeover, a lease and their runs. */
const CALM_MS = 20_000;

function below(simulation: Simulation, limit: number): number {
  return Math.floor(simulation.random() * limit);
}

function killLeader(simulation: Simulation): void {
  simulation.killEntry(Math.max(0, simulation.leader()), below(simulation, 2_000));
}

/** Fills the workers, and cancels everything between the end of a leader and the next one's load. */
function cancelInTakeover(simulation: Simulation): void {
  const jobs = [0, 1, 2, 3].map(() => simulation.submit('short', ALL_ROOM / 4));
  simulation.advance(300);
  killLeader(simulation);
  simulation.advance(below(simulation, 3_000));
  jobs.forEach(simulation.cancel);
}

/** Lets some events happen at random, and returns the jobs that have to be complete in the end. */
function mixEvents(simulation: Simulation): readonly string[] {
  const lasting = simulation.submit('lasting', 4);
  simulation.advance(3_000);
  const jobs = Array.from({ length: STEPS }, () => {
    const machine = below(simulation, MACHINES);
    const draw = below(simulation, 6);
    if (draw === 0) cancelInTakeover(simulation);
    if (draw === 1) simulation.hearOddHeartbeats(machine);
    if (draw === 2) simulation.endLastingRuns(machine);
    if (draw === 3) {
      simulation.hearOddHeartbeats(machine);
      simulation.restartAgent(machine);
    }
    if (draw === 4) {
      simulation.endLastingRuns(machine);
      killLeader(simulation);
    }
    const job = simulation.submit('short', 1 + below(simulation, 4));
    simulation.advance(below(simulation, 900));
    return job;
  });
  simulation.advance(CALM_MS);
  simulation.cancel(lasting);
  return jobs;
}

// Guards against a task that runs twice, a lasting task that stays away, and capacity that is lost,
// after heartbeats of another writer, cancellations in takeovers and lasting tasks that end as done.
SEEDS.forEach((seed) => {
  it(`eventmix: no rule is broken and all room is used in the end, seed ${seed}`, () => {
    const simulation = createSimulation(seed, MACHINES);
    const jobs = mixEvents(simulation);
    expectRules(simulation);
    const open = jobs.filter((job) => !simulation.isComplete(job));
    expect(open, simulation.trace().slice(-60).join('\n')).to.deep.equal([]);
    simulation.advance(3_000);
    const last = simulation.submit('short', ALL_ROOM);
    simulation.advance(3_000);
    expect(simulation.isComplete(last), simulation.trace().slice(-60).join('\n')).to.equal(true);
  });
});
