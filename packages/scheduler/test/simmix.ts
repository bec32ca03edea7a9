import type { RepeatKind } from '@bronzeyoke/runhistory';
import { PROMPT_ORDERS } from './simtypes';
import type { Simulation } from './simtypes';
import { createClock } from './simclock';
import { createSimulation } from './simulation';

const ENTRIES = 5;
const MACHINES = 5;
const WARM_UP_MS = 12_000;
const STEPS = 30;
const MAX_GAP_MS = 1_500;
const CALM_MS = 25_000;

/** Longest lease that a worker accepts; a silence below it may end before the lease. */
const LONGEST_LEASE_MS = 10_000;

/** Largest difference of the clocks of two processes from the right time. */
const MAX_CLOCK_OFFSET_MS = 2_500;

/** Which faults a mix has beside the loss of leaders and cut or replaced agents. */
export type MixKind =
  /** Workers restart under their ids while orders are on their way. */
  | 'restarts'
  /** The store is slow, refuses, loses replies, or performs transactions late. */
  | 'store'
  /** Both, and ways between agents and workers that fail. */
  | 'all'
  /** As `all`, with clocks that differ by up to 5 s. */
  | 'clocks';

type Fault = (simulation: Simulation, below: (limit: number) => number) => void;

function leaderOf(simulation: Simulation): number {
  return Math.max(0, simulation.leader());
}

function submitTasks(simulation: Simulation, below: (limit: number) => number): void {
  simulation.submit(below(3) === 0 ? 'short' : 'brief', 1 + below(6));
}

const LEADER_FAULTS: readonly Fault[] = [
  (simulation, below) => simulation.killEntry(leaderOf(simulation), below(3_000)),
  (simulation, below) => simulation.stopEntry(leaderOf(simulation), below(2_000)),
  (simulation, below) => simulation.freezeEntry(leaderOf(simulation), below(9_000)),
  (simulation, below) => simulation.cutEntry(leaderOf(simulation), below(6_000)),
];

const AGENT_FAULTS: readonly Fault[] = [
  (simulation, below) => simulation.cutAgent(below(MACHINES), below(LONGEST_LEASE_MS)),
  (simulation, below) => {
    simulation.cutAgent(below(MACHINES), 5_000 + below(5_000));
    simulation.killEntry(leaderOf(simulation), below(3_000));
  },
  (simulation, below) => {
    const how = below(2) === 0 ? 'kill' : 'stop';
    simulation.replaceAgent(below(MACHINES), how, below(LONGEST_LEASE_MS));
  },
  (simulation, below) => simulation.restartAgent(below(MACHINES)),
];

/** Restarts a worker while orders to it are on their way, and cuts its agent off. */
function restartWithOrders(simulation: Simulation, below: (limit: number) => number): void {
  const machine = below(MACHINES);
  const delayMs = 5 + below(300);
  simulation.setOrderDelay(machine, [delayMs, delayMs]);
  simulation.submit('brief', 6);
  simulation.advance(below(delayMs + 20));
  simulation.restartWorker(machine);
  simulation.setOrderDelay(machine, PROMPT_ORDERS);
  if (below(2) === 0) simulation.cutAgent(machine, below(LONGEST_LEASE_MS));
  if (below(3) === 0) simulation.killEntry(leaderOf(simulation), below(3_000));
}

const RESTARTS: readonly Fault[] = [
  restartWithOrders,
  restartWithOrders,
  (simulation, below) => simulation.restartWorker(below(MACHINES)),
];

const STORE_FAULTS: readonly Fault[] = [
  (simulation) => simulation.setStore({ latencyMs: [240, 1_000] }),
  (simulation) =>
    simulation.setStore({ refusedShare: 0.4, lostReplyShare: 0.2, lostPageShare: 0.3 }),
  (simulation) => simulation.calmStore(),
  (simulation) => simulation.calmStore(),
  (simulation, below) => {
    const applyAfterMs = below(5_000);
    (['claim', 'renewal', 'release', 'other'] as const).forEach((commit) =>
      simulation.loseReply({ commit, applyAfterMs, unknownAfterMs: 1_200 }),
    );
    simulation.killEntry(leaderOf(simulation), below(3_000));
  },
  (simulation, below) => {
    simulation.loseReply({
      commit: 'release',
      applyAfterMs: below(3_000),
      unknownAfterMs: 1_200,
    });
    simulation.stopEntry(leaderOf(simulation), below(2_000));
  },
];

const HOP_FAULTS: readonly Fault[] = [
  (simulation, below) => {
    const calls = (['refused', 'lost', 'unanswered'] as const)[below(3)] ?? 'lost';
    simulation.disturbHop(below(MACHINES), { calls, hasHeartbeats: below(2) === 0 }, below(6_000));
  },
  (simulation, below) => {
    const machine = below(MACHINES);
    simulation.crashWorker(machine);
    simulation.advance(below(2_000));
    simulation.startWorker(machine, below(2) === 0);
  },
  (simulation, below) => simulation.setOrderDelay(below(MACHINES), [500, 500 + below(11_500)]),
  (simulation, below) => simulation.setOrderDelay(below(MACHINES), PROMPT_ORDERS),
];

function faultsOf(kind: MixKind): readonly Fault[] {
  const common = [...LEADER_FAULTS, ...AGENT_FAULTS];
  switch (kind) {
    case 'restarts':
      return [...common, ...RESTARTS];
    case 'store':
      return [...common, ...STORE_FAULTS];
    case 'all':
    case 'clocks':
      return [...common, ...RESTARTS, ...STORE_FAULTS, ...HOP_FAULTS];
  }
}

/** Returns clocks that differ, by the name of a host or machine. */
function offsetsOf(random: () => number): (name: string) => number {
  const names = [
    ...Array.from({ length: ENTRIES }, (_, index) => `h${index}`),
    ...Array.from({ length: MACHINES }, (_, index) => `m${index}`),
  ];
  const offsets = new Map(
    names.map((name) => [name, Math.round(MAX_CLOCK_OFFSET_MS * (2 * random() - 1))] as const),
  );
  return (name) => offsets.get(name) ?? 0;
}

/** Plays random faults under tasks that work for 0.2 s or 0.7 s, and a calm end. */
export function playMix(kind: MixKind, seed: number): Simulation {
  const { random: drawOffset } = createClock(seed);
  const options = kind === 'clocks' ? { wallOffsetMs: offsetsOf(drawOffset) } : {};
  const simulation = createSimulation(seed, MACHINES, undefined, options);
  const below = (limit: number): number => Math.floor(simulation.random() * limit);
  const faults = faultsOf(kind);
  simulation.submit('lasting', 4);
  simulation.advance(WARM_UP_MS);
  Array.from({ length: STEPS }).forEach(() => {
    submitTasks(simulation, below);
    simulation.advance(below(200));
    faults[below(faults.length)]?.(simulation, below);
    simulation.advance(below(MAX_GAP_MS));
  });
  simulation.calmStore();
  Array.from({ length: MACHINES }, (_, machine) =>
    simulation.setOrderDelay(machine, PROMPT_ORDERS),
  );
  simulation.advance(CALM_MS);
  return simulation;
}

/** Starts after a success, by what they mean. */
export type RepeatCounts = Readonly<Record<RepeatKind, number>>;

/** Counts the starts after a success in some plays. */
export function countRepeats(simulations: readonly Simulation[]): RepeatCounts {
  const kinds = simulations.flatMap(({ repeats }) => repeats().map(({ kind }) => kind));
  const countOf = (kind: RepeatKind): number => kinds.filter((other) => other === kind).length;
  return {
    counted: countOf('counted'),
    lapsed: countOf('lapsed'),
    unnoted: countOf('unnoted'),
    justNoted: countOf('justNoted'),
  };
}
