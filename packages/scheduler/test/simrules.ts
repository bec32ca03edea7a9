import { expect } from 'chai';
import type { Simulation } from './simtypes';
import { createSimulation } from './simulation';

/** Seed of simulations that play one planned fault. */
export const SEED = 20_261_204;

/** Fails with the broken rules and the end of the trace. */
export function expectRules(simulation: Simulation): void {
  const problems = simulation.violations().map((violation) => JSON.stringify(violation));
  const trace = simulation.trace().slice(-60).join('\n');
  expect(problems, `trace:\n${trace}\n`).to.deep.equal([]);
}

/** Creates a simulation with lasting tasks that run, in which replies precede the feed. */
export function createRunning(seed = SEED): Simulation {
  const simulation = createSimulation(seed);
  simulation.setOrder({ feedDelayMs: [5, 8], replyDelayMs: [1, 3] });
  simulation.submit('lasting', 6);
  simulation.advance(6_000);
  return simulation;
}
