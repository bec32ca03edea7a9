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

function dispatch(lab: Fixture, event: IntakeEvent, afterMs = 0): Fixture {
  const nowMs = lab.nowMs + afterMs;
  const step = stepIntake(lab.state, event, { nowMs, random: 0 });
  return { state: step.state, effects: step.effects, nowMs };
}

function submit(lab: Fixture, callId: string, silentMs = 0): Fixture {
  const job = jobOf('job1');
  return dispatch(lab, { kind: 'submit', callId, job, timeoutMs: 3_000, silentMs });
}

function finish(lab: Fixture, callId: string, result: RowCommitResult): Fixture {
  return dispatch(lab, { kind: 'commitDone', callId, result, wallMs: 0 });
}

function replies(lab: Fixture): readonly string[] {
  return lab.effects.flatMap((effect) => (effect.kind === 'reply' ? [effect.reply.kind] : []));
}

// Guards against an acceptance that a crash would forget.
it('intake: a job is accepted once it is stored', () => {
  const sent = submit(START, 'c1');
  expect(replies(sent)).to.deep.equal([]);
  expect(replies(finish(sent, 'submit-0', { kind: 'committed', version: 1 }))).to.deep.equal([
    'accepted',
  ]);
});

// Guards against a repeat that becomes a second job.
it('intake: a job that is stored already is accepted again', () => {
  const rows = [{ ...jobKey('job1'), version: 4, value: {} }];
  const lab = finish(submit(START, 'c1'), 'submit-0', { kind: 'conflict', rows });
  expect(replies(lab)).to.deep.equal(['accepted']);
});

// Guards against two transactions for one job that arrives twice at once.
it('intake: two requests for a job wait for one transaction', () => {
  const both = submit(submit(START, 'c1'), 'c2');
  expect(both.state.inFlight.size).to.equal(1);
  const lab = finish(both, 'submit-0', { kind: 'committed', version: 1 });
  expect(replies(lab)).to.deep.equal(['accepted', 'accepted']);
});

// Guards against a refusal of a job that may have been stored.
it('intake: a job whose write may have been done is never refused as not accepted', () => {
  const doubtful = finish(submit(START, 'c1'), 'submit-0', { kind: 'unknown' });
  const again = dispatch(doubtful, { kind: 'tick' }, 100);
  const refused = finish(again, 'submit-1', { kind: 'unavailable' });
  expect(replies(dispatch(refused, { kind: 'tick' }, 1_000))).to.deep.equal(['unknown']);
});

// Guards against callers that are held up while the store refuses.
it('intake: a job that the store refuses is refused soon, with a time to come back', () => {
  const refused = finish(submit(START, 'c1'), 'submit-0', { kind: 'unavailable' });
  const lab = dispatch(refused, { kind: 'tick' }, 500);
  expect(replies(lab)).to.deep.equal(['notAccepted']);
});

// Guards against a write whose answer cannot come.
it('intake: a silent store gets no new job', () => {
  const lab = submit(START, 'c1', 1_500);
  expect(replies(lab)).to.deep.equal(['notAccepted']);
  expect(lab.effects.some(({ kind }) => kind === 'commit')).to.equal(false);
});

// Guards against "no such job" for a job that ends between the two reads of its status.
it('intake: a job that ends during the question is found by its outcome', () => {
  const asked = dispatch(START, { kind: 'status', callId: 'c1', jobId: 'job1', timeoutMs: 3_000 });
  const none = { kind: 'rows', rows: [], version: 9 } as const;
  const answer = (
    lab: Fixture,
    result: Parameters<typeof dispatch>[1] & { kind: 'rangeDone' },
  ): Fixture => dispatch(lab, result);
  const empty = { kind: 'rangeDone', callId: 'c1', result: none, wallMs: 0 } as const;
  const twice = answer(answer(asked, empty), empty);
  expect(replies(twice)).to.deep.equal([]);
  const row = {
    table: 'progress',
    partition: 'main',
    key: 'job1',
    version: 9,
    value: { tasks: {}, outcome: 'complete', endedAtMs: 1 },
  };
  const found = dispatch(twice, {
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

// Guards against counts of a leader that is gone.
it('intake: old counts are replaced by a look at the open jobs', () => {
  const asked = dispatch(START, {
    kind: 'pending',
    callId: 'c1',
    queue: 'quick',
    timeoutMs: 3_000,
  });
  const value = { atMs: 1_000, queues: { quick: 0 } };
  const row = { table: 'notes', partition: 'main', key: 'counts', version: 3, value };
  const old = dispatch(asked, {
    kind: 'rangeDone',
    callId: 'c1',
    result: { kind: 'rows', rows: [row], version: 3 },
    wallMs: 9_000,
  });
  expect(replies(old)).to.deep.equal([]);
  expect(old.effects.some(({ kind }) => kind === 'range')).to.equal(true);
});

// Guards against a request that reaches the queue of a shorter prefix.
it('intake: the longest prefix selects the queue', () => {
  const queue = { ...POLICY, host: 'a', pathPrefix: '/x/' };
  const longer = { ...queue, queue: 'deep', pathPrefix: '/x/y/' };
  const config = { version: 1, queues: [queue, longer], services: [], maxBodyBytes: 1 };
  expect(selectQueue(config, 'a', '/x/y/1')?.queue).to.equal('deep');
  expect(selectQueue(config, 'a', '/x/1')?.queue).to.equal('quick');
  expect(selectQueue(config, 'b', '/x/1')).to.equal(undefined);
});
