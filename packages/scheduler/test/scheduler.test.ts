import { expect } from 'chai';
import { LEADER_KEY, LEASE_KEY, countQueuedJobs } from '@bronzeyoke/scheduler';
import type { Lab } from './fixture';
import {
  commit,
  commitAll,
  inFlight,
  follower,
  give,
  jobOf,
  keyOf,
  leader,
  listed,
  report,
  sent,
  stageOf,
  submit,
  TIMES,
  wait,
  WALL_MS,
} from './fixture';

const TASK = 'job1.0.0.0';

/** A leader with one worker and a job of one task that the worker runs. */
function running(changes: Parameters<typeof stageOf>[1] = {}): Lab {
  const placed = commitAll(submit(report(leader(), 'w1'), jobOf('job1', [stageOf(1, changes)])));
  return report(wait(placed, 100), 'w1', { running: [listed(TASK, 1)], lastOrder: 1 });
}

function phaseOf(lab: Lab): string | undefined {
  return lab.state.jobs.get('job1')?.progress.tasks.get('0.0.0')?.phase;
}

// Guards against a start whose claim a crash would forget.
it('sends no start before its claim is stored', () => {
  const placed = submit(report(leader(), 'w1'), jobOf('job1', [stageOf(2)]));
  expect(sent(placed, 'start')).to.have.length(0);
  expect(sent(commitAll(placed), 'start')).to.have.length(2);
});

// Guards against an acknowledged end that a crash would forget, after which the task would run again.
it('acknowledges no end before it is stored', () => {
  const ended = report(running(), 'w1', {
    ended: [{ sequence: 7, task: TASK, attempt: 1, end: 'done', checkpoint: '' }],
    lastOrder: 1,
  });
  expect(sent(ended, 'acknowledge')).to.have.length(0);
  const stored = commitAll(ended);
  expect(sent(stored, 'acknowledge')).to.have.length(1);
  expect(stored.state.ended.has('job1')).to.equal(true);
});

// Guards against a late write of an earlier transaction that overwrites a later one.
it('makes every transaction conditional on the one before', () => {
  const first = wait(leader(), TIMES.renewMs);
  const before = inFlight(first).transaction.conditions;
  const second = wait(commit(first), TIMES.renewMs);
  const after = inFlight(second).transaction.conditions;
  const leaseOf = (rows: typeof before) => rows.find(({ table }) => table === LEASE_KEY.table);
  expect(leaseOf(after)?.version).to.be.greaterThan(leaseOf(before)?.version ?? 0);
});

// Guards against a transaction that is taken for refused although its lost answer hid a success.
it('recognises its own transaction after a lost answer', () => {
  const sentOnce = submit(report(leader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const { callId } = inFlight(sentOnce);
  const wallMs = WALL_MS;
  const lost = give(sentOnce, { kind: 'commitDone', callId, result: { kind: 'unknown' }, wallMs });
  const again = wait(lost, 100);
  const { state } = again;
  const rows = [
    { ...LEADER_KEY, version: state.leaderVersion, value: state.leader },
    {
      ...LEASE_KEY,
      version: 99,
      value: { entryId: 'entry-1', number: state.leaseNumber + 1, isReleased: false },
    },
  ];
  const settled = give(again, {
    kind: 'commitDone',
    callId: inFlight(again).callId,
    result: { kind: 'conflict', rows },
    wallMs,
  });
  expect(settled.state.phase).to.equal('leading');
  expect(settled.state.leaseVersion).to.equal(99);
  expect(sent(settled, 'start')).to.have.length(1);
});

// Guards against two leaders: one that finds another term in the store has to stop.
it('stops leading when another entry holds the lease', () => {
  const lab = wait(leader(), TIMES.renewMs);
  const rows = [
    {
      ...LEADER_KEY,
      version: 50,
      value: { entryId: 'entry-2', host: 'h2', port: 1, term: 9 },
    },
  ];
  const { callId } = inFlight(lab);
  const result = { kind: 'conflict', rows } as const;
  const deposed = give(lab, { kind: 'commitDone', callId, result, wallMs: WALL_MS });
  expect(deposed.state.phase).to.equal('following');
  expect(deposed.state.jobs.size).to.equal(0);
});

// Guards against a takeover from a leader whose renewals this entry could not see.
it('does not count time without answers towards a takeover', () => {
  const row = {
    ...LEASE_KEY,
    version: 10,
    value: { entryId: 'entry-2', number: 4, isReleased: false },
  };
  const rows = { kind: 'rows', rows: [row], version: 10 } as const;
  const poll = (lab: Lab, result: typeof rows | { readonly kind: 'unavailable' }): Lab =>
    give(wait(lab, 400), { kind: 'rangeDone', callId: 'poll', result, wallMs: WALL_MS });
  const seen = poll(follower(), rows);
  const blind = Array.from({ length: 8 }).reduce<Lab>(
    (lab) => poll(lab, { kind: 'unavailable' }),
    seen,
  );
  expect(poll(blind, rows).state.phase).to.equal('following');
  const watched = Array.from({ length: 6 }).reduce<Lab>((lab) => poll(lab, rows), seen);
  expect(watched.state.phase).to.equal('claiming');
});

// Guards against a run that is given away while the worker's lease may still hold.
it('waits for the lease of a silent worker before it gives its tasks away', () => {
  const silent = wait(running(), TIMES.agentLeaseMs);
  expect(phaseOf(silent)).to.equal('running');
  expect(phaseOf(wait(commitAll(silent), TIMES.marginMs + 10))).to.equal('waiting');
});

// Guards against a lease that is prolonged twice from one value of the worker's clock.
it('grants one lease for one clock value', () => {
  const first = report(leader(), 'w1', { clockMs: 500 });
  const second = report(wait(first, 200), 'w1', { clockMs: 500 });
  expect(sent(second, 'grant')).to.have.length(1);
});

// Guards against leases granted by a leader that has not reached the store for long.
it('grants nothing once its right has lapsed', () => {
  const late = wait(commitAll(wait(leader(), 100)), TIMES.grantWindowMs + 1_000);
  expect(sent(report(late, 'w1'), 'grant')).to.have.length(0);
});

// Guards against a task that waits for ever because its start order was lost with the agent.
it('gives back a run that the agent does not know', () => {
  const lab = report(wait(running(), 100), 'w1', { lastOrder: 1 });
  expect(phaseOf(lab)).to.be.oneOf(['waiting', 'claimed']);
  expect(
    lab.effects.some((effect) => effect.kind === 'log' && effect.event === 'taskReleased'),
  ).to.equal(true);
});

// Guards against a second run while the first order may still be carried out.
it('keeps a run whose order is pending', () => {
  const placed = commitAll(submit(report(leader(), 'w1'), jobOf('job1', [stageOf(1)])));
  const pending = [{ task: TASK, attempt: 1 }];
  expect(phaseOf(report(wait(placed, 100), 'w1', { pending, lastOrder: 1 }))).to.equal('claimed');
});

// Guards against tasks that wait for the lease of a worker that is known to have restarted.
it('gives tasks back at once when a later life of the worker reports', () => {
  const lab = report(wait(running(), 100), 'w1', { bornAtMs: 900 });
  expect(lab.state.workers.has(keyOf('w1'))).to.equal(false);
  expect(phaseOf(lab)).to.be.oneOf(['waiting', 'claimed']);
});

// Guards against a task that starts in a domain that operators have taken out.
it('places nothing in a domain that is out', () => {
  const out = give(report(leader(), 'w1'), { kind: 'domainsOut', domains: new Set(['north']) });
  const lab = commitAll(submit(out, jobOf('job1', [stageOf(1)])));
  expect(sent(lab, 'start')).to.have.length(0);
});

// Guards against a stage that starts before the one it depends on is done.
it('starts a stage only when the earlier ones are done', () => {
  const job = jobOf('job1', [stageOf(1), stageOf(2, { dependsOn: [0] })]);
  const placed = commitAll(submit(report(leader(), 'w1'), job));
  expect(sent(placed, 'start')).to.have.length(1);
  const ended = report(wait(placed, 100), 'w1', {
    ended: [{ sequence: 1, task: TASK, attempt: 1, end: 'done', checkpoint: '' }],
    lastOrder: 1,
  });
  expect(sent(commitAll(ended), 'start')).to.have.length(3);
});

// Guards against a gang of which only a part is started.
it('places a gang whole or not at all', () => {
  const gang = jobOf('job1', [stageOf(6, { isGang: true })]);
  const half = commitAll(submit(report(leader(), 'w1'), gang));
  expect(sent(half, 'start')).to.have.length(0);
  expect(sent(commitAll(report(half, 'w2')), 'start')).to.have.length(6);
});

// Guards against a job that is tried for ever, and against one that is given up too early.
it('fails a job after its last attempt', () => {
  const fail = (lab: Lab, attempt: number): Lab =>
    commitAll(
      report(wait(lab, 1_000), 'w1', {
        ended: [{ sequence: attempt, task: TASK, attempt, end: 'failed', checkpoint: '' }],
        lastOrder: attempt,
      }),
    );
  const once = commitAll(wait(fail(running(), 1), 1_000));
  expect(sent(once, 'start')).to.have.length(2);
  expect(fail(once, 2).state.ended.has('job1')).to.equal(true);
});

// Guards against work that goes on after its job was cancelled.
it('stops the runs of a cancelled job', () => {
  const row = { table: 'job', partition: 'main', key: 'job1/cancel', version: 40, value: {} };
  const lab = give(running(), {
    kind: 'jobRows',
    isFull: false,
    rows: [row],
    wallMs: WALL_MS,
  });
  expect(sent(lab, 'stop')).to.have.length(1);
  expect(lab.state.orphans.has(TASK)).to.equal(true);
  const gone = report(wait(lab, 300), 'w1', { lastOrder: 1 });
  expect(gone.state.orphans.has(TASK)).to.equal(false);
});

// Guards against a count of queued jobs that leaves out those claimed before a power loss.
it('counts a job as queued until one of its tasks has run', () => {
  const placed = commitAll(submit(report(leader(), 'w1'), jobOf('job1', [stageOf(1)])));
  expect(countQueuedJobs(placed.state)).to.deep.equal({ quick: 1 });
  expect(countQueuedJobs(running().state)).to.deep.equal({});
});

// Guards against a job that hangs on a worker that makes no progress.
it('moves a task that stands still', () => {
  const still = report(wait(running(), 3_000), 'w1', {
    running: [listed(TASK, 1)],
    lastOrder: 1,
  });
  expect(sent(still, 'stop')).to.have.length(1);
});

// Guards against a worker that uses up the attempts of every job.
it('sets a worker aside that fails three jobs in a row', () => {
  const jobs = ['job1', 'job2', 'job3'].map((jobId) => jobOf(jobId, [stageOf(1)]));
  const placed = commitAll(jobs.reduce(submit, report(leader(), 'w1')));
  const ended = jobs.map(({ jobId }, index) => ({
    sequence: index + 1,
    task: `${jobId}.0.0.0`,
    attempt: 1,
    end: 'failed' as const,
    checkpoint: '',
  }));
  const failed = commitAll(report(wait(placed, 500), 'w1', { ended, lastOrder: 3 }));
  const later = commitAll(wait(failed, 1_000));
  expect(sent(later, 'start')).to.have.length(3);
});

// Guards against tasks that wait for a lease because their worker left while a new leader was reading.
it('hears of a worker that is gone while it still reads the store', () => {
  const wallMs = WALL_MS;
  const empty = { kind: 'rows', rows: [], version: 11 } as const;
  const polled = wait(follower(), 400);
  const claiming = give(polled, { kind: 'rangeDone', callId: 'poll', result: empty, wallMs });
  const won = give(claiming, {
    kind: 'commitDone',
    callId: 'claim',
    result: { kind: 'committed', version: 11 },
    wallMs,
  });
  const workerKey = keyOf('w1');
  const told = give(give(won, { kind: 'linkOpened', linkId: 'l' }), {
    kind: 'received',
    linkId: 'l',
    message: { kind: 'workerGone', workerKey },
    wallMs,
  });
  const task = { phase: 'running', attempt: 1, failures: 0, workerKey };
  const row = { table: 'progress', partition: 'main', key: 'job1', version: 9 };
  const result = {
    kind: 'rows',
    rows: [{ ...row, value: { tasks: { '0.0.0': task } } }],
    version: 11,
  } as const;
  const read = give(give(told, { kind: 'rangeDone', callId: 'progress', result, wallMs }), {
    kind: 'rangeDone',
    callId: 'notes',
    result: empty,
    wallMs,
  });
  const rows = [
    {
      table: 'job',
      partition: 'main',
      key: 'job1/job',
      version: 8,
      value: jobOf('job1', [stageOf(1)]),
    },
  ];
  const begun = give(read, { kind: 'jobRows', isFull: true, rows, wallMs });
  expect(begun.state.phase).to.equal('leading');
  expect(phaseOf(wait(begun, 50))).to.equal('waiting');
});

// Guards against work that is done again although its success is known before its next claim.
it('takes the success of a run whose lease was thought to be over', () => {
  const away = wait(running(), TIMES.agentLeaseMs + TIMES.marginMs + 10);
  expect(phaseOf(away)).to.equal('waiting');
  const back = report(away, 'w1', {
    ended: [{ sequence: 1, task: TASK, attempt: 1, end: 'done', checkpoint: '' }],
    lastOrder: 1,
  });
  expect(commitAll(back).state.ended.has('job1')).to.equal(true);
});

// Guards against a second run of a task after a cut network delivers a report on an old connection.
it('ignores reports on a connection that a newer one has replaced', () => {
  const before = report(leader(), 'w1');
  const placed = commitAll(
    submit(report(before, 'w1', { link: 'link-new' }), jobOf('job1', [stageOf(1)])),
  );
  const runs = { running: [listed(TASK, 1)], lastOrder: 1, link: 'link-new' };
  const started = report(wait(placed, 100), 'w1', runs);
  const late = report(wait(started, 100), 'w1', { lastOrder: 9, link: 'link-w1' });
  expect(phaseOf(late)).to.equal('running');
});

// Guards against a claim that is never ordered because its agent was away when it was stored.
it('gives a claim back whose agent is gone when it is stored', () => {
  const claimed = submit(report(leader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const away = commitAll(give(claimed, { kind: 'linkClosed', linkId: 'link-w1' }));
  expect(sent(away, 'start')).to.have.length(0);
  const back = commitAll(report(wait(away, 300), 'w1', { link: 'link-new' }));
  expect(sent(back, 'start')).to.have.length(1);
});
