import { expect } from 'chai';
import type { RowCommitResult, StoredRow } from '@bronzeyoke/ports';
import type { IntakeEffect, IntakeEvent, IntakeState } from '@bronzeyoke/intake';
import { createIntake, selectQueue, stepIntake } from '@bronzeyoke/intake';
import { jobKey, progressKey, WITHDRAWAL_KEEP_MS, withdrawalKey } from '@bronzeyoke/scheduler';
import { JOB } from './fixture';

interface Fixture {
  readonly state: IntakeState;
  readonly effects: readonly IntakeEffect[];
  readonly nowMs: number;
}

const START: Fixture = { state: createIntake(), effects: [], nowMs: 0 };

function dispatch(fixture: Fixture, event: IntakeEvent, afterMs = 0): Fixture {
  const nowMs = fixture.nowMs + afterMs;
  const step = stepIntake(fixture.state, event, { nowMs, random: 0 });
  return { state: step.state, effects: step.effects, nowMs };
}

function submit(fixture: Fixture, callId: string, silentMs = 0): Fixture {
  return dispatch(fixture, { kind: 'submit', callId, job: JOB, timeoutMs: 3_000, silentMs });
}

function finish(fixture: Fixture, callId: string, result: RowCommitResult): Fixture {
  return dispatch(fixture, { kind: 'commitDone', callId, result, wallMs: 0 });
}

function replies(fixture: Fixture): readonly string[] {
  return fixture.effects.flatMap((effect) => (effect.kind === 'reply' ? [effect.reply.kind] : []));
}

// Guards against accepting a job that is lost in a crash.
it('intake: a job is accepted once it is stored', () => {
  const sent = submit(START, 'c1');
  expect(replies(sent)).to.deep.equal([]);
  expect(replies(finish(sent, 'submit-0', { kind: 'committed', version: 1 }))).to.deep.equal([
    'accepted',
  ]);
});

// Guards against storing a repeated submission as a second job.
it('intake: a job that is stored already is accepted again', () => {
  const rows = [{ ...jobKey('job1'), version: 4, value: {} }];
  const fixture = finish(submit(START, 'c1'), 'submit-0', { kind: 'conflict', rows });
  expect(replies(fixture)).to.deep.equal(['accepted']);
});

// Guards against two transactions for a job that is submitted twice at the same time.
it('intake: two requests for a job wait for one transaction', () => {
  const joined = submit(submit(START, 'c1'), 'c2');
  expect(joined.state.inFlight.size).to.equal(1);
  const fixture = finish(joined, 'submit-0', { kind: 'committed', version: 1 });
  expect(replies(fixture)).to.deep.equal(['accepted', 'accepted']);
});

const NO_ROWS = { kind: 'rows', rows: [], version: 9 } as const;

function cancel(fixture: Fixture, callId: string): Fixture {
  return dispatch(fixture, { kind: 'cancel', callId, jobId: 'job1', timeoutMs: 3_000 });
}

/** Answers the reads of a cancellation: there is neither a job nor an outcome. */
function findNothing(fixture: Fixture, callId: string): Fixture {
  const empty = { kind: 'rangeDone', callId, result: NO_ROWS, wallMs: 0 } as const;
  return dispatch(dispatch(fixture, empty), empty);
}

function transactions(fixture: Fixture) {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'commit' ? [effect.transaction] : [],
  );
}

/** Bytes of a transaction that the store takes. */
const TRANSACTION_BYTES = 1_000_000;

// Guards against a transaction of many large jobs that the store refuses for its size.
it('intake: large jobs that wait together are stored in several transactions', () => {
  const payload = 'x'.repeat(48_000);
  const jobs = Array.from({ length: 30 }, (_, index) => ({
    ...JOB,
    jobId: `large${index}`,
    payload,
  }));
  const waiting = jobs.reduce(
    (fixture, job) => {
      const { jobId: callId } = job;
      return dispatch(fixture, { kind: 'submit', callId, job, timeoutMs: 3_000, silentMs: 0 });
    },
    submit(START, 'first'),
  );
  const sent = transactions(finish(waiting, 'submit-0', { kind: 'committed', version: 1 }));
  const sizes = sent.map(({ writes }) => (JSON.stringify(writes).length * 4) / 3);
  expect(sizes).to.have.length(1);
  expect(sizes[0]).to.be.within(TRANSACTION_BYTES / 2, TRANSACTION_BYTES);
});

// Guards against a job that runs because its submission is stored after a cancellation was answered.
it('intake: "no such job" is answered once no submission on its way can be stored', () => {
  const found = findNothing(cancel(START, 'c1'), 'c1');
  expect(replies(found)).to.deep.equal([]);
  expect(transactions(found)).to.deep.equal([
    {
      conditions: [
        { ...jobKey('job1'), version: 0 },
        { ...progressKey('job1'), version: 0 },
      ],
      writes: [{ kind: 'put', ...withdrawalKey('job1'), value: {} }],
    },
  ]);
  expect(replies(finish(found, 'c1', { kind: 'committed', version: 10 }))).to.deep.equal([
    'absent',
  ]);
  const [submission] = transactions(submit(START, 'c2'));
  expect(submission?.conditions).to.deep.include({ ...withdrawalKey('job1'), version: 0 });
});

// Guards against an answer that rests on a withdrawal which may not have been stored.
it('intake: a withdrawal without a reply is repeated before the answer', () => {
  const lost = finish(findNothing(cancel(START, 'c1'), 'c1'), 'c1', { kind: 'unknown' });
  expect(replies(lost)).to.deep.equal([]);
  const again = dispatch(lost, { kind: 'tick' }, 200);
  const stored = findNothing(again, 'c1');
  expect(transactions(stored)).to.have.length(1);
  const late = dispatch(lost, { kind: 'tick' }, 3_000);
  expect(replies(late)).to.deep.equal(['unavailable']);
});

// Guards against a cancellation that misses a job which is stored between its reads and its write.
it('intake: a job that is stored during a withdrawal is cancelled', () => {
  const row = { ...jobKey('job1'), version: 7, value: {} };
  const found = findNothing(cancel(START, 'c1'), 'c1');
  const conflict = finish(found, 'c1', { kind: 'conflict', rows: [row] });
  const seen = dispatch(conflict, {
    kind: 'rangeDone',
    callId: 'c1',
    result: { kind: 'rows', rows: [row], version: 9 },
    wallMs: 0,
  });
  expect(transactions(seen)[0]?.conditions).to.deep.equal([{ ...jobKey('job1'), version: 7 }]);
  expect(replies(finish(seen, 'c1', { kind: 'committed', version: 10 }))).to.deep.equal([
    'cancelled',
  ]);
});

// Guards against a submission that is accepted under a withdrawn id, or repeated until its timeout.
it('intake: a submission under a withdrawn id is refused for as long as that is kept', () => {
  const rows = [{ ...withdrawalKey('job1'), version: 4, value: {} }];
  const refused = finish(submit(START, 'c1'), 'submit-0', { kind: 'conflict', rows });
  expect(refused.effects[0]).to.deep.equal({
    kind: 'reply',
    callId: 'c1',
    reply: { kind: 'notAccepted', retryAfterMs: WITHDRAWAL_KEEP_MS },
  });
  const both = [...rows, { ...progressKey('job1'), version: 5, value: {} }];
  const repeated = finish(submit(START, 'c1'), 'submit-0', { kind: 'conflict', rows: both });
  expect(replies(repeated)).to.deep.equal(['accepted']);
});

// Guards against callers that fill the store with rows of ids that never were.
it('intake: cancellations of unknown ids are limited', () => {
  const ids = Array.from({ length: 100 }, (_, index) => `c${index}`);
  const { count } = ids.reduce(
    (known, callId) => {
      const found = findNothing(cancel(known.fixture, callId), callId);
      return { fixture: found, count: known.count + transactions(found).length };
    },
    { fixture: START, count: 0 },
  );
  expect(count).to.equal(60);
  const last = findNothing(
    cancel(
      ids.reduce((known, id) => findNothing(cancel(known, id), id), START),
      'x',
    ),
    'x',
  );
  expect(replies(last)).to.deep.equal(['unavailable']);
});

// Guards against refusing a job that may have been stored.
it('intake: a job that may have been stored is never refused as not accepted', () => {
  const uncertain = finish(submit(START, 'c1'), 'submit-0', { kind: 'unknown' });
  const resent = dispatch(uncertain, { kind: 'tick' }, 100);
  const refused = finish(resent, 'submit-1', { kind: 'unavailable' });
  expect(replies(dispatch(refused, { kind: 'tick' }, 1_000))).to.deep.equal(['unknown']);
});

// Guards against delayed replies while the store is unavailable.
it('intake: a job is refused soon while the store is unavailable', () => {
  const refused = finish(submit(START, 'c1'), 'submit-0', { kind: 'unavailable' });
  const fixture = dispatch(refused, { kind: 'tick' }, 500);
  expect(replies(fixture)).to.deep.equal(['notAccepted']);
});

// Guards against sending a write that the store cannot confirm.
it('intake: a job is refused without a write while the store is silent', () => {
  const fixture = submit(START, 'c1', 1_500);
  expect(replies(fixture)).to.deep.equal(['notAccepted']);
  expect(fixture.effects.some(({ kind }) => kind === 'commit')).to.equal(false);
});

// Guards against reporting a job as absent that ends between the two reads of its status.
it('intake: a job that ends during a status query is found by its outcome', () => {
  const queried = dispatch(START, {
    kind: 'status',
    callId: 'c1',
    jobId: 'job1',
    timeoutMs: 3_000,
  });
  const emptyRange = { kind: 'rows', rows: [], version: 9 } as const;
  const answer = (
    fixture: Fixture,
    result: Parameters<typeof dispatch>[1] & { kind: 'rangeDone' },
  ): Fixture => dispatch(fixture, result);
  const empty = { kind: 'rangeDone', callId: 'c1', result: emptyRange, wallMs: 0 } as const;
  const readTwice = answer(answer(queried, empty), empty);
  expect(replies(readTwice)).to.deep.equal([]);
  const row = {
    table: 'progress',
    partition: 'main',
    key: 'job1',
    version: 9,
    value: { tasks: {}, outcome: 'complete', endedAtMs: 1 },
  };
  const found = dispatch(readTwice, {
    kind: 'rangeDone',
    callId: 'c1',
    result: { kind: 'rows', rows: [row], version: 9 },
    wallMs: 0,
  });
  expect(found.effects[0]).to.deep.equal({
    kind: 'reply',
    callId: 'c1',
    reply: { kind: 'status', status: 'complete' },
  });
});

/** Returns the reply to a status query whose reads find these rows, one after the other. */
function statusAfter(...reads: readonly (readonly StoredRow[])[]): unknown {
  const queried = dispatch(START, {
    kind: 'status',
    callId: 'c1',
    jobId: 'job1',
    timeoutMs: 3_000,
  });
  const answered = reads.reduce<Fixture>(
    (fixture, rows) =>
      dispatch(fixture, {
        kind: 'rangeDone',
        callId: 'c1',
        result: { kind: 'rows', rows, version: 9 },
        wallMs: 0,
      }),
    queried,
  );
  const [reply] = answered.effects;
  return reply?.kind === 'reply' ? reply.reply : undefined;
}

// Guards against a job that is shown as queued although its tasks have run, or as unknown although it has
// ended, because its progress cannot be read.
it('intake: progress that cannot be read is no sign that a job has not begun or does not exist', () => {
  const unreadable = { ...progressKey('job1'), version: 9, value: { stages: 'later' } };
  const definition = { ...jobKey('job1'), version: 8, value: JOB };
  expect(statusAfter([unreadable], [definition])).to.deep.equal({
    kind: 'status',
    status: 'active',
  });
  expect(statusAfter([unreadable], [], [unreadable])).to.include({ kind: 'unavailable' });
});

// Guards against using counts that a former leader has stored.
it('intake: outdated counts are ignored and the open jobs are counted', () => {
  const queried = dispatch(START, {
    kind: 'pending',
    callId: 'c1',
    queue: 'quick',
    timeoutMs: 3_000,
  });
  const value = { atMs: 1_000, queues: { quick: 0 } };
  const row = { table: 'notes', partition: 'main', key: 'counts', version: 3, value };
  const outdated = dispatch(queried, {
    kind: 'rangeDone',
    callId: 'c1',
    result: { kind: 'rows', rows: [row], version: 3 },
    wallMs: 9_000,
  });
  expect(replies(outdated)).to.deep.equal([]);
  expect(outdated.effects.some(({ kind }) => kind === 'range')).to.equal(true);
});

// Guards against selecting the queue of a shorter prefix.
it('intake: the longest prefix selects the queue', () => {
  const queue = { ...JOB.policy, host: 'a', pathPrefix: '/x/' };
  const longer = { ...queue, queue: 'deep', pathPrefix: '/x/y/' };
  const config = { version: 1, queues: [queue, longer], services: [], maxBodyBytes: 1 };
  expect(selectQueue(config, 'a', '/x/y/1')?.queue).to.equal('deep');
  expect(selectQueue(config, 'a', '/x/1')?.queue).to.equal('quick');
  expect(selectQueue(config, 'b', '/x/1')).to.equal(undefined);
});
