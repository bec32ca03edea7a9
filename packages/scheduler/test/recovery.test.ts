import { expect } from 'chai';
import { SEED } from './simrules';
import type { LoadedSimulation } from './simrecovery';
import { coresFor, LARGE, playFault, WORKERS } from './simrecovery';

type Fault = (loaded: LoadedSimulation) => void;

/** Small entries spend up to this share of their processors on reports. */
const REPORT_SHARE = 0.4;
const SMALL = coresFor(REPORT_SHARE);
const ONLY_SMALL = [SMALL, SMALL, SMALL, SMALL, SMALL];

/** The large entry claims a free lease first. */
const ONE_LARGE = [LARGE, SMALL, SMALL, SMALL, SMALL];

const SLOW_STORE = { latencyMs: [240, 1_000] } as const;
const SLOW_MS = 5_000;

/** Longer than a play lasts. */
const FOR_GOOD_MS = 60_000;
const BACK_MS = 2_000;

const killLeader: Fault = ({ simulation }) =>
  simulation.killEntry(simulation.leader(), FOR_GOOD_MS);

/** Slows the store down while another fault happens. */
function withSlowStore(fault: Fault): Fault {
  return (loaded) => {
    loaded.simulation.setStore(SLOW_STORE);
    loaded.advance(SLOW_MS / 2);
    fault(loaded);
    loaded.advance(SLOW_MS / 2);
    loaded.simulation.calmStore();
  };
}

const reconnectAll: Fault = ({ simulation }) =>
  Array.from({ length: WORKERS }, (_, machine) => simulation.cutAgent(machine, 1));

/** The last entry is back 3 s after its stop. */
const restartInTurn: Fault = ({ simulation, advance }) => {
  ONLY_SMALL.forEach((_, entry) => {
    simulation.stopEntry(entry, 500);
    advance(1_200);
  });
  advance(1_800);
};

const losePower: Fault = ({ simulation, advance }) => {
  simulation.losePower(BACK_MS);
  advance(BACK_MS);
};

const nothing: Fault = () => {};

// Guards against a model whose load is more than a small entry carries, which no recovery could help.
it('recovery: small entries carry the load', () => {
  expect(playFault(SEED, ONLY_SMALL, nothing)).to.deep.equal([]);
});

// Guards against a take-over by a small entry that never gets to normal service.
it('recovery: a small entry follows a leader that is killed', () => {
  expect(playFault(SEED, ONE_LARGE, killLeader)).to.deep.equal([]);
});

// Guards against a slow store whose backlog outlasts it.
it('recovery: a small leader recovers from a slow store', () => {
  expect(playFault(SEED, ONLY_SMALL, withSlowStore(nothing))).to.deep.equal([]);
});

// Guards against reports that keep a small leader from granting the leases that make them rarer.
it('recovery: a small entry follows a leader that is killed while the store is slow', () => {
  expect(playFault(SEED, ONE_LARGE, withSlowStore(killLeader))).to.deep.equal([]);
});

// Guards against new connections that keep a leader from the replies without which they are replaced.
it('recovery: a small leader recovers when all agents connect anew', () => {
  expect(playFault(SEED, ONLY_SMALL, reconnectAll)).to.deep.equal([]);
});

// Guards against changes of the leader that each leave more work to the next one.
it('recovery: small entries recover after all of them restarted in turn', () => {
  expect(playFault(SEED, ONLY_SMALL, restartInTurn)).to.deep.equal([]);
});

// Guards against a start of everything at once that a small leader never completes.
it('recovery: small entries recover from a loss of power', () => {
  expect(playFault(SEED, ONLY_SMALL, losePower)).to.deep.equal([]);
});

const RANDOM_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const FAULTS = [killLeader, reconnectAll, restartInTurn, losePower];

/** Plays one of the faults, most of them beside a slow store, on entries of various sizes. */
function playVaried(seed: number): readonly string[] {
  const fault = FAULTS[seed % FAULTS.length] ?? nothing;
  const share = REPORT_SHARE * (0.5 + ((seed * 7) % 10) / 20);
  const small = coresFor(share);
  const processors = [LARGE, small, small, small, small];
  return playFault(seed, processors, seed % 3 === 0 ? fault : withSlowStore(fault));
}

// Guards against sizes of entries and courses of faults after which service stays down.
RANDOM_SEEDS.forEach((seed) => {
  it(`recovery: normal service returns after varied faults, seed ${seed}`, () => {
    expect(playVaried(seed)).to.deep.equal([]);
  });
});
