import { expect } from 'chai';
import type { Simulation } from './simtypes';
import { createSimulation } from './simulation';

const SEEDS = [1, 2, 3, 4, 5, 6];
const MACHINES = [0, 1, 2, 3, 4];

/** Time within which tasks of a crashed worker run again, lasting ones and others. */
const LASTING_AWAY_MS = 9_000;
const AWAY_MS = 12_000;

/** Longest time from a planned stop of an agent to its restart. */
const MAX_RESTART_MS = 3_000;

const WARM_UP_MS = 5_000;

/** Ends the worker of a machine, and returns when. */
type Crash = (simulation: Simulation, machine: number) => number;

function between(simulation: Simulation, low: number, high: number): number {
  return low + Math.floor(simulation.random() * (high - low + 1));
}

/** Returns a simulation whose workers run lasting and long tasks, and a machine with both. */
function createBusy(seed: number): { readonly simulation: Simulation; readonly machine: number } {
  const simulation = createSimulation(seed);
  simulation.submit('lasting', 6);
  simulation.submit('long', 6);
  simulation.advance(WARM_UP_MS);
  const machine = MACHINES.find((index) => {
    const tasks = simulation.tasksOn(index);
    return ['lasting', 'long'].every((kind) => tasks.some((task) => task.startsWith(kind)));
  });
  if (machine === undefined) throw new Error(`seed ${seed}: no machine runs tasks of both kinds`);
  return { simulation, machine };
}

function boundOf(task: string): number {
  return task.startsWith('lasting') ? LASTING_AWAY_MS : AWAY_MS;
}

/** Ends a worker, and describes the tasks that run again too late, and other violations. */
function findLate(seed: number, crash: Crash): readonly string[] {
  const { simulation, machine } = createBusy(seed);
  const crashed = simulation.tasksOn(machine);
  const endedAtMs = crash(simulation, machine);
  const late = crashed
    .toSorted((one, other) => boundOf(one) - boundOf(other))
    .filter((task) => {
      const leftMs = endedAtMs + boundOf(task) - simulation.now();
      const runs = (): boolean =>
        MACHINES.some((index) => simulation.tasksOn(index).includes(task));
      return !simulation.advanceUntil(runs, leftMs);
    });
  simulation.advance(AWAY_MS);
  return [
    ...late.flatMap((task) => [`seed ${seed}: ${task} is away`, ...simulation.runsOf(task)]),
    ...simulation.violations().map((violation) => `seed ${seed}: ${JSON.stringify(violation)}`),
  ];
}

function expectBack(crash: Crash): void {
  expect(SEEDS.flatMap((seed) => findLate(seed, crash))).to.deep.equal([]);
}

const crashWorker: Crash = (simulation, machine) => {
  simulation.crashWorker(machine);
  return simulation.now();
};

/** Ends a worker whose agent is killed before or after that, and starts another agent. */
const crashBesideNewAgent: Crash = (simulation, machine) => {
  const killAgent = (): void =>
    simulation.replaceAgent(machine, 'kill', between(simulation, 100, 2_500));
  const gapMs = between(simulation, 0, 1_500);
  if (simulation.random() < 0.5) {
    killAgent();
    simulation.advance(gapMs);
    return crashWorker(simulation, machine);
  }
  const crashedAtMs = crashWorker(simulation, machine);
  simulation.advance(gapMs);
  killAgent();
  return crashedAtMs;
};

/** Ends a worker, and starts it again some time later under its id or another one. */
function restart(hasSameId: boolean, crash = crashWorker): Crash {
  return (simulation, machine) => {
    const crashedAtMs = crash(simulation, machine);
    simulation.advance(between(simulation, 100, 4_000));
    simulation.startWorker(machine, hasSameId);
    return crashedAtMs;
  };
}

// Guards against a wait for the lease of a crashed worker that takes longer than promised.
it('crashes: tasks of a worker that is gone for good run again in time', () => {
  expectBack(crashWorker);
});

// Guards against a wait for the lease of a worker whose later instance has answered.
it('crashes: tasks of a worker that is back under its id run again in time', () => {
  expectBack(restart(true));
});

// Guards against a wait for the lease of a worker that another one at its address has replaced.
it('crashes: tasks of a worker that is back under another id run again in time', () => {
  expectBack(restart(false));
});

// Guards against a new agent that waits for a worker which it has never seen.
it('crashes: tasks of a worker that crashes beside a new agent run again in time', () => {
  expectBack(crashBesideNewAgent);
});

// Guards against a new agent that does not tell the leader of the instance before its first one.
it('crashes: tasks of a worker that is back beside a new agent run again in time', () => {
  expectBack(restart(true, crashBesideNewAgent));
  expectBack(restart(false, crashBesideNewAgent));
});

// Guards against a machine that dies whose worker's lease is counted longer than it holds.
it('crashes: tasks of a machine that dies run again in time', () => {
  expectBack((simulation, machine) => {
    simulation.killMachine(machine);
    return simulation.now();
  });
});

/** Stops an agent, starts another one some time later, and returns the runs that do not go on. */
function findLost(seed: number, restartMs: number): readonly string[] {
  const { simulation, machine } = createBusy(seed);
  const before = simulation.tasksOn(machine);
  simulation.advance(between(simulation, 0, 1_000));
  simulation.replaceAgent(machine, 'stop', restartMs);
  simulation.advance(AWAY_MS);
  const after = simulation.tasksOn(machine);
  return [
    ...before
      .filter((task) => !after.includes(task) || simulation.runsOf(task).length > 1)
      .flatMap((task) => [`seed ${seed}, ${restartMs} ms: ${task}`, ...simulation.runsOf(task)]),
    ...simulation.violations().map((violation) => `seed ${seed}: ${JSON.stringify(violation)}`),
  ];
}

// Guards against a short lease that ends while an agent restarts as planned.
it('crashes: a planned restart of an agent within 3 s loses no run', () => {
  const restartsMs = [1_000, MAX_RESTART_MS];
  const lost = SEEDS.flatMap((seed) => restartsMs.flatMap((ms) => findLost(seed, ms)));
  expect(lost).to.deep.equal([]);
});
