import { createRunning, expectRules } from './simrules';
import type { Simulation } from './simtypes';
import { PROMPT_ORDERS } from './simtypes';

const MACHINES = [0, 1, 2, 3, 4];
const SEEDS = [1, 2, 3];
const ORDER_MS = 40;

/** Age at which a worker's clock is further ahead of that of a new instance than the longest lease. */
const WORKER_AGE_MS = 12_000;

/** Times of the machine's silence that end after the release of its runs and within the longest lease. */
const SILENT_MS = [8_000, 9_000, 9_500];

/** A simulation, and a machine whose later instance will carry a start order out. */
interface Restarted {
  readonly simulation: Simulation;
  readonly machine: number;
}

/**
 * Sends start orders that arrive after `delayMs`, and restarts the worker of one of them `beforeMs`
 * before that.
 */
function restartBeforeOrder(simulation: Simulation, delayMs: number, beforeMs: number): Restarted {
  MACHINES.forEach((machine) => simulation.setOrderDelay(machine, [delayMs, delayMs]));
  simulation.submit('brief', 3);
  const findOrdered = (): number => MACHINES.findIndex(simulation.hasOpenStart);
  simulation.advanceUntil(() => findOrdered() >= 0, 2_000);
  const machine = findOrdered();
  simulation.advance(delayMs - beforeMs);
  simulation.restartWorker(machine);
  MACHINES.forEach((other) => simulation.setOrderDelay(other, PROMPT_ORDERS));
  return { simulation, machine };
}

/** Restarts a worker whose clock is far ahead just before an order arrives. */
function restartOldWorker(seed: number): Restarted {
  const simulation = createRunning(seed);
  simulation.advance(WORKER_AGE_MS - simulation.now());
  return restartBeforeOrder(simulation, ORDER_MS, 1);
}

/** Plays a silence of a machine whose later instance carries an order out under the longest lease. */
function expectOneSuccess(
  silence: (simulation: Simulation, machine: number, forMs: number) => void,
): void {
  SEEDS.forEach((seed) =>
    SILENT_MS.forEach((forMs) => {
      const { simulation, machine } = restartOldWorker(seed);
      silence(simulation, machine, forMs);
      simulation.advance(20_000);
      expectRules(simulation);
    }),
  );
}

// Guards against a new leader that waits for the lease of the instance that was ordered, and not for the
// longer one of the later instance that has carried the order out.
it('repeats: a success of a later instance that a new leader does not know counts once', () => {
  expectOneSuccess((simulation, machine, forMs) => {
    simulation.cutAgent(machine, forMs);
    simulation.killEntry(simulation.leader(), 3_000);
  });
});

// Guards against a leader that counts the lease from the last report of the instance that was ordered.
it('repeats: a success of a later instance on a machine that is cut off counts once', () => {
  expectOneSuccess((simulation, machine, forMs) => simulation.cutAgent(machine, forMs));
});

// Guards against the same wait when the agent has ended and the next one reports the later instance.
it('repeats: a success of a later instance whose agent was killed counts once', () => {
  expectOneSuccess((simulation, machine, forMs) => simulation.replaceAgent(machine, 'kill', forMs));
});

// Guards against an agent that ends the lease of the instance that was ordered, while it can't hear a later one
// that has carried the order out under a longer lease.
it('repeats: a success of a later instance that its agent cannot hear counts once', () => {
  expectOneSuccess((simulation, machine, forMs) =>
    simulation.disturbHop(machine, { calls: 'unanswered', hasHeartbeats: false }, forMs),
  );
});

// Guards against the same when the connections of the agent are refused, so that the worker looks crashed.
it('repeats: a success of a later instance that refuses its agent counts once', () => {
  expectOneSuccess((simulation, machine, forMs) => {
    simulation.advance(1);
    simulation.disturbHop(machine, { calls: 'refused', hasHeartbeats: false }, forMs);
  });
});

const LATE_ORDER_MS = 200;

/** Numbers of ms between the restart of a worker and the arrival of an order at the later instance. */
const RESTARTED_BEFORE_MS = [5, 20, 50, 100, 150];

/** Lets a worker end brief tasks, and restarts it some time before an order arrives, while its agent is cut off for 3 s. */
function expectNoLostEnd(disturb: (simulation: Simulation, machine: number) => void): void {
  SEEDS.forEach((seed) =>
    RESTARTED_BEFORE_MS.forEach((beforeMs) => {
      const simulation = createRunning(seed);
      simulation.submit('brief', 10);
      simulation.advance(3_000);
      const { machine } = restartBeforeOrder(simulation, LATE_ORDER_MS, beforeMs);
      simulation.cutAgent(machine, 3_000);
      disturb(simulation, machine);
      simulation.advance(20_000);
      expectRules(simulation);
    }),
  );
}

// Guards against a hold for an earlier instance that waits at a later one, and acknowledges its ends by the
// sequence of the earlier one's.
it('repeats: a hold for an earlier instance acknowledges no end of a later one', () => {
  expectNoLostEnd(() => {});
});

// Guards against holds for an earlier instance that go on because the replies of the later one get lost.
it('repeats: holds whose replies get lost acknowledge no end of a later instance', () => {
  expectNoLostEnd((simulation, machine) =>
    simulation.disturbHop(machine, { calls: 'unanswered', hasHeartbeats: false }, 1_500),
  );
});

// Guards against the end of the ordered instance that a new leader learns of before the later instance's
// list, which names the success: the run is released at once, and its success is acknowledged.
it('repeats: the end of a worker whose later instance has succeeded releases no run', () => {
  [4, 5, 6].forEach((seed) =>
    RESTARTED_BEFORE_MS.forEach((beforeMs) => {
      const { simulation } = restartBeforeOrder(createRunning(seed), 150, beforeMs);
      simulation.killEntry(simulation.leader(), 3_000);
      simulation.advance(20_000);
      expectRules(simulation);
    }),
  );
});
