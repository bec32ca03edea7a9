import { expect } from 'chai';
import fc from 'fast-check';
import type { LastingDemand, PoolOutlook } from '@bronzeyoke/jobadmission';
import { decodeNotice, hearNotice, judgeJob, stepAdmission } from '@bronzeyoke/jobadmission';
import { amountOf, kindsOf, look, workDemand, workPool } from './fixture';

const ROOM = amountOf(100_000);

function lastingPool(
  reserved: Readonly<Record<string, number>>,
  roomAfterLoss = ROOM,
): PoolOutlook {
  const queues = Object.entries(reserved).map(([queue, milli]): LastingDemand => ({
    queue,
    priority: 0,
    weight: 1,
    reserved: amountOf(milli),
  }));
  return { kind: 'lasting', service: 'quoter', room: ROOM, roomAfterLoss, queues };
}

function ask(queue: string, milli: number) {
  return { queue, jobKind: 'lasting', coreMs: 0, resources: amountOf(milli) } as const;
}

// Guards against lasting jobs that are refused on a fleet that is merely well used.
it('jobadmission: lasting jobs are accepted while room is ample', () => {
  expect(kindsOf(look(lastingPool({ a: 80_000 }, amountOf(60_000))))).to.deep.equal({
    a: 'acceptAll',
  });
});

// Guards against places that do not outlive the loss of a failure domain once room is short.
it('jobadmission: short room counts without its largest domain', () => {
  const [short] = look(lastingPool({ a: 91_000 }, amountOf(95_000))).verdicts;
  expect(short?.verdict).to.deep.include({
    kind: 'limit',
    allowance: { kind: 'room', resources: amountOf(4_000) },
  });
  expect(kindsOf(look(lastingPool({ a: 91_000 }, amountOf(60_000)))).a).to.equal('refuse');
});

// Guards against a queue that is closed and opened by turns around one figure.
it('jobadmission: lasting jobs are accepted again below 0.85 of the room', () => {
  const reserved = [91_000, 88_000, 84_000];
  const kinds = reserved.reduce<{
    readonly seen: readonly unknown[];
    readonly step: ReturnType<typeof look>;
  }>(
    ({ seen, step }, milli) => {
      const next = stepAdmission(step.state, [lastingPool({ a: milli }, amountOf(50_000))], 0);
      return { seen: [...seen, kindsOf(next).a], step: next };
    },
    { seen: [], step: look(workPool([])) },
  ).seen;
  expect(kinds).to.deep.equal(['refuse', 'refuse', 'acceptAll']);
});

// Guards against a queue that fills the last room while another one is below its share.
it('jobadmission: short room goes to the queue below its fair share', () => {
  expect(kindsOf(look(lastingPool({ large: 80_000, small: 11_000 })))).to.deep.equal({
    large: 'refuse',
    small: 'limit',
  });
});

// Guards against refusals while the workers have not reported yet.
it('jobadmission: unknown room limits nobody', () => {
  const pool = { ...lastingPool({ a: 80_000 }), kind: 'lasting', room: amountOf(0) } as const;
  expect(look({ ...pool, queues: [] }).verdicts).to.deep.equal([]);
});

const NOTICE = {
  entryCount: 2,
  verdicts: [
    {
      queue: 'a',
      jobKind: 'lasting',
      verdict: {
        kind: 'limit',
        allowance: { kind: 'room', resources: amountOf(10_000) },
        retryAfterMs: 5_000,
      },
    },
  ],
} as const;

// Guards against a job that is accepted although there is no place for its tasks.
it('jobadmission: a lasting job that needs more than the allowance is refused', () => {
  const heard = hearNotice(NOTICE, 0);
  expect(judgeJob(heard, ask('a', 10_001), 0)).to.deep.equal({
    kind: 'refuse',
    retryAfterMs: 5_000,
  });
  expect(judgeJob(heard, ask('a', 10_000), 0).kind).to.equal('accept');
  expect(judgeJob(heard, ask('b', 90_000), 0).kind).to.equal('accept');
});

// Guards against a silent leader whose last verdicts refuse jobs for good.
it('jobadmission: a verdict expires after 2 s', () => {
  const heard = hearNotice(NOTICE, 1_000);
  expect(judgeJob(heard, ask('a', 20_000), 2_999).kind).to.equal('refuse');
  expect(judgeJob(heard, ask('a', 20_000), 3_000).kind).to.equal('accept');
});

// Guards against a client that gets the allowance once at each entry.
it('jobadmission: entries together accept the allowance and one job more each', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 6 }),
      fc.array(fc.tuple(fc.nat(5), fc.integer({ min: 1, max: 3_000 })), { maxLength: 60 }),
      (entryCount, asks) => {
        const start = Array.from({ length: entryCount }, () =>
          hearNotice({ ...NOTICE, entryCount }, 0),
        );
        const { takenMilli, largestMilli } = asks.reduce(
          (known, [index, milli]) => {
            const entry = index % entryCount;
            const judgement = judgeJob(known.entries[entry], ask('a', milli), 0);
            if (judgement.kind === 'refuse' || judgement.heard === undefined) return known;
            return {
              entries: known.entries.with(entry, judgement.heard),
              takenMilli: known.takenMilli + milli,
              largestMilli: Math.max(known.largestMilli, milli),
            };
          },
          { entries: start, takenMilli: 0, largestMilli: 0 },
        );
        expect(takenMilli).to.be.at.most(10_000 + entryCount * largestMilli);
      },
    ),
    { seed: 11, numRuns: 300 },
  );
});

// Guards against rows of other writers that take an entry down.
it('jobadmission: a malformed row is no verdict', () => {
  expect(decodeNotice({ entryCount: 0, verdicts: [] })).to.equal(undefined);
  expect(decodeNotice('x')).to.equal(undefined);
  const { verdicts } = look(workPool([workDemand('q', { backlogCoreMs: 140_000 })]));
  expect(decodeNotice({ entryCount: 3, verdicts })).to.deep.equal({ entryCount: 3, verdicts });
});
