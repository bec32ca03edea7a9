import { expect } from 'chai';
import type { TaskProgress, WorkflowJob } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  advance,
  commit,
  createLoading,
  dispatch,
  jobOf,
  lasting,
  listedRun,
  load,
  report,
  sized,
  submit,
  workerKeyFor,
} from './fixture';
import { MEASURED_COSTS, passMs } from './simcpu';
import { AWAY_MS } from './siminvariants';

/** The smallest entries of the users' grown site. */
const PROCESSORS = 0.324;

/** Twice the length that a pass aims at: the pace of an entry shows only in its passes. */
const MAX_PASS_MS = 200;

const WORKERS = 40;

/** Workers of the largest fleet to design for that one entry of this size may lead. */
const MANY_WORKERS = 350;

const CORES_MILLI = 8_000;

const TURN_MS = 50;
const TURNS_PER_REPORT = 10;

/** A leader whose placement passes take time, with the length of each. */
interface Played {
  readonly workers: number;
  readonly fixture: Fixture;
  readonly passesMs: readonly number[];
}

/** Applies an event to the leader, and lets the time of its placement pass go by. */
function play({ workers, fixture, passesMs }: Played, next: (fixture: Fixture) => Fixture): Played {
  const after = next(fixture);
  const coreMs = passMs(MEASURED_COSTS, fixture.state, after.state, after.nowMs);
  if (coreMs === 0) return { workers, fixture: after, passesMs };
  const durationMs = coreMs / PROCESSORS;
  const later = { ...after, nowMs: after.nowMs + durationMs };
  return {
    workers,
    fixture: dispatch(later, { kind: 'passTook', durationMs }),
    passesMs: [...passesMs, durationMs],
  };
}

/** Delivers the list of a worker of 8 cores with the runs that have been ordered. */
function listRuns(fixture: Fixture, site: string): Fixture {
  const { runs, links } = fixture.state;
  const ordered = runs.byTask.filter(
    ({ workerKey, isOrdered }) => isOrdered && workerKey === workerKeyFor(site),
  );
  const running = [...ordered].map(([task, { attempt }]) =>
    listedRun(task, attempt, { percent: 100 }),
  );
  const lastOrder = links.get(`link-${site}`)?.lastOrder ?? 0;
  return report(fixture, site, { processorsMilli: CORES_MILLI, running, lastOrder });
}

function reportAll(played: Played): Played {
  const sites = Array.from({ length: played.workers }, (_, index) => `w${index}`);
  return sites.reduce(
    (current, site) => play(current, (fixture) => listRuns(fixture, site)),
    played,
  );
}

/** Lets time pass, in which a transaction is stored and the workers report now and then. */
function playTurns(played: Played, turns: number): Played {
  return Array.from({ length: turns }, (_, turn) => turn).reduce((current, turn) => {
    const ticked = play(current, (fixture) => advance(fixture, TURN_MS));
    const stored = ticked.fixture.state.inFlight === undefined ? ticked : play(ticked, commit);
    return turn % TURNS_PER_REPORT === 0 ? reportAll(stored) : stored;
  }, played);
}

const WAITING: TaskProgress = { phase: 'waiting', attempt: 1, failures: 0 };

/** Returns a slow leader that has just loaded jobs, of which the lasting ones have run before. */
function takeOver(jobs: readonly WorkflowJob[], workers = WORKERS): Played {
  const tasks = jobs
    .filter(({ stages }) => stages[0]?.isLasting === true)
    .map(({ jobId, stages }) => {
      const slots = Array.from({ length: stages[0]?.taskCount ?? 0 }, (_, index) => index);
      return [jobId, Object.fromEntries(slots.map((index) => [`0.0.${index}`, WAITING]))] as const;
    });
  const loading = createLoading();
  const { settings } = loading.state;
  const capacity = { ...settings.capacity, processors: PROCESSORS };
  const slow = { ...loading, state: { ...loading.state, settings: { ...settings, capacity } } };
  return { workers, fixture: load(slow, jobs, Object.fromEntries(tasks)), passesMs: [] };
}

function claimedOf({ fixture }: Played, prefix: string): number {
  return fixture.state.runs.byTask.count(({ jobId }) => jobId.startsWith(prefix));
}

function jobsOf(count: number, create: (index: number) => WorkflowJob): readonly WorkflowJob[] {
  return Array.from({ length: count }, (_, index) => create(index));
}

const LASTING_JOBS = jobsOf(10, (index) => lasting(`lasting${index}`, 500, 30));
const SHORT_JOBS = jobsOf(10, (index) => jobOf(`short${index}`, [sized(500, 10)]));

// Guards against a pass over all waiting tasks during which a slow leader handles no report and no
// renewal, so that the leases of its workers end.
it('passbudget: passes of a slow leader stay short while hundreds of tasks wait', () => {
  const before = takeOver([...LASTING_JOBS, ...SHORT_JOBS]);
  const after = playTurns(before, 60);
  expect(Math.max(...after.passesMs)).to.be.lessThan(MAX_PASS_MS);
  expect(claimedOf(after, 'lasting') + claimedOf(after, 'short')).to.equal(400);
  expect(after.fixture.nowMs - before.fixture.nowMs).to.be.lessThan(AWAY_MS);
});

// Guards against tasks that come first only because a pass had no work left for lasting ones, whose room
// they take.
it('passbudget: no other task gets a place before the lasting ones that have run', () => {
  const jobs = [...SHORT_JOBS, ...LASTING_JOBS];
  const turns = Array.from({ length: 20 }).reduce<readonly Played[]>(
    (played) => [...played, playTurns(played.at(-1) ?? takeOver(jobs), 1)],
    [],
  );
  const early = turns.filter((played) => claimedOf(played, 'lasting') < 300);
  expect(early.length).to.be.within(2, turns.length - 1);
  expect(early.map((played) => claimedOf(played, 'short'))).to.deep.equal(early.map(() => 0));
});

// Guards against lasting tasks that fit nowhere and take the work of every pass.
it('passbudget: other tasks get a place beside lasting ones that fit nowhere', () => {
  const hopeless = jobsOf(300, (index) => lasting(`hopeless${index}`, 9_000 + index));
  const after = playTurns(takeOver([...hopeless, ...SHORT_JOBS]), 60);
  expect(claimedOf(after, 'short')).to.equal(100);
});

/** Stages without room beside a task of 4.5 cores, each smaller than the one before. */
const LARGE_JOBS = jobsOf(300, (index) => jobOf(`large${index}`, [sized(8_000 - index)]));

// Guards against stages without a place that take the work of every pass before less urgent ones.
it('passbudget: a less urgent stage gets a place behind many that have none', () => {
  const base = jobsOf(1, () => lasting('base', 4_500, WORKERS));
  const small = jobOf('small', [sized(1_000)]);
  const last = { ...small, policy: { ...small.policy, priority: 1 } };
  const busy = playTurns(takeOver([...base, ...LARGE_JOBS]), 20);
  const after = playTurns(
    play(busy, (fixture) => submit(fixture, last)),
    20,
  );
  expect(Math.max(...after.passesMs)).to.be.lessThan(MAX_PASS_MS);
  expect(claimedOf(after, 'small')).to.equal(1);
});

/** Submits a job, and lets time pass. */
function submitAndPlay(played: Played, job: WorkflowJob, turns: number): Played {
  return playTurns(
    play(played, (fixture) => submit(fixture, job)),
    turns,
  );
}

// Guards against searches in vain for lasting tasks that exceed the work of a pass on a large fleet, so
// that no pass gets to any other task.
it('passbudget: other tasks get a place on a large fleet where lasting ones fit nowhere', () => {
  const hopeless = jobsOf(12, (index) => lasting(`hopeless${index}`, 9_000 + index));
  const busy = playTurns(takeOver(hopeless, MANY_WORKERS), 40);
  const after = submitAndPlay(busy, jobOf('short', [sized(500, 10)]), 50);
  expect(claimedOf(after, 'short')).to.equal(10);
});

// Guards against an urgent job that waits until a backlog of less urgent ones has had its turn.
it('passbudget: an urgent job gets a place before a backlog of less urgent ones', () => {
  const backlog = jobsOf(300, (index) => {
    const job = jobOf(`low${index}`, [sized(25, 4)]);
    return { ...job, policy: { ...job.policy, priority: 1_000 } };
  });
  const busy = playTurns(takeOver(backlog), 3);
  const after = submitAndPlay(busy, jobOf('urgent', [sized(100)]), 10);
  expect(claimedOf(after, 'urgent')).to.equal(1);
  expect(claimedOf(after, 'low')).to.be.lessThan(1_200);
});
