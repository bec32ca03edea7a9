import { expect } from 'chai';
import type { RecentStart, WorkerEndCause } from '@bronzeyoke/wire';
import type { CrashRecord } from '@bronzeyoke/workflow';
import { decodeProgress } from '@bronzeyoke/workflow';
import { progressKey } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  createSuccessor,
  dispatch,
  goneMessage,
  jobOf,
  join,
  lastWritten,
  list,
  listedRun,
  load,
  loggedFields,
  phaseOf,
  place,
  report,
  running,
  runningLong,
  siteOf,
  stageOf,
  submit,
  TASK,
  wait,
  WALL_MS,
  workerKeyFor,
} from './fixture';

const SLOT = '0.0.0';
const PROMPT = 10;
const OTHER = 'job2.0.0.0';

/** Delivers the message that the worker at a site has ended, with the ages of its recent starts. */
function crash(
  fixture: Fixture,
  site: string,
  ages: Readonly<Record<string, number>>,
  cause: WorkerEndCause = 'crashed',
): Fixture {
  const recentStarts = Object.entries(ages).map(([task, ageMs]): RecentStart => {
    const attempt = fixture.state.runs.byTask.get(task)?.attempt ?? 0;
    return { task, attempt, ageMs };
  });
  const message = goneMessage(workerKeyFor(site), recentStarts, cause);
  const wallMs = WALL_MS + fixture.nowMs;
  return dispatch(fixture, { kind: 'received', linkId: `link-${site}`, message, wallMs });
}

function crashesOf(fixture: Fixture, jobId = 'job1'): CrashRecord | undefined {
  return fixture.state.jobs.get(jobId)?.progress.tasks.get(SLOT)?.crashes;
}

/** Returns a leader with workers, on one of which the only task of a job has crashed it. */
function crashedOnce(...sites: readonly string[]): Fixture {
  const placed = place(join(createLeader(), ...sites), jobOf('job1', [stageOf(1)]));
  return commitAll(crash(placed, siteOf(placed, TASK) ?? '', { [TASK]: PROMPT }));
}

function outcomesOf(fixture: Fixture): readonly unknown[] {
  return loggedFields(fixture, 'jobEnded').map(({ outcome, failure }) => [outcome, failure]);
}

// Guards against a second claim of a task in the pass that has claimed a worker for its trial: the task ran
// on a worker that was not chosen for a trial.
it('suspects: a task that gets a trial is claimed once in a pass', () => {
  const tried = crashedOnce('w1', 'w2', 'w3', 'w4');
  expect(tried.state.runs.byTask.get(TASK)?.attempt).to.equal(2);
});

// Guards against a task that is started without a bound because the end of its worker counts for nothing.
it('suspects: a task that crashes two more workers in trials fails its job, once', () => {
  const first = crashedOnce('w1', 'w2', 'w3', 'w4');
  const second = commitAll(crash(first, siteOf(first, TASK) ?? '', { [TASK]: PROMPT }));
  expect(outcomesOf(second)).to.deep.equal([]);
  const third = commitAll(crash(second, siteOf(second, TASK) ?? '', { [TASK]: PROMPT }));
  expect(outcomesOf(third)).to.deep.equal([['failed', 'workersCrashed']]);
  expect(loggedFields(third, 'taskPlaced')).to.have.length(3);
  const later = wait(third, 5_000);
  expect(outcomesOf(later)).to.have.length(1);
  expect(loggedFields(later, 'taskPlaced')).to.have.length(3);
});

// Guards against a count that is lost with the leader.
it('suspects: a new leader goes on counting', () => {
  const stored = decodeProgress(lastWritten(crashedOnce('w1'), progressKey('job1')));
  const task = stored?.tasks.get(SLOT);
  expect(task?.crashes).to.include({ prompt: 1, alone: 0, address: 'w1:1' });
  const tasks = task === undefined ? {} : { [SLOT]: task };
  const loaded = load(createSuccessor(), [jobOf('job1', [stageOf(1)])], { job1: tasks });
  const placed = join(loaded, 'w2', 'w3');
  expect(placed.state.runs.byTask.get(TASK)?.trial?.crashes).to.deep.equal(task?.crashes);
  const crashed = commitAll(crash(placed, siteOf(placed, TASK) ?? '', { [TASK]: PROMPT }));
  const again = commitAll(crash(crashed, siteOf(crashed, TASK) ?? '', { [TASK]: PROMPT }));
  expect(outcomesOf(again)).to.deep.equal([['failed', 'workersCrashed']]);
});

// Guards against a healthy task that is given up because machines crash while it is tried.
it('suspects: a crash well after the start of a trial confirms nothing', () => {
  const first = crashedOnce('w1', 'w2', 'w3', 'w4');
  const second = commitAll(crash(first, siteOf(first, TASK) ?? '', { [TASK]: PROMPT }));
  const third = commitAll(crash(second, siteOf(second, TASK) ?? '', { [TASK]: 600 }));
  expect(crashesOf(third)).to.include({ prompt: 2, slow: 1, alone: 1 });
  expect(outcomesOf(third)).to.deep.equal([]);
});

// Guards against healthy tasks that are suspected because they shared a worker.
it('suspects: a run that was at work for long is not accused', () => {
  const crashed = commitAll(crash(running(), 'w1', {}));
  expect(phaseOf(crashed)).to.equal('waiting');
  expect(crashesOf(crashed)).to.equal(undefined);
});

// Guards against planned ends of workers that count as crashes.
it('suspects: a worker that left accuses nobody', () => {
  const left = commitAll(crash(running(), 'w1', { [TASK]: PROMPT }, 'left'));
  expect(crashesOf(left)).to.equal(undefined);
});

// Guards against silent machines that count as crashes.
it('suspects: a lapsed lease accuses nobody', () => {
  const lapsed = commitAll(advance(runningLong(), 6_000));
  expect(loggedFields(lapsed, 'taskReleased')[0]).to.include({ reason: 'leaseExpired' });
  expect(crashesOf(lapsed)).to.equal(undefined);
});

// Guards against a message that an agent repeats and that counts each time.
it('suspects: a repeated message counts once', () => {
  const ages = { [TASK]: PROMPT };
  const placed = place(join(createLeader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const message = goneMessage(workerKeyFor('w1'), [{ task: TASK, attempt: 1, ageMs: PROMPT }]);
  const again = dispatch(crash(placed, 'w1', ages), {
    kind: 'received',
    linkId: 'link-w1',
    message,
    wallMs: WALL_MS,
  });
  expect(crashesOf(again)).to.include({ prompt: 1, slow: 0 });
});

// Guards against tasks that a suspect takes along with its next worker.
it('suspects: nothing else begins on the worker of a trial', () => {
  const tried = join(crashedOnce('w1'), 'w2');
  expect(siteOf(tried, TASK)).to.equal('w2');
  const other = place(tried, jobOf('job2', [stageOf(1)]));
  expect(siteOf(other, OTHER)).to.equal(undefined);
  const joined = join(other, 'w3');
  expect(siteOf(joined, OTHER)).to.equal('w3');
});

// Guards against a suspect that begins beside tasks that have just begun and would be suspected next.
it('suspects: a trial waits for a worker that has begun nothing lately', () => {
  const filled = place(join(crashedOnce('w1')), jobOf('job2', [stageOf(1)]));
  const busy = join(filled, 'w2');
  const [first, second] = [siteOf(busy, TASK), siteOf(busy, OTHER)];
  expect([first, second].filter((site) => site === 'w2')).to.have.length(1);
  const later = wait(list(busy, 'w2'), 300);
  expect(siteOf(later, TASK)).to.equal('w2');
});

// Guards against workers that stay closed to others, and against a suspicion without an end.
it('suspects: a task that outlives its trial is cleared', () => {
  const tried = join(crashedOnce('w1'), 'w2');
  const waiting = place(tried, jobOf('job2', [stageOf(1)]));
  const listed = list(waiting, 'w2');
  expect(crashesOf(listed)).to.include({ prompt: 1 });
  const proven = list(wait(listed, 200), 'w2');
  expect(crashesOf(proven)).to.equal(undefined);
  expect(loggedFields(proven, 'taskCleared')).to.have.length(1);
  expect(siteOf(commitAll(proven), OTHER)).to.equal('w2');
});

// Guards against a cause that the tasks begun at the same time would hide.
it('suspects: tasks begun together are all tried, each on a worker of its own', () => {
  const placed = place(join(createLeader(), 'w1'), jobOf('job1', [stageOf(3)]));
  const tasks = [0, 1, 2].map((index) => `job1.0.0.${index}`);
  const ages = Object.fromEntries(tasks.map((task) => [task, PROMPT]));
  const crashed = commitAll(crash(placed, 'w1', ages));
  expect(crashesOf(crashed)).to.include({ prompt: 1, alone: 0 });
  const tried = join(crashed, 'w2', 'w3', 'w4');
  const sites = tasks.map((task) => siteOf(tried, task)).filter((site) => site !== undefined);
  expect(new Set(sites).size).to.equal(sites.length);
  expect(sites).to.have.length(2);
});

// Guards against a task that needs longer to crash its workers and is never suspected.
it('suspects: a task that crashes workers after a second is found', () => {
  const sites = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'];
  const placed = place(join(createLeader(), ...sites), jobOf('job1', [stageOf(1)]));
  const crashed = sites.reduce((current) => {
    const site = siteOf(current, TASK);
    return site === undefined ? current : commitAll(crash(current, site, { [TASK]: 1_000 }));
  }, placed);
  expect(outcomesOf(crashed)).to.deep.equal([['failed', 'workersCrashed']]);
  expect(loggedFields(crashed, 'taskPlaced').length).to.be.at.most(5);
});

// Guards against a lasting task that is given up after a day of ordinary crashes.
it('suspects: a lasting task is not accused of later crashes', () => {
  const job = jobOf('job1', [stageOf(1, { isLasting: true })]);
  const sites = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7', 'w8'];
  const crashed = sites.reduce(
    (current) => {
      const site = siteOf(current, TASK);
      return site === undefined ? current : commitAll(crash(current, site, { [TASK]: 1_000 }));
    },
    place(join(createLeader(), ...sites), job),
  );
  expect(outcomesOf(crashed)).to.deep.equal([]);
  expect(crashesOf(crashed)).to.equal(undefined);
});

// Guards against a run that is taken to be alive because its worker listed it before the crash.
it('suspects: a listed run that ends its worker is accused', () => {
  const listed = report(place(join(createLeader(), 'w1'), jobOf('job1', [stageOf(1)])), 'w1', {
    running: [listedRun(TASK, 1)],
    lastOrder: 1,
  });
  expect(crashesOf(commitAll(crash(listed, 'w1', { [TASK]: PROMPT })))).to.include({ prompt: 1 });
});

// Guards against a job of a cancelled or ended task that a late message brings back.
it('suspects: a message about an ended job changes nothing', () => {
  const placed = place(join(createLeader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const done = list(placed, 'w1', { [TASK]: 'done' });
  const late = commitAll(crash(done, 'w1', { [TASK]: PROMPT }));
  expect(outcomesOf(late)).to.deep.equal([['complete', undefined]]);
  expect(submit(late, jobOf('job1', [stageOf(1)])).state.jobs.has('job1')).to.equal(false);
});
