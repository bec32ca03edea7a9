import { expect } from 'chai';
import fc from 'fast-check';
import { NO_RATE, recordWork, stepAdmission, workRateCores } from '@bronzeyoke/jobadmission';
import { kindsOf, look, workDemand, workPool } from './fixture';

const demands = fc.array(
  fc.record({
    backlogCoreMs: fc.integer({ min: 0, max: 200_000 }),
    weight: fc.integer({ min: 1, max: 4 }),
  }),
  { minLength: 1, maxLength: 6 },
);

function named(fields: readonly { readonly backlogCoreMs: number; readonly weight: number }[]) {
  return fields.map((changes, index) => workDemand(`q${index}`, changes));
}

// Guards against a queue that is refused below its share while one above its share gets jobs in.
it('jobadmission: no queue is refused while one with more for its weight is accepted', () => {
  fc.assert(
    fc.property(demands, (fields) => {
      const queues = named(fields);
      const kinds = kindsOf(look(workPool(queues)));
      const perWeight = ({ backlogCoreMs, weight }: (typeof queues)[number]) =>
        backlogCoreMs / weight;
      const refused = queues.filter(({ queue }) => kinds[queue] === 'refuse').map(perWeight);
      const accepted = queues.filter(({ queue }) => kinds[queue] !== 'refuse').map(perWeight);
      expect(Math.max(-1, ...accepted)).to.be.lessThan(Math.min(Infinity, ...refused) + 1e-6);
    }),
    { seed: 7, numRuns: 500 },
  );
});

// Guards against a queue that is refused although it has less than an equal part of what is done in time.
it('jobadmission: a queue below its equal share is never refused', () => {
  fc.assert(
    fc.property(demands, (fields) => {
      const queues = named(fields);
      const kinds = kindsOf(look(workPool(queues)));
      const total = queues.reduce((sum, { weight }) => sum + weight, 0);
      const below = queues.filter(
        ({ backlogCoreMs, weight }) => backlogCoreMs < (99_999 * weight) / total,
      );
      expect(below.filter(({ queue }) => kinds[queue] === 'refuse')).to.deep.equal([]);
    }),
    { seed: 8, numRuns: 500 },
  );
});

// Guards against callers that get more in by pressing more: a larger backlog never raises the allowance.
it('jobadmission: pressing more never gets more', () => {
  fc.assert(
    fc.property(demands, fc.integer({ min: 1, max: 100_000 }), (fields, moreCoreMs) => {
      const allowed = (queues: ReturnType<typeof named>) => {
        const verdict = look(workPool(queues)).verdicts[0]?.verdict;
        if (verdict?.kind === 'refuse') return 0;
        return verdict?.kind === 'limit' && verdict.allowance.kind === 'work'
          ? verdict.allowance.coreMs
          : Infinity;
      };
      const [first, ...rest] = named(fields);
      if (first === undefined) return;
      const pressing = { ...first, backlogCoreMs: first.backlogCoreMs + moreCoreMs };
      const pressingMore = { ...pressing, arrivalCores: 50 };
      expect(allowed([pressing, ...rest])).to.be.at.most(allowed([first, ...rest]));
      expect(allowed([pressingMore, ...rest])).to.equal(allowed([pressing, ...rest]));
    }),
    { seed: 9, numRuns: 500 },
  );
});

// Guards against a queue that gets nothing in for good because others have more than all there is.
it('jobadmission: an empty backlog accepts', () => {
  fc.assert(
    fc.property(demands, fc.integer({ min: 0, max: 2 }), (fields, priority) => {
      const queues = [...named(fields), workDemand('idle', { priority })];
      expect(kindsOf(look(workPool(queues))).idle).to.not.equal('refuse');
    }),
    { seed: 10, numRuns: 300 },
  );
});

// Guards against refusals while the rate is not known, as after a change of the leader.
it('jobadmission: a pool of unknown rate limits nobody', () => {
  const pool = { kind: 'filling', service: 's', queues: [workDemand('q', { backlogCoreMs: 1e9 })] };
  expect(look({ ...pool, kind: 'filling' }).verdicts).to.deep.equal([]);
});

// Guards against less urgent jobs that take what more urgent ones need.
it('jobadmission: a less urgent queue gets what more urgent ones leave', () => {
  const urgent = workDemand('urgent', { backlogCoreMs: 70_000 });
  const later = workDemand('later', { priority: 1, backlogCoreMs: 40_000 });
  expect(kindsOf(look(workPool([urgent, later])))).to.deep.equal({
    urgent: 'acceptAll',
    later: 'refuse',
  });
});

// Guards against a queue that stays closed, or one that is opened and closed by turns.
it('jobadmission: a closed queue opens again as its backlog drains', () => {
  const backlogs = [70_000, 85_000, 120_000, 90_000, 70_000, 50_000];
  const seen = backlogs.reduce<{
    readonly kinds: readonly (string | undefined)[];
    readonly step: ReturnType<typeof look>;
  }>(
    ({ kinds, step }, backlogCoreMs, index) => {
      const pool = workPool([workDemand('q', { backlogCoreMs })]);
      const next = stepAdmission(step.state, [pool], index * 1_000);
      return { kinds: [...kinds, kindsOf(next).q], step: next };
    },
    { kinds: [], step: look(workPool([])) },
  );
  expect(seen.kinds).to.deep.equal(['acceptAll', 'limit', 'refuse', 'limit', 'limit', 'acceptAll']);
});

// Guards against a time to come back that has nothing to do with the backlog.
it('jobadmission: a refused caller is told when the excess is worked off', () => {
  const { verdicts } = look(workPool([workDemand('q', { backlogCoreMs: 140_000 })]));
  expect(verdicts[0]?.verdict).to.deep.equal({ kind: 'refuse', retryAfterMs: 4_000 });
});

function contended(looks: number, doneCoreMs: number, from = NO_RATE, startMs = 0) {
  return Array.from({ length: looks }).reduce<typeof NO_RATE>(
    (rate, _, index) =>
      recordWork(rate, {
        nowMs: startMs + index * 500,
        forMs: 500,
        doneCoreMs,
        isContended: true,
        roomCores: 100,
      }),
    from,
  );
}

// Guards against refusals in a burst that drains by itself.
it('jobadmission: a rate is known after 5 s of contention', () => {
  expect(workRateCores(contended(8, 5_000), 3_500, 100, 0)).to.equal(undefined);
  expect(workRateCores(contended(11, 5_000), 5_000, 100, 0)).to.equal(10);
});

// Guards against refusals after a loss of power, when nothing is done for some seconds.
it('jobadmission: a standstill lowers a known rate slowly', () => {
  const still = contended(20, 0, contended(20, 5_000), 10_000);
  expect(workRateCores(still, 19_500, 100, 0)).to.be.within(6, 10);
  expect(workRateCores(still, 19_500, 50, 0)).to.be.within(3, 5);
});

// Guards against a rate that is taken from times in which there was nothing to do.
it('jobadmission: the end of contention ends a rate', () => {
  const look0 = { nowMs: 10_000, forMs: 500, doneCoreMs: 0, isContended: false, roomCores: 100 };
  expect(workRateCores(recordWork(contended(20, 5_000), look0), 10_000, 100, 0)).to.equal(
    undefined,
  );
});
