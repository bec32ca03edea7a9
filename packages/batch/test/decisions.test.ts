import { expect } from 'chai';
import fc from 'fast-check';
import type { Candidate, WorkerHealth, LearnState, Rank } from '@bronzeyoke/batch';
import {
  HEALTHY,
  NOTHING_LEARNED,
  chooseAgent,
  compareRanks,
  countFailure,
  createBatch,
  fairShare,
  isWithinQuota,
  learnPeak,
  learnRun,
  mayOffer,
  rankOf,
  runTimes,
  shardOfJob,
  shardOfTeam,
  reservationOf,
  slackMs,
  startProbe,
} from '@bronzeyoke/batch';
import type { Configuration, Job, Resources } from '@bronzeyoke/types';
import { NO_RESOURCES, addResources, fitsIn } from '@bronzeyoke/types';

const size: Resources = { processorsMilli: 1_000, memoryMb: 1_000, accelerators: 0 };
const job: Job = {
  jobId: '3-e-1',
  team: 't',
  key: 'k',
  workKind: 'c',
  role: 'batch',
  declared: size,
  declaredRunMs: 10_000,
  deadlineAtMs: 100_000,
  submittedAtMs: 0,
  urgency: 'normal',
  taskCount: 1,
  payload: '',
  cancelled: false,
};
const ranks = fc.record<Rank>({
  isUrgent: fc.boolean(),
  slackStep: fc.integer({ min: -5, max: 5 }),
  share: fc.constantFrom(0, 0.25, 0.5),
  submittedAtMs: fc.nat(5),
});

// Without transitivity the first choice would depend on the order in which jobs are compared.
it('order: ranks are a total order with urgent work in front', () => {
  fc.assert(
    fc.property(ranks, ranks, ranks, (one, two, three) => {
      expect(Math.sign(compareRanks(one, two)) + Math.sign(compareRanks(two, one))).to.equal(0);
      if (compareRanks(one, two) <= 0 && compareRanks(two, three) <= 0) {
        expect(compareRanks(one, three)).to.be.at.most(0);
      }
      if (one.isUrgent && !two.isUrgent) expect(compareRanks(one, two)).to.be.below(0);
    }),
    { seed: 61, numRuns: 300 },
  );
});

it('order: a job that waits long enough overtakes a stream of closer deadlines', () => {
  const late = rankOf({ ...job, deadlineAtMs: 500_000 }, NOTHING_LEARNED, 0, 120_000, 0);
  const close = rankOf({ ...job, deadlineAtMs: 60_000 }, NOTHING_LEARNED, 0, 0, 0);
  expect(compareRanks(late, close)).to.be.below(0);
});

it('order: a job that will miss its deadline anyway goes behind those that can make it', () => {
  const missed = slackMs({ ...job, deadlineAtMs: 5_000 }, NOTHING_LEARNED, 0);
  expect(missed).to.be.above(slackMs(job, NOTHING_LEARNED, 0));
});

// Declared run times may be off by a factor of ten either way.
it('learn: measured run times replace the declared one', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 100, max: 10_000 }),
      fc.constantFrom(0.1, 10),
      (runMs, factor) => {
        const learned = Array.from({ length: 10 }).reduce<LearnState>(
          (state) => learnRun(state, 't', 'c', runMs),
          NOTHING_LEARNED,
        );
        expect(runTimes(learned, 't', 'c', runMs * factor).p90Ms).to.equal(runMs);
        expect(runTimes(learned, 'other', 'c', 7).p90Ms).to.equal(7);
      },
    ),
    { seed: 62, numRuns: 50 },
  );
});

it('learn: a task that exceeded its reservation gets at least its floor', () => {
  const learned = Array.from({ length: 10 }).reduce<LearnState>(
    (state) => learnPeak(state, 'c', { ...size, memoryMb: 300 }),
    NOTHING_LEARNED,
  );
  expect(reservationOf(learned, 'c', size, undefined).memoryMb).to.equal(300);
  expect(reservationOf(learned, 'c', size, { ...size, memoryMb: 900 }).memoryMb).to.equal(900);
});

it('quota: the granted amounts never add up to more than the quota', () => {
  const amounts = fc.record<Resources>({
    processorsMilli: fc.nat(3_000),
    memoryMb: fc.nat(3_000),
    accelerators: fc.nat(2),
  });
  fc.assert(
    fc.property(amounts, fc.array(amounts), (quota, requests) => {
      const used = requests.reduce(
        (sum, request) => (isWithinQuota(quota, sum, request) ? addResources(sum, request) : sum),
        NO_RESOURCES,
      );
      expect(fitsIn(used, quota)).to.equal(true);
    }),
    { seed: 63, numRuns: 200 },
  );
});

const candidates = fc.array(
  fc.record({ domain: fc.constantFrom('in', 'out'), room: fc.nat(2_000), isLeaving: fc.boolean() }),
  { maxLength: 20 },
);
const configuration: Configuration = {
  number: 1,
  entries: [{ kind: 'domain', name: 'out', state: 'out' }],
};

function candidateOf(
  index: number,
  domain: string,
  processorsMilli: number,
  isLeaving: boolean,
): Candidate {
  return {
    agentId: `a${index}`,
    profile: {
      agentId: `a${index}`,
      worker: `w${index}`,
      domain,
      region: 'r',
      rack: `r${index % 3}`,
      service: 's',
      slots: 1,
      connections: 1,
      total: { ...size, processorsMilli: 2_000 },
    },
    free: { ...size, processorsMilli },
    slowDowns: [],
    isLeaving,
    noOffersUntilMs: 0,
    noPreemptionUntilMs: 0,
  };
}

// P4: work in a domain that is out would be lost with it. A declined offer costs a round trip.
it('place: the chosen agent has room in a domain that is in, and any such agent is found', () => {
  fc.assert(
    fc.property(candidates, fc.double({ min: 0, max: 0.999, noNaN: true }), (list, random) => {
      const known = list.map(({ domain, room, isLeaving }, index) =>
        candidateOf(index, domain, room, isLeaving),
      );
      const request = {
        workKind: 'c',
        reserved: size,
        avoidedWorkers: ['w0'],
        tasksByRack: new Map(),
      };
      const usable = known.filter(
        ({ profile, free, isLeaving }, index) =>
          index !== 0 && profile.domain === 'in' && free.processorsMilli >= 1_000 && !isLeaving,
      );
      const choice = chooseAgent(known, request, configuration, () => true, random);
      if (choice === undefined) expect(usable).to.deep.equal([]);
      else expect(usable).to.include(choice);
    }),
    { seed: 64, numRuns: 300 },
  );
});

it('place: tasks of one job prefer another rack, and a kind that slows the service goes elsewhere', () => {
  const [first, second] = [candidateOf(0, 'in', 2_000, false), candidateOf(1, 'in', 2_000, false)];
  const request = {
    workKind: 'c',
    reserved: size,
    avoidedWorkers: [],
    tasksByRack: new Map([['in/r0', 1]]),
  };
  const choose = (list: readonly Candidate[]) =>
    chooseAgent(list, request, configuration, () => true, 0.3)?.agentId;
  expect(choose([first, second])).to.equal('a1');
  const slowed = { ...second, slowDowns: [{ service: 's', workKind: 'c', factor: 2 }] };
  expect(choose([first, slowed])).to.equal('a0');
});

function recordFailures(
  kinds: readonly string[],
  succeedsElsewhere: boolean,
  from = HEALTHY,
): WorkerHealth {
  return kinds.reduce(
    (health, workKind) => countFailure(health, { workKind, succeedsElsewhere }, 0),
    from,
  );
}

it('quarantine: three failures quarantine a worker only if the tasks are not the cause', () => {
  expect(mayOffer(recordFailures(['c', 'c', 'c'], false), 0)).to.equal(true);
  expect(mayOffer(recordFailures(['c', 'c'], true), 0)).to.equal(true);
  expect(mayOffer(recordFailures(['c', 'c', 'c'], true), 0)).to.equal(false);
  expect(mayOffer(recordFailures(['c', 'd', 'c'], false), 0)).to.equal(false);
});

it('quarantine: one probe after 30 s, and the delay doubles when it fails', () => {
  const first = recordFailures(['c', 'c', 'c'], true);
  expect(mayOffer(first, 29_999)).to.equal(false);
  expect(mayOffer(first, 30_000)).to.equal(true);
  expect(mayOffer(startProbe(first), 30_000)).to.equal(false);
  const second = recordFailures(['c'], true, startProbe(first));
  expect(mayOffer(second, 59_999)).to.equal(false);
  expect(mayOffer(second, 60_000)).to.equal(true);
});

it('shard: live entries share the shards, and entries that stopped renewing do not count', () => {
  const alone = createBatch('e0', 'hobart');
  expect(fairShare(alone, 0)).to.equal(16);
  const observed = { version: 1, sinceMs: 0, domain: 'hobart', number: 0 };
  const entryRows = alone.entryRows
    .set('entry/e0', observed)
    .set('entry/e1', observed)
    .set('entry/e2', observed);
  expect(fairShare({ ...alone, entryRows }, 12_000)).to.equal(6);
  expect(fairShare({ ...alone, entryRows }, 12_001)).to.equal(16);
});

it('keys: a job id contains the shard of its team', () => {
  fc.assert(
    fc.property(fc.string(), (team) => {
      const shard = shardOfTeam(team);
      expect(shard).to.be.within(0, 15);
      expect(shardOfJob(`${shard}-entry-1`)).to.equal(shard);
    }),
    { seed: 65, numRuns: 200 },
  );
});
