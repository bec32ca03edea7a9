import { expect } from 'chai';
import type { HopCalls } from './simhop';
import type { Violation } from './siminvariants';
import { createSimulation } from './simulation';
import type { Simulation } from './simtypes';

const MACHINES = 5;
const WARM_UP_MS = 5_000;
const ROUNDS = 3;

/** Time between two faults, and after the last one. */
const GAP_MS = 6_000;
const CALM_MS = 6_000;

/** Random numbers of a play. */
export interface Draw {
  /** Returns a whole number from `low` to `high`. */
  readonly between: (low: number, high: number) => number;
  readonly oneOf: <const Item>(items: readonly [Item, ...Item[]]) => Item;
}

/** Calls that time out, one way or the other. */
export const LOSSES = ['lost', 'unanswered'] as const satisfies readonly HopCalls[];

/** Ways in which calls to a worker that is up fail. */
export const FAILURES = [...LOSSES, 'refused'] as const satisfies readonly HopCalls[];

/** Causes a fault at a machine that runs tasks. */
export type WorkerFault = (simulation: Simulation, machine: number, draw: Draw) => void;

function createDraw({ random }: Simulation): Draw {
  const between = (low: number, high: number): number =>
    low + Math.floor(random() * (high - low + 1));
  return {
    between,
    oneOf: (items) => items[between(0, items.length - 1)] ?? items[0],
  };
}

function indexes(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index);
}

/** Submits long and short tasks, and causes the fault while some of the short ones start. */
function playRound(simulation: Simulation, draw: Draw, fault: WorkerFault): void {
  simulation.submit('long', draw.between(1, 3));
  indexes(draw.between(2, 6)).forEach(() => {
    simulation.submit('short', draw.between(1, 4));
    simulation.advance(draw.between(1, 200));
  });
  const busy = indexes(MACHINES).filter((machine) => simulation.runningOn(machine) > 0);
  fault(simulation, draw.oneOf([busy[0] ?? 0, ...busy]), draw);
  indexes(6).forEach(() => {
    simulation.submit('short', draw.between(1, 2));
    simulation.advance(GAP_MS / 6);
  });
}

/** Describes a violation on one line, and each run of a task that ran twice on another one. */
function describe(seed: number, violation: Violation): readonly string[] {
  if (violation.kind !== 'doubleRun' && violation.kind !== 'repeatedTask')
    return [`seed ${seed}: ${JSON.stringify(violation)}`];
  const { kind, task, runs = [] } = violation;
  return [`seed ${seed}: ${kind} ${task}`, ...runs];
}

/** Plays a fault some times under load, and describes the violations. */
export function findViolations(seed: number, fault: WorkerFault): readonly string[] {
  const simulation = createSimulation(seed, MACHINES);
  const draw = createDraw(simulation);
  simulation.submit('lasting', 6);
  simulation.advance(WARM_UP_MS);
  indexes(ROUNDS).forEach(() => playRound(simulation, draw, fault));
  simulation.advance(CALM_MS);
  return simulation.violations().flatMap((violation) => describe(seed, violation));
}

/** Plays a fault with some seeds, and fails with the violations. */
export function expectNoViolation(seeds: readonly number[], fault: WorkerFault): void {
  expect(seeds.flatMap((seed) => findViolations(seed, fault))).to.deep.equal([]);
}
