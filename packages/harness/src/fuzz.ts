import fc from 'fast-check';
import type { Model } from './model';
import { ModelCommand } from './model';
import { InvariantError, checkInvariants } from './invariant';
import type { Command } from './command';
import { applyCommand } from './command';
import type { Violation } from './oraclestate';
import type { Simulation, WorldOptions } from './simulate';
import { NO_STANDIN_BUGS, PRODUCT_DECISIONS, simulate } from './simulate';
import { derwent } from './site';
import { observe } from './world';

/** Result of a fuzz run. */
export interface FuzzReport {
  readonly seed: number;
  readonly runs: number;
  /** Number of events that cores handled. */
  readonly steps: number;
  /** Number of commands in the traces. */
  readonly commands: number;
  readonly failure?: FuzzFailure;
}

/** A violated invariant, with the shortest trace that was found. */
export interface FuzzFailure {
  readonly violation: Violation;
  readonly trace: readonly string[];
  readonly worldSeed: number;
  readonly path: string;
}

/** Configuration of a fuzz run. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  /** Whether to shrink a failing trace, which takes many more runs. */
  readonly shrinks?: boolean;
  readonly world?: Partial<WorldOptions>;
  /** Commands to draw from. The default is `ALL_COMMANDS`. */
  readonly commands?: readonly fc.Arbitrary<Command>[];
}

const MAX_COMMANDS = 60;
// Entries take over shards that have had no owner for 12 s.
const WARM_UP_MS = 15_000;
const SETTLE_MS = 50_000;

// Enough for conflicts of entries, repeats and fencing. More would give longer traces.
const ENTRIES = 2;
const WORKERS = 3;

const index = fc.nat({ max: 7 });
const role = fc.constantFrom<'entry' | 'agent'>('entry', 'agent');
const timeoutMs = fc.constantFrom(50, 500, 5_000);

const REQUESTS_AND_STOPS: readonly fc.Arbitrary<Command>[] = [
  fc.record({ kind: fc.constant('request' as const), entry: index, timeoutMs }),
  fc.record({ kind: fc.constant('keyedRequest' as const), entry: index, key: index, timeoutMs }),
  fc.record({ kind: fc.constant('stop' as const), role, index }),
];
const wait: fc.Arbitrary<Command> = fc.record({
  kind: fc.constant('wait' as const),
  durationMs: fc.constantFrom(1, 10, 100, 1_000, 10_000, 40_000),
});

/** Requests and planned stops. Batch work would mask aborted requests. */
export const STOP_COMMANDS: readonly fc.Arbitrary<Command>[] = [...REQUESTS_AND_STOPS, wait];

/** Commands without faults: requests, planned stops, and commands of operators and teams. */
export const FAULT_FREE_COMMANDS: readonly fc.Arbitrary<Command>[] = [
  ...REQUESTS_AND_STOPS,
  fc.record({
    kind: fc.constant('ticket' as const),
    entry: index,
    domain: fc.nat({ max: 3 }),
    state: fc.constantFrom('in' as const, 'out'),
  }),
  fc.record({ kind: fc.constant('showConfiguration' as const), entry: index }),
  fc.record({
    kind: fc.constant('submit' as const),
    entry: index,
    team: fc.nat({ max: 2 }),
    key: index,
    taskCount: fc.constantFrom(1, 3, 10),
    declaredMilli: fc.constantFrom(1_000, 20_000, 40_000, 90_000),
    usedMilli: fc.constantFrom(1_000, 20_000, 40_000),
    runMs: fc.constantFrom(50, 1_000, 30_000, 300_000),
    isUrgent: fc.boolean(),
    fails: fc.nat({ max: 5 }).map((draw) => draw === 0),
  }),
  fc.record({ kind: fc.constant('cancelJob' as const), entry: index, index }),
  fc.record({ kind: fc.constant('cancelAll' as const), entry: index }),
  wait,
];

/** Commands of every kind. */
export const ALL_COMMANDS: readonly fc.Arbitrary<Command>[] = [
  ...FAULT_FREE_COMMANDS,
  fc.record({ kind: fc.constant('kill' as const), role, index }),
  fc.record({ kind: fc.constant('boot' as const), role, index }),
  fc.record({
    kind: fc.constant('pause' as const),
    role,
    index,
    durationMs: fc.constantFrom(100, 2_000, 20_000, 40_000),
  }),
  fc.record({
    kind: fc.constant('jumpClock' as const),
    role,
    index,
    aheadMs: fc.constantFrom(100, 5_000, 60_000),
  }),
  fc.record({ kind: fc.constant('breakLink' as const), index }),
  fc.record({ kind: fc.constant('silenceLink' as const), index }),
  fc.record({
    kind: fc.constant('messageFault' as const),
    index,
    messageFault: fc.constantFrom('none' as const, 'delay', 'reorder', 'duplicate'),
  }),
  fc.record({
    kind: fc.constant('cut' as const),
    agent: index,
    entry: index,
    direction: fc.constantFrom('toEntry' as const, 'toAgent'),
  }),
  fc.record({
    kind: fc.constant('upstream' as const),
    index,
    mode: fc.constantFrom('healthy' as const, 'slow', 'failing', 'silent', 'unreachable'),
  }),
  fc.record({
    kind: fc.constant('worker' as const),
    index,
    fault: fc.constantFrom('none' as const, 'slow', 'down', 'losesReplies', 'failsEveryTask'),
  }),
  fc.record({
    kind: fc.constant('store' as const),
    fault: fc.constantFrom('none' as const, 'down', 'slow', 'losesReplies'),
  }),
  fc.constant<Command>({ kind: 'clearFaults' }),
];

function traceOf(commands: Iterable<fc.Command<Model, Simulation>>): readonly string[] {
  return Array.from(commands, String);
}

/** Clears all faults, and runs until every request has had time to end. */
function settle(simulation: Simulation): void {
  simulation.runFor(1_000);
  checkInvariants(simulation.world());
  simulation.change((world) => applyCommand(world, { kind: 'clearFaults' }));
  simulation.runFor(SETTLE_MS);
  simulation.change((world) => observe(world, { kind: 'settled' }));
  checkInvariants(simulation.world());
}

/** Runs random traces of commands against the oracle, and shrinks the first one that fails. */
export function runFuzz(options: FuzzOptions): FuzzReport {
  const { seed, runs } = options;
  let steps = 0;
  let commandCount = 0;
  let failure: FuzzFailure | undefined;
  const arbitraries = (options.commands ?? ALL_COMMANDS).map((arbitrary) =>
    arbitrary.map((command) => new ModelCommand(command)),
  );
  const property = fc.property(
    fc.commands(arbitraries, { maxCommands: MAX_COMMANDS, size: 'max' }),
    fc.nat(),
    (commands, worldSeed) => {
      const simulation = simulate(
        {
          deployment: derwent(ENTRIES, WORKERS),
          decisions: PRODUCT_DECISIONS,
          standinBugs: NO_STANDIN_BUGS,
          ...options.world,
        },
        worldSeed,
      );
      simulation.runFor(WARM_UP_MS);
      try {
        fc.modelRun(() => ({ model: {}, real: simulation }), commands);
        settle(simulation);
      } catch (error) {
        if (!(error instanceof InvariantError)) throw error;
        failure = { violation: error.violation, trace: traceOf(commands), worldSeed, path: '' };
        throw error;
      } finally {
        steps += simulation.world().steps;
        commandCount += traceOf(commands).length;
      }
    },
  );
  const outcome = fc.check(property, {
    seed,
    numRuns: runs,
    endOnFailure: options.shrinks === false,
  });
  const report = { seed, runs: outcome.numRuns, steps, commands: commandCount };
  if (!outcome.failed) return report;
  if (failure === undefined) throw outcome.errorInstance as Error;
  return { ...report, failure: { ...failure, path: outcome.counterexamplePath ?? '' } };
}
