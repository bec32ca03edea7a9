import { expect } from 'chai';
import type { Violation } from './siminvariants';
import type { Span } from './simclock';
import { createRunning, expectRules } from './simrules';
import type { Simulation } from './simtypes';
import { PROMPT_ORDERS } from './simtypes';
import { createSimulation } from './simulation';

const MACHINES = [0, 1, 2, 3, 4];
const RANDOM_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

function setOrderDelays(simulation: Simulation, spanMs: Span): void {
  MACHINES.forEach((machine) => simulation.setOrderDelay(machine, spanMs));
}

/** Returns a simulation in which start orders to a machine are on their way, and the machine. */
function createOrdered(
  delayMs: number,
  seed?: number,
): { readonly simulation: Simulation; readonly machine: number } {
  const simulation = createRunning(seed);
  setOrderDelays(simulation, [delayMs, delayMs]);
  simulation.submit('lasting', 2);
  const findOrdered = (): number => MACHINES.findIndex(simulation.hasOpenStart);
  expect(simulation.advanceUntil(() => findOrdered() >= 0, 2_000)).to.equal(true);
  return { simulation, machine: findOrdered() };
}

// Guards against an order that a restarted worker carries out after the task was placed elsewhere.
it('restart: an order to the earlier instance does not start a second run', () => {
  [5, 100, 300, 900].forEach((delayMs) => {
    const { simulation, machine } = createOrdered(delayMs);
    simulation.restartWorker(machine);
    simulation.advance(1_000);
    setOrderDelays(simulation, PROMPT_ORDERS);
    simulation.advance(20_000);
    expectRules(simulation);
  });
});

// Guards against an order that arrives between the crash of a worker and the first heartbeat of the
// next instance.
it('restart: an order that the next instance carries out before it is known runs once', () => {
  const { simulation, machine } = createOrdered(40);
  simulation.advance(39);
  simulation.restartWorker(machine);
  simulation.advance(1_000);
  setOrderDelays(simulation, PROMPT_ORDERS);
  simulation.advance(20_000);
  expectRules(simulation);
});

// Guards against an order of a killed agent that a restarted worker carries out, which its next agent
// does not know, and which is stopped more slowly than the task starts elsewhere.
it('restart: an order of a killed agent to the earlier instance runs once', () => {
  const delayMs = 3;
  RANDOM_SEEDS.forEach((seed) => {
    const { simulation, machine } = createOrdered(delayMs, seed);
    setOrderDelays(simulation, PROMPT_ORDERS);
    simulation.setOrderDelay(machine, [300, 300]);
    simulation.restartAgent(machine);
    simulation.restartWorker(machine);
    simulation.advance(delayMs);
    simulation.drainWorker(machine);
    simulation.advance(1_000);
    setOrderDelays(simulation, PROMPT_ORDERS);
    simulation.advance(20_000);
    expectRules(simulation);
  });
});

const RANDOM_STEPS = 30;

/** A crashed worker is back only after some seconds. */
const RESTART_GAP_MS = 2_500;

/**
 * Restarts workers, agents and leaders at random while orders take up to `maxDelayMs`. Two restarts of
 * one worker are `gapMs` apart.
 */
function restartRandomly(seed: number, maxDelayMs: number, gapMs = 0): readonly Violation[] {
  const simulation = createSimulation(seed);
  const restartedAtMs = new Map<number, number>();
  const restartWorker = (machine: number): void => {
    const nowMs = simulation.now();
    if (nowMs - (restartedAtMs.get(machine) ?? -Infinity) < gapMs) return;
    restartedAtMs.set(machine, nowMs);
    simulation.restartWorker(machine);
  };
  const below = (limit: number): number => Math.floor(simulation.random() * limit);
  simulation.submit('lasting', 4);
  simulation.advance(3_000);
  setOrderDelays(simulation, [1, maxDelayMs]);
  Array.from({ length: RANDOM_STEPS }).forEach(() => {
    simulation.submit('short', 1 + below(6));
    simulation.advance(below(300));
    restartWorker(below(MACHINES.length));
    if (below(4) === 0) simulation.restartAgent(below(MACHINES.length));
    if (below(8) === 0) simulation.killEntry(Math.max(0, simulation.leader()), below(2_000));
    simulation.advance(below(900));
  });
  setOrderDelays(simulation, PROMPT_ORDERS);
  simulation.advance(20_000);
  return simulation.violations();
}

// Guards against two runs of a task under restarts in any order.
it('restart: random restarts run no task twice and keep no lasting task away', () => {
  const problems = RANDOM_SEEDS.flatMap((seed) =>
    restartRandomly(seed, 400).map((violation) => `seed ${seed}: ${JSON.stringify(violation)}`),
  );
  expect(problems).to.deep.equal([]);
});

// Guards against two runs of a task when each worker stays up for seconds, as workers do.
it('restart: random restarts of each worker seconds apart run no task twice', () => {
  const problems = RANDOM_SEEDS.flatMap((seed) =>
    restartRandomly(seed, 400, RESTART_GAP_MS).map(
      (violation) => `seed ${seed}: ${JSON.stringify(violation)}`,
    ),
  );
  expect(problems).to.deep.equal([]);
});

// Guards against an order that a restarted worker carries out for an agent that was restarted with it.
it('restart: an order of a killed agent to a worker that restarts later runs once', () => {
  RANDOM_SEEDS.forEach((seed) => {
    const { simulation, machine } = createOrdered(300, seed);
    simulation.restartAgent(machine);
    simulation.advance(200);
    simulation.restartWorker(machine);
    simulation.advance(1_000);
    setOrderDelays(simulation, PROMPT_ORDERS);
    simulation.advance(20_000);
    expectRules(simulation);
  });
});
