import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  advance,
  answerReads,
  commit,
  commitAll,
  createLeader,
  createLoading,
  dispatch,
  goneMessage,
  inFlight,
  jobOf,
  loggedFields,
  phaseOf,
  report,
  running,
  sentMessages,
  stageOf,
  submit,
  TIMES,
  WALL_MS,
  workerKeyFor,
} from './fixture';

/** Returns a leader to which an agent reported its worker as gone before the load was done. */
function loadWithGoneWorker(): Fixture {
  const wallMs = WALL_MS;
  const workerKey = workerKeyFor('w1');
  const informed = dispatch(dispatch(createLoading(), { kind: 'linkOpened', linkId: 'link-w1' }), {
    kind: 'received',
    linkId: 'link-w1',
    message: goneMessage(workerKey),
    wallMs,
  });
  const task = { phase: 'running', attempt: 1, failures: 0, workerKey };
  const row = { table: 'progress', partition: 'main', key: 'job1', version: 9 };
  const progressRows = [{ ...row, value: { tasks: { '0.0.0': task } } }];
  const read = answerReads(informed, progressRows, wallMs);
  const rows = [
    {
      table: 'job',
      partition: 'main',
      key: 'job1/job',
      version: 8,
      value: jobOf('job1', [stageOf(1)]),
    },
  ];
  return dispatch(read, { kind: 'jobRows', isFull: true, rows, wallMs });
}

// Guards against tasks that wait for a lease because their worker left while a new leader was loading.
it('handles a worker that leaves while the leader is loading', () => {
  const begun = loadWithGoneWorker();
  expect(begun.state.phase).to.equal('leading');
  expect(phaseOf(advance(begun, 50))).to.equal('waiting');
});

// Guards against an agent that stops before a new leader has stored what it was told while it loaded.
it('confirms a worker that left while the leader was loading after the release is stored', () => {
  const begun = advance(loadWithGoneWorker(), 50);
  expect(phaseOf(begun)).to.equal('waiting');
  expect(sentMessages(begun, 'goneRecorded')).to.have.length(0);
  const writes = inFlight(begun).transaction.writes.filter(({ table }) => table === 'progress');
  expect(writes).to.have.length(1);
  expect(sentMessages(commit(begun), 'goneRecorded')).to.have.length(1);
});

function reportGone(fixture: Fixture, site: string): Fixture {
  const message = goneMessage(workerKeyFor(site));
  const wallMs = WALL_MS + fixture.nowMs;
  return dispatch(fixture, { kind: 'received', linkId: `link-${site}`, message, wallMs });
}

// Guards against an agent that stops before it is stored that the tasks of its worker wait again.
it('confirms a gone worker once its tasks are stored as released', () => {
  const gone = reportGone(running(), 'w1');
  expect(phaseOf(gone)).to.equal('waiting');
  expect(sentMessages(gone, 'goneRecorded')).to.have.length(0);
  const stored = commit(gone);
  expect(sentMessages(stored, 'goneRecorded')).to.deep.equal([
    {
      kind: 'send',
      linkId: 'link-w1',
      message: { kind: 'goneRecorded', workerKey: workerKeyFor('w1') },
    },
  ]);
});

// Guards against an agent that waits until its deadline because the leader had nothing to release,
// and against a confirmation by a leader that has been replaced without knowing it.
it('confirms a gone worker that it does not know, after a transaction', () => {
  const linked = dispatch(createLeader(), { kind: 'linkOpened', linkId: 'link-w9' });
  const gone = reportGone(linked, 'w9');
  expect(sentMessages(gone, 'goneRecorded')).to.have.length(0);
  expect(sentMessages(commit(gone), 'goneRecorded')).to.have.length(1);
});

// Guards against a queue of confirmations that grows with each repeat while the store is down.
it('confirms a repeated message about a gone worker once', () => {
  const busy = advance(running(), TIMES.renewMs);
  const gone = reportGone(reportGone(busy, 'w1'), 'w1');
  expect(sentMessages(commitAll(gone), 'goneRecorded')).to.have.length(1);
});

// Guards against agents that look for another leader while this one loads its state.
it('answers a report during the load with its own address', () => {
  const loading = createLoading();
  const reported = report(loading, 'w1');
  const before = sentMessages(loading, 'leader').length;
  // One message greets the new connection, the other one answers the report.
  expect(sentMessages(reported, 'leader')).to.have.length(before + 2);
});

/** Returns a leader with two tasks on w1, whose agent says that only the second may still begin. */
function endedWithOpenRun(): Fixture {
  const placed = commitAll(submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(2)])));
  const openRuns = [{ task: 'job1.0.0.1', attempt: 1 }];
  const end = {
    workerKey: workerKeyFor('w1'),
    cause: 'crashed',
    reason: 'restarted',
    recentStarts: [],
  } as const;
  return dispatch(placed, {
    kind: 'received',
    linkId: 'link-w1',
    message: { kind: 'workerEnded', openRuns, ...end },
    wallMs: WALL_MS,
  });
}

function workerOf(fixture: Fixture, slot: string): string | undefined {
  return fixture.state.jobs.get('job1')?.progress.tasks.get(slot)?.workerKey;
}

// Guards against runs that wait for seconds because the order of another one is open.
it('releases the runs of an ended worker that can no longer begin', () => {
  const ended = report(endedWithOpenRun(), 'w2');
  const placed = commitAll(advance(ended, 50));
  expect(workerOf(placed, '0.0.0')).to.equal(workerKeyFor('w2'));
  expect(workerOf(placed, '0.0.1')).to.equal(workerKeyFor('w1'));
});

// Guards against a task that ran twice and whose release can't be traced to the sign behind it.
it('logs what the agent takes as the proof of an end', () => {
  const [ended] = loggedFields(endedWithOpenRun(), 'workerGone');
  expect(ended).to.include({ reason: 'workerEnded', endReason: 'restarted', openRuns: 1 });
  const gone = reportGone(running(), 'w1');
  const [fields] = loggedFields(gone, 'workerGone');
  expect(fields).to.include({ reason: 'workerGone', endReason: 'otherWorker', cause: 'crashed' });
});

// Guards against an ended worker that looks like the emptiest one and is given task after task.
it('places nothing on a worker that has ended', () => {
  const ended = endedWithOpenRun();
  const placed = commitAll(advance(commitAll(ended), 500));
  expect(workerOf(placed, '0.0.0')).to.equal(undefined);
  expect(sentMessages(placed, 'start')).to.have.length(2);
});

// Guards against a task that is ordered on one worker again and again that its agent can't reach.
it('places nothing on a worker that its agent cannot reach until the next report', () => {
  const placed = commitAll(submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)])));
  const run = { task: 'job1.0.0.0', attempt: 1 };
  const refused = dispatch(placed, {
    kind: 'received',
    linkId: 'link-w1',
    message: { kind: 'refused', workerKey: workerKeyFor('w1'), run, reason: 'unreachable' },
    wallMs: WALL_MS,
  });
  const later = commitAll(advance(commitAll(refused), 500));
  expect(workerOf(later, '0.0.0')).to.equal(undefined);
  const reported = commitAll(advance(report(later, 'w1'), 50));
  expect(workerOf(reported, '0.0.0')).to.equal(workerKeyFor('w1'));
});

// Guards against a second run of a task whose order a later instance may still carry out.
it('keeps an open run until its worker is gone', () => {
  const ended = commitAll(report(endedWithOpenRun(), 'w2'));
  const gone = dispatch(ended, {
    kind: 'received',
    linkId: 'link-w1',
    message: goneMessage(workerKeyFor('w1')),
    wallMs: WALL_MS,
  });
  expect(workerOf(ended, '0.0.1')).to.equal(workerKeyFor('w1'));
  expect(workerOf(commitAll(advance(commitAll(gone), 50)), '0.0.1')).to.equal(workerKeyFor('w2'));
});

// Guards against a confirmation, after which the agent forgets the worker, while rows of runs that were
// released before still assign it tasks.
it('confirms a gone worker after all rows when some of its runs were released before', () => {
  const recentStarts = [{ task: 'job1.0.0.1', attempt: 1, ageMs: 10 }];
  const gone = dispatch(endedWithOpenRun(), {
    kind: 'received',
    linkId: 'link-w1',
    message: goneMessage(workerKeyFor('w1'), recentStarts),
    wallMs: WALL_MS,
  });
  const confirmations = gone.state.pendingWrites.actions.filter(
    ({ action }) => action.kind === 'confirmGone',
  );
  expect(confirmations.toArray().map(({ scope }) => scope.kind)).to.deep.equal(['all']);
});
