import { expect } from 'chai';
import { countQueuedJobs, LEADER_KEY, LEASE_KEY } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  commit,
  commitAll,
  dispatch,
  createFollower,
  inFlight,
  jobOf,
  createLeader,
  listedRun,
  phaseOf,
  report,
  running,
  runningLong,
  sentMessages,
  stageOf,
  submit,
  TASK,
  TIMES,
  WALL_MS,
  workerKeyFor,
} from './fixture';

// Guards against a start whose claim a crash would lose.
it('sends no start before its claim is stored', () => {
  const placed = submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(2)]));
  expect(sentMessages(placed, 'start')).to.have.length(0);
  expect(sentMessages(commitAll(placed), 'start')).to.have.length(2);
});

// Guards against an acknowledged end that a crash would lose, so that the task would run again.
it('acknowledges no end before it is stored', () => {
  const ended = report(running(), 'w1', {
    ended: [{ sequence: 7, task: TASK, attempt: 1, end: 'done', checkpoint: '' }],
    lastOrder: 1,
  });
  expect(sentMessages(ended, 'acknowledge')).to.have.length(0);
  const stored = commitAll(ended);
  expect(sentMessages(stored, 'acknowledge')).to.have.length(1);
  expect(stored.state.ended.has('job1')).to.equal(true);
});

// Guards against a late write of an earlier transaction that overwrites a later one.
it('makes every transaction conditional on the previous one', () => {
  const first = advance(createLeader(), TIMES.renewMs);
  const before = inFlight(first).transaction.conditions;
  const second = advance(commit(first), TIMES.renewMs);
  const after = inFlight(second).transaction.conditions;
  const leaseOf = (rows: typeof before) => rows.find(({ table }) => table === LEASE_KEY.table);
  expect(leaseOf(after)?.version).to.be.greaterThan(leaseOf(before)?.version ?? 0);
});

// Guards against a transaction that counts as failed although it took effect and its reply was lost.
it('recognises its own transaction after a lost reply', () => {
  const sentOnce = submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const { callId } = inFlight(sentOnce);
  const wallMs = WALL_MS;
  const lost = dispatch(sentOnce, {
    kind: 'commitDone',
    callId,
    result: { kind: 'unknown' },
    wallMs,
  });
  const again = advance(lost, 100);
  const { state } = again;
  const rows = [
    { ...LEADER_KEY, version: state.leaderVersion, value: state.leader },
    {
      ...LEASE_KEY,
      version: 99,
      value: { entryId: 'entry-1', number: state.leaseNumber + 1, isReleased: false },
    },
  ];
  const settled = dispatch(again, {
    kind: 'commitDone',
    callId: inFlight(again).callId,
    result: { kind: 'conflict', rows },
    wallMs,
  });
  expect(settled.state.phase).to.equal('leading');
  expect(settled.state.leaseVersion).to.equal(99);
  expect(sentMessages(settled, 'start')).to.have.length(1);
});

// Guards against two leaders: one that finds another term in the store has to stop.
it('stops leading when another entry holds the lease', () => {
  const fixture = advance(createLeader(), TIMES.renewMs);
  const rows = [
    {
      ...LEADER_KEY,
      version: 50,
      value: { entryId: 'entry-2', host: 'h2', port: 1, term: 9 },
    },
  ];
  const { callId } = inFlight(fixture);
  const result = { kind: 'conflict', rows } as const;
  const deposed = dispatch(fixture, { kind: 'commitDone', callId, result, wallMs: WALL_MS });
  expect(deposed.state.phase).to.equal('following');
  expect(deposed.state.jobs.size).to.equal(0);
});

// Guards against a takeover from a leader whose renewals this entry could not read.
it('does not count time without replies towards a takeover', () => {
  const row = {
    ...LEASE_KEY,
    version: 10,
    value: { entryId: 'entry-2', number: 4, isReleased: false },
  };
  const rows = { kind: 'rows', rows: [row], version: 10 } as const;
  const poll = (
    fixture: Fixture,
    result: typeof rows | { readonly kind: 'unavailable' },
  ): Fixture =>
    dispatch(advance(fixture, 400), { kind: 'rangeDone', callId: 'poll', result, wallMs: WALL_MS });
  const polledOnce = poll(createFollower(), rows);
  const unanswered = Array.from({ length: 8 }).reduce<Fixture>(
    (fixture) => poll(fixture, { kind: 'unavailable' }),
    polledOnce,
  );
  expect(poll(unanswered, rows).state.phase).to.equal('following');
  const answered = Array.from({ length: 6 }).reduce<Fixture>(
    (fixture) => poll(fixture, rows),
    polledOnce,
  );
  expect(answered.state.phase).to.equal('claiming');
});

// Guards against a second run of a task while the lease of its worker may still be valid.
it('releases the tasks of a silent worker only after its lease', () => {
  const silent = advance(runningLong(), TIMES.agentLeaseMs);
  expect(phaseOf(silent)).to.equal('running');
  expect(phaseOf(advance(commitAll(silent), TIMES.marginMs + 10))).to.equal('waiting');
});

// Guards against a lease that is extended twice from one value of the worker's clock.
it('grants one lease for one clock value', () => {
  const first = report(createLeader(), 'w1', { clockMs: 500 });
  const second = report(advance(first, 200), 'w1', { clockMs: 500 });
  expect(sentMessages(second, 'grant')).to.have.length(1);
});

// Guards against leases granted by a leader that has not reached the store for long.
it('grants no lease after its grant window', () => {
  const late = advance(commitAll(advance(createLeader(), 100)), TIMES.grantWindowMs + 1_000);
  expect(sentMessages(report(late, 'w1'), 'grant')).to.have.length(0);
});

// Guards against a task that waits forever because its start order was lost with the agent.
it('releases a run that the agent does not list', () => {
  const fixture = report(advance(running(), 100), 'w1', { lastOrder: 1 });
  expect(phaseOf(fixture)).to.be.oneOf(['waiting', 'claimed']);
  expect(
    fixture.effects.some((effect) => effect.kind === 'log' && effect.event === 'taskReleased'),
  ).to.equal(true);
});

// Guards against a second run while the first order may still take effect.
it('keeps a run whose order is pending', () => {
  const placed = commitAll(submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)])));
  const pending = [{ task: TASK, attempt: 1 }];
  expect(phaseOf(report(advance(placed, 100), 'w1', { pending, lastOrder: 1 }))).to.equal(
    'claimed',
  );
});

// Guards against tasks that wait for the lease of a worker although it has restarted.
it('releases tasks at once when a later instance of the worker reports', () => {
  const fixture = report(advance(running(), 100), 'w1', { bornAtMs: 900 });
  expect(fixture.state.workers.has(workerKeyFor('w1'))).to.equal(false);
  expect(phaseOf(fixture)).to.be.oneOf(['waiting', 'claimed']);
});

// Guards against a task that starts in a domain that operators have taken out.
it('places nothing in a domain that is out', () => {
  const out = dispatch(report(createLeader(), 'w1'), {
    kind: 'domainsOut',
    domains: new Set(['north']),
    ageMs: 0,
  });
  const fixture = commitAll(submit(out, jobOf('job1', [stageOf(1)])));
  expect(sentMessages(fixture, 'start')).to.have.length(0);
});

// Guards against a stage that starts before the one it depends on is done.
it('starts a stage only when the earlier ones are done', () => {
  const job = jobOf('job1', [stageOf(1), stageOf(2, { dependsOn: [0] })]);
  const placed = commitAll(submit(report(createLeader(), 'w1'), job));
  expect(sentMessages(placed, 'start')).to.have.length(1);
  const ended = report(advance(placed, 100), 'w1', {
    ended: [{ sequence: 1, task: TASK, attempt: 1, end: 'done', checkpoint: '' }],
    lastOrder: 1,
  });
  expect(sentMessages(commitAll(ended), 'start')).to.have.length(3);
});

// Guards against a gang of which only a part is started.
it('places a gang whole or not at all', () => {
  const gang = jobOf('job1', [stageOf(6, { isGang: true })]);
  const half = commitAll(submit(report(createLeader(), 'w1'), gang));
  expect(sentMessages(half, 'start')).to.have.length(0);
  expect(sentMessages(commitAll(report(half, 'w2')), 'start')).to.have.length(6);
});

// Guards against a job that is retried forever, and against one that fails too early.
it('fails a job after its last attempt', () => {
  const fail = (fixture: Fixture, attempt: number): Fixture =>
    commitAll(
      report(advance(fixture, 1_000), 'w1', {
        ended: [{ sequence: attempt, task: TASK, attempt, end: 'failed', checkpoint: '' }],
        lastOrder: attempt,
      }),
    );
  const once = commitAll(advance(fail(running(), 1), 1_000));
  expect(sentMessages(once, 'start')).to.have.length(2);
  expect(fail(once, 2).state.ended.has('job1')).to.equal(true);
});

// Guards against work that continues after its job was cancelled.
it('stops the runs of a cancelled job', () => {
  const row = { table: 'job', partition: 'main', key: 'job1/cancel', version: 40, value: {} };
  const fixture = dispatch(running(), {
    kind: 'jobRows',
    isFull: false,
    rows: [row],
    wallMs: WALL_MS,
  });
  expect(sentMessages(fixture, 'stop')).to.have.length(1);
  expect(fixture.state.orphans.byTask.has(`${TASK}#1`)).to.equal(true);
  const gone = report(advance(fixture, 300), 'w1', { lastOrder: 1 });
  expect(gone.state.orphans.byTask.has(`${TASK}#1`)).to.equal(false);
});

// Guards against a count of queued jobs that leaves out those claimed before a power loss.
it('counts a job as queued until one of its tasks has run', () => {
  const placed = commitAll(submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)])));
  expect(countQueuedJobs(placed.state)).to.deep.equal({ quick: 1 });
  expect(countQueuedJobs(running().state)).to.deep.equal({});
});

// Guards against a job that hangs on a worker that makes no progress.
it('moves a stalled task', () => {
  const stalled = report(advance(running(), 3_000), 'w1', {
    running: [listedRun(TASK, 1)],
    lastOrder: 1,
  });
  expect(sentMessages(stalled, 'stop')).to.have.length(1);
});

// Guards against a worker that uses up the attempts of every job.
it('quarantines a worker that fails three jobs in a row', () => {
  const jobs = ['job1', 'job2', 'job3'].map((jobId) => jobOf(jobId, [stageOf(1)]));
  const placed = commitAll(jobs.reduce(submit, report(createLeader(), 'w1')));
  const ended = jobs.map(({ jobId }, index) => ({
    sequence: index + 1,
    task: `${jobId}.0.0.0`,
    attempt: 1,
    end: 'failed' as const,
    checkpoint: '',
  }));
  const failed = commitAll(report(advance(placed, 500), 'w1', { ended, lastOrder: 3 }));
  const later = commitAll(advance(failed, 1_000));
  expect(sentMessages(later, 'start')).to.have.length(3);
});

// Guards against work that is done again although its success is reported before the next claim.
it('accepts the success of a run after its lease has expired', () => {
  const expired = advance(runningLong(), TIMES.agentLeaseMs + TIMES.marginMs + 10);
  expect(phaseOf(expired)).to.equal('waiting');
  const back = report(expired, 'w1', {
    ended: [{ sequence: 1, task: TASK, attempt: 1, end: 'done', checkpoint: '' }],
    lastOrder: 1,
  });
  expect(commitAll(back).state.ended.has('job1')).to.equal(true);
});

// Guards against a second run of a task after a partition delivers a report on an old connection.
it('ignores reports on a connection that a newer one has replaced', () => {
  const before = report(createLeader(), 'w1');
  const placed = commitAll(
    submit(report(before, 'w1', { link: 'link-new' }), jobOf('job1', [stageOf(1)])),
  );
  const runs = { running: [listedRun(TASK, 1)], lastOrder: 1, link: 'link-new' };
  const started = report(advance(placed, 100), 'w1', runs);
  const late = report(advance(started, 100), 'w1', { lastOrder: 9, link: 'link-w1' });
  expect(phaseOf(late)).to.equal('running');
});

// Guards against a claim that is never ordered because its agent was disconnected when it was stored.
it('releases a claim whose agent is disconnected when it is stored', () => {
  const claimed = submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const disconnected = commitAll(dispatch(claimed, { kind: 'linkClosed', linkId: 'link-w1' }));
  expect(sentMessages(disconnected, 'start')).to.have.length(0);
  const back = commitAll(report(advance(disconnected, 300), 'w1', { link: 'link-new' }));
  expect(sentMessages(back, 'start')).to.have.length(1);
});
