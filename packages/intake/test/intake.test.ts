import { expect } from 'chai';
import type { RowCommitResult } from '@bronzeyoke/ports';
import type { IntakeEffect, IntakeEvent, IntakeState } from '@bronzeyoke/intake';
import { createIntake, selectQueue, stepIntake } from '@bronzeyoke/intake';
import { jobKey } from '@bronzeyoke/scheduler';
import type { WorkflowJob } from '@bronzeyoke/workflow';

interface Fixture {
  readonly state: IntakeState;
  readonly effects: readonly IntakeEffect[];
  readonly nowMs: number;
}

const START: Fixture = { state: createIntake(), effects: [], nowMs: 0 };

const POLICY = {
  queue: 'quick',
  service: 'quoter',
  priority: 0,
  maxAttempts: 2,
  slackFactor: 2,
  targetDurationMs: 1_000,
  needsAdvice: false,
};

function jobOf(jobId: string): WorkflowJob {
  return { jobId, policy: POLICY, payload: 'work', stages: [], acceptedAtMs: 0 };
}

function dispatch(fixture: Fixture, event: IntakeEvent, afterMs = 0): Fixture {
  const nowMs = fixture.nowMs + afterMs;
  const step = stepIntake(fixture.state, event, { nowMs, random: 0 });
  return { state: step.state, effects: step.effects, nowMs };
}

function submit(fixture: Fixture, callId: string, silentMs = 0): Fixture {
  const job = jobOf('job1');
  return dispatch(fixture, { kind: 'submit', callId, job, timeoutMs: 3_000, silentMs });
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
  const queue = { ...POLICY, host: 'a', pathPrefix: '/x/' };
  const longer = { ...queue, queue: 'deep', pathPrefix: '/x/y/' };
  const config = { version: 1, queues: [queue, longer], services: [], maxBodyBytes: 1 };
  expect(selectQueue(config, 'a', '/x/y/1')?.queue).to.equal('deep');
  expect(selectQueue(config, 'a', '/x/1')?.queue).to.equal('quick');
  expect(selectQueue(config, 'b', '/x/1')).to.equal(undefined);
});
