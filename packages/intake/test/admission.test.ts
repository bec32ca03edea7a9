import { expect } from 'chai';
import fc from 'fast-check';
import { createIntake } from '@bronzeyoke/intake';
import { ADMISSION_KEY, jobKey, withdrawalKey } from '@bronzeyoke/scheduler';
import { rowId } from '@bronzeyoke/standins';
import { JOB } from './fixture';
import type { Treatment, World } from './world';
import { ENTRIES, performLate, startWorld, step } from './world';

const RETRY_AFTER_MS = 7_000;
const STAGE = {
  taskCount: 2,
  needs: { processorsMilli: 1_000, memoryMb: 100, accelerators: 0 },
  estimateMs: 1_000,
  dependsOn: [],
  savesCheckpoints: false,
  isGang: false,
  prefersOneRack: false,
  allowsCopies: false,
  isLasting: false,
  fillsIdle: false,
};
const QUICK = { ...JOB, stages: [STAGE] };

/** Delivers verdicts that close the queue, or none, to an entry. */
function hear(world: World, entry: number, isClosed: boolean): World {
  const verdict = { kind: 'refuse', retryAfterMs: RETRY_AFTER_MS };
  const verdicts = isClosed ? [{ queue: 'quick', jobKind: 'reserving', verdict }] : [];
  const row = {
    ...ADMISSION_KEY,
    version: world.store.version,
    value: { entryCount: 1, verdicts },
  };
  return step(world, entry, { kind: 'admission', row }, 'perform');
}

function submit(
  world: World,
  entry: number,
  callId: string,
  treatment: Treatment = 'perform',
): World {
  const event = { kind: 'submit', callId, job: QUICK, timeoutMs: 3_000, silentMs: 0 } as const;
  return step(world, entry, event, treatment);
}

function later(world: World, forMs: number): World {
  const moved = { ...world, nowMs: world.nowMs + forMs };
  return world.entries.reduce(
    (current, _, entry) => step(current, entry, { kind: 'tick' }, 'perform'),
    moved,
  );
}

function kinds(world: World): readonly string[] {
  return world.replies.map(({ kind }) => kind);
}

function isStored(world: World): boolean {
  return performLate(world).store.rows.has(rowId(jobKey(JOB.jobId)));
}

// Guards against a job that is taken in although its queue is closed.
it('admission: a closed queue refuses at once with a time to come back', () => {
  const refused = submit(hear(startWorld(), 0, true), 0, 'c1');
  expect(refused.replies).to.deep.equal([{ kind: 'notAccepted', retryAfterMs: RETRY_AFTER_MS }]);
  expect(isStored(refused)).to.equal(false);
});

// Guards against a silent leader whose last verdicts go on refusing jobs.
it('admission: a closed queue accepts 2 s after the last verdict', () => {
  const silent = later(hear(startWorld(), 0, true), 2_000);
  expect(kinds(submit(silent, 0, 'c1'))).to.deep.equal(['accepted']);
});

// Guards against an accepted job whose repeated submission is refused.
it('admission: a repeat of a stored job is accepted by a closed queue', () => {
  const stored = submit(startWorld(), 0, 'c1');
  const repeated = submit(hear(stored, 1, true), 1, 'c2');
  expect(kinds(repeated)).to.deep.equal(['accepted', 'accepted']);
});

// Guards against a refused job that runs, because an earlier attempt through another entry is stored late.
it('admission: an attempt that is on its way fails after the refusal', () => {
  const sent = submit(startWorld(), 0, 'c1', 'performLate');
  const refused = submit(hear(sent, 1, true), 1, 'c2');
  expect(kinds(refused)).to.deep.equal(['notAccepted']);
  expect(isStored(refused)).to.equal(false);
  expect(isStored(later(refused, 100))).to.equal(false);
});

// Guards against an id that is refused for good after one refusal.
it('admission: a repeat of a refused id is stored when the queue is open again', () => {
  const refused = submit(hear(startWorld(), 0, true), 0, 'c1');
  const repeated = submit(hear(refused, 0, false), 0, 'c2');
  expect(kinds(repeated)).to.deep.equal(['notAccepted', 'accepted']);
  expect(isStored(repeated)).to.equal(true);
  expect(repeated.store.rows.has(rowId(withdrawalKey(JOB.jobId)))).to.equal(false);
});

// Guards against a refusal that a restart of the entry turns round: it knows nothing of it.
it('admission: after a restart the refusal stands for attempts from before it', () => {
  const sent = submit(startWorld(), 1, 'c1', 'performLate');
  const refused = submit(hear(sent, 0, true), 0, 'c2');
  const restarted = { ...refused, entries: refused.entries.with(0, createIntake()) };
  expect(isStored(later(restarted, 100))).to.equal(false);
  const early = submit(restarted, 0, 'c3');
  expect(kinds(early)).to.deep.equal(['notAccepted', 'notAccepted']);
  expect(kinds(submit(early, 0, 'c4')).at(-1)).to.equal('accepted');
});

// Guards against a repeat that each entry refuses once more, because it has not used the store since.
it('admission: another entry stores a repeat once it has heard of a later version', () => {
  const refused = submit(hear(startWorld(), 0, true), 0, 'c1');
  const { version } = refused.store;
  const informed = step(refused, 1, { kind: 'storeVersion', version }, 'perform');
  expect(kinds(submit(informed, 1, 'c2'))).to.deep.equal(['notAccepted', 'accepted']);
});

// Guards against refusals that take the store's rate from the leader, and against a flood to a closed
// queue that leaves the other queues no place among the submissions.
it('admission: a flood of refusals is bounded and keeps no other queue out', () => {
  const flood = Array.from({ length: 1_000 }).reduce<World>(
    (world, _, index) => {
      const job = { ...QUICK, jobId: `f${index}` };
      const event = {
        kind: 'submit',
        callId: job.jobId,
        job,
        timeoutMs: 3_000,
        silentMs: 0,
      } as const;
      return step({ ...world, nowMs: index }, 0, event, 'perform');
    },
    hear(startWorld(), 0, true),
  );
  expect(flood.store.version).to.be.at.most(29);
  const policy = { ...QUICK.policy, queue: 'other' };
  const job = { ...QUICK, policy };
  const event = { kind: 'submit', callId: 'o', job, timeoutMs: 3_000, silentMs: 0 } as const;
  const other = step(flood, 0, event, 'perform');
  expect(kinds(other).at(-1)).to.equal('accepted');
  expect(
    kinds([50, 50, 50].reduce(later, other)).filter((kind) => kind !== 'notAccepted'),
  ).to.deep.equal(['accepted']);
});

// Guards against "refused" while nothing tells whether another attempt was stored.
it('admission: a refusal without an answer of the store is unknown', () => {
  const lost = submit(hear(startWorld(), 0, true), 0, 'c1', 'loseReply');
  const refusing = { ...lost, nowMs: 500 };
  expect(kinds(step(refusing, 0, { kind: 'tick' }, 'refuse'))).to.deep.equal(['unknown']);
});

// Guards against a limited queue that is not told how much of its allowance an entry has used.
it('admission: an entry stops at its share of an allowance', () => {
  const verdict = {
    kind: 'limit',
    allowance: { kind: 'work', coreMs: 4_000 },
    retryAfterMs: RETRY_AFTER_MS,
  };
  const verdicts = [{ queue: 'quick', jobKind: 'reserving', verdict }];
  const row = { ...ADMISSION_KEY, version: 1, value: { entryCount: 2, verdicts } };
  const limited = step(startWorld(), 0, { kind: 'admission', row }, 'perform');
  const submitted = ['a', 'b'].reduce((world, jobId) => {
    const job = { ...QUICK, jobId };
    const event = { kind: 'submit', callId: jobId, job, timeoutMs: 3_000, silentMs: 0 } as const;
    return step(world, 0, event, 'perform');
  }, limited);
  expect(kinds(submitted)).to.deep.equal(['accepted', 'notAccepted']);
});

// Guards against a malformed row that takes the intake down or counts as a verdict.
it('admission: a malformed row changes nothing', () => {
  const row = { ...ADMISSION_KEY, version: 1, value: { verdicts: 'none' } };
  const heard = step(startWorld(), 0, { kind: 'admission', row }, 'perform');
  expect(kinds(submit(heard, 0, 'c1'))).to.deep.equal(['accepted']);
});

const action = fc.record({
  entry: fc.nat(ENTRIES - 1),
  kind: fc.constantFrom('submit', 'close', 'open', 'tick', 'late', 'restart'),
  treatment: fc.constantFrom<Treatment>('perform', 'loseReply', 'performLate', 'refuse'),
});

// Guards against any order of attempts, refusals, restarts and late transactions after which a job is
// stored although the last thing that a caller was told is that it never runs.
it('admission: no job is stored after its refusal without a new attempt', () => {
  fc.assert(
    fc.property(fc.array(action, { maxLength: 30 }), (actions) => {
      actions.reduce((world, { entry, kind, treatment }, index) => {
        const moved = { ...world, nowMs: world.nowMs + 50 };
        const act = (): World => {
          switch (kind) {
            case 'submit':
              return submit(moved, entry, `c${index}`, treatment);
            case 'close':
            case 'open':
              return hear(moved, entry, kind === 'close');
            case 'late':
              return performLate(moved);
            case 'restart':
              return { ...moved, entries: moved.entries.with(entry, createIntake()) };
            default:
              return step(moved, entry, { kind: 'tick' }, treatment);
          }
        };
        const next = act();
        const isRefused = next.replies
          .slice(world.replies.length)
          .some((reply) => reply.kind === 'notAccepted' && reply.retryAfterMs === RETRY_AFTER_MS);
        if (isRefused) {
          const settled = [100, 100, 500, 100].reduce(later, performLate(next));
          expect(isStored(settled)).to.equal(false);
        }
        return next;
      }, startWorld());
    }),
    { seed: 48, numRuns: 1_000 },
  );
});
