import { expect } from 'chai';
import type { AdmissionNotice } from '@bronzeyoke/jobadmission';
import { ADMISSION_KEY, DEFAULT_POLICY } from '@bronzeyoke/scheduler';
import type { Stage, WorkflowJob } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  commitAll,
  createLeader,
  dispatch,
  jobOf,
  lastWritten,
  listedRun,
  loggedFields,
  report,
  stageOf,
  submit,
  wait,
  WALL_MS,
  workerKeyFor,
} from './fixture';

const FILLS = { fillsIdle: true, image: 'render' };
const LASTING = { isLasting: true, image: 'feed' };

function renew(fixture: Fixture, sites: readonly string[]): Fixture {
  return sites.reduce(
    (current, site) => commitAll(report(current, site, { domain: site.slice(0, 1) })),
    fixture,
  );
}

/** Returns a leader that limits admission, with workers of 4 cores in two domains. */
function limitingLeader(sites: readonly string[]): Fixture {
  const leader = createLeader();
  const policy = { ...DEFAULT_POLICY, limitsAdmission: true };
  const settings = { ...leader.state.settings, policy };
  return renew({ ...leader, state: { ...leader.state, settings } }, sites);
}

/** Lets time pass in steps in which the given workers report. */
function live(fixture: Fixture, forMs: number, sites: readonly string[]): Fixture {
  return Array.from({ length: forMs / 250 }).reduce<Fixture>(
    (current) => commitAll(renew(wait(current, 250), sites)),
    fixture,
  );
}

function queued(jobId: string, queue: string, stages: readonly Stage[]): WorkflowJob {
  const job = jobOf(jobId, stages);
  return {
    ...job,
    policy: { ...job.policy, queue },
    acceptedBy: 'entry-7',
  };
}

function submitAll(fixture: Fixture, jobs: readonly WorkflowJob[]): Fixture {
  return jobs.reduce((current, job) => commitAll(submit(current, job)), fixture);
}

function noticeOf(fixture: Fixture): AdmissionNotice | undefined {
  return lastWritten(fixture, ADMISSION_KEY) as AdmissionNotice | undefined;
}

function kindsOf(fixture: Fixture): Readonly<Record<string, string>> {
  const verdicts = noticeOf(fixture)?.verdicts ?? [];
  return Object.fromEntries(
    verdicts.map(({ queue, jobKind, verdict }) => [`${queue} ${jobKind}`, verdict.kind]),
  );
}

const SITES = ['a1', 'a2', 'b1', 'b2'];

function lastingJob(jobId: string, taskCount: number): WorkflowJob {
  return queued(jobId, 'feeds', [stageOf(taskCount, LASTING)]);
}

// Guards against refusals, and against rows, while there is room for all.
it('admission: nothing is published while room is ample', () => {
  const calm = live(submitAll(limitingLeader(SITES), [lastingJob('j1', 6)]), 8_000, SITES);
  expect(noticeOf(calm)).to.equal(undefined);
});

// Guards against work that an operator has not switched on.
it('admission: nothing is looked at without the switch', () => {
  const leader = renew(createLeader(), SITES);
  const full = live(submitAll(leader, [lastingJob('j1', 16)]), 8_000, SITES);
  expect(noticeOf(full)).to.equal(undefined);
  expect(full.state.admission.sinceMs).to.equal(undefined);
});

// Guards against lasting jobs that are taken in without a place, and against drops of accepted ones.
it('admission: lasting jobs are refused while their room is used up', () => {
  const full = live(submitAll(limitingLeader(SITES), [lastingJob('j1', 16)]), 8_000, SITES);
  expect(kindsOf(full)).to.deep.equal({ 'feeds lasting': 'refuse' });
  expect(full.state.jobs.has('j1')).to.equal(true);
  expect(loggedFields(full, 'admissionChanged')).to.have.length(1);
});

// Guards against lasting jobs that are refused, and so lost, although they need only wait for a domain that is
// out for a time. 16 cores hold 10 reserved ones well, those of one domain do not.
it('admission: a failure domain that is out closes no queue of lasting jobs', () => {
  const used = live(submitAll(limitingLeader(SITES), [lastingJob('j1', 10)]), 8_000, SITES);
  const away = live(
    dispatch(used, { kind: 'domainsOut', domains: new Set(['b']), ageMs: 0 }),
    40_000,
    SITES,
  );
  expect(kindsOf(away)).to.deep.equal({});
  const full = live(submitAll(away, [lastingJob('j2', 5)]), 2_000, SITES);
  expect(kindsOf(full)).to.deep.equal({ 'feeds lasting': 'refuse' });
  expect(full.state.jobs.has('j1')).to.equal(true);
});

// Guards against refusals by the room that a crash takes away for some seconds, and against none when the
// room does not come back while lasting jobs wait.
it('admission: workers that leave for good close the queue of lasting jobs after 30 s', () => {
  const used = live(submitAll(limitingLeader(SITES), [lastingJob('j1', 10)]), 8_000, SITES);
  const staying = SITES.slice(0, 2);
  const lost = SITES.slice(2).reduce(
    (current, site) => commitAll(report(current, site, { domain: 'b', isDraining: true })),
    used,
  );
  const missed = live(lost, 28_000, staying);
  expect(kindsOf(missed)).to.deep.equal({});
  expect(kindsOf(live(missed, 4_000, staying))).to.deep.equal({ 'feeds lasting': 'refuse' });
  const back = live(missed, 4_000, SITES);
  expect(kindsOf(back)).to.deep.equal({});
});

function burst(queue: string, count: number): readonly WorkflowJob[] {
  return Array.from({ length: count }, (_, index) => {
    const stage = stageOf(40, { ...FILLS, estimateMs: 2_000 });
    const job = queued(`${queue}${index}`, queue, [stage]);
    return { ...job, acceptedAtMs: WALL_MS + 1_000 };
  });
}

// Guards against a burst of filling jobs that is taken in although it is worth nothing when it is done, and
// against a queue that gets nothing in because another one has pressed first.
it('admission: a queue with more than its share of the backlog is refused alone', () => {
  const jobs = [...burst('many', 12), ...burst('few', 1)];
  const pressed = live(submitAll(limitingLeader(SITES), jobs), 9_000, SITES);
  expect(kindsOf(pressed)).to.deep.include({ 'many filling': 'refuse' });
  expect(kindsOf(pressed)['few filling']).to.not.equal('refuse');
  expect(noticeOf(pressed)?.entryCount).to.equal(1);
});

/** Lets time pass while each run is listed with the processors that it uses. */
function work(fixture: Fixture, forMs: number, usedMilli: number): Fixture {
  return Array.from({ length: forMs / 250 }).reduce<Fixture>(
    (current) =>
      SITES.reduce(
        (known, site) => {
          const runs = known.state.runs.byWorker.get(workerKeyFor(site));
          const running = [...(runs?.values() ?? [])].map(({ jobId, slot, attempt }) =>
            listedRun(`${jobId}.${slot}`, attempt, { load: usedMilli }),
          );
          const fields = { domain: site.slice(0, 1), running, lastOrder: running.length };
          return commitAll(report(known, site, fields));
        },
        wait(current, 250),
      ),
    fixture,
  );
}

// Guards against large filling jobs that are all taken in, because all have places, and all end late, because
// each gets a small part of what it requests.
it('admission: filling jobs that have places and lack processors close their queue', () => {
  const stage = stageOf(16, { ...FILLS, estimateMs: 60_000 });
  const job = { ...queued('large', 'many', [stage]), acceptedAtMs: WALL_MS + 1_000 };
  const placed = submitAll(limitingLeader(SITES), [job]);
  expect(placed.state.runs.byTask.size).to.equal(16);
  expect(kindsOf(work(placed, 12_000, 1_000))).to.deep.equal({});
  expect(kindsOf(work(placed, 12_000, 150))).to.deep.equal({ 'many filling': 'refuse' });
});

// Guards against a burst that is refused before anything is known of the rate of work.
it('admission: a burst is accepted for 5 s', () => {
  const pressed = live(submitAll(limitingLeader(SITES), burst('many', 12)), 4_500, SITES);
  expect(noticeOf(pressed)).to.equal(undefined);
});

// Guards against verdicts that entries forget, and against more writes than that takes.
it('admission: verdicts are repeated each second', () => {
  const full = live(submitAll(limitingLeader(SITES), [lastingJob('j1', 16)]), 8_000, SITES);
  const later = live({ ...full, effects: [] }, 5_000, SITES);
  const writes = later.effects.filter(
    (effect) =>
      effect.kind === 'commit' &&
      effect.transaction.writes.some(({ key }) => key === ADMISSION_KEY.key),
  );
  expect(writes.length).to.be.within(3, 6);
});

// Guards against verdicts of an earlier leader that a new one repeats without knowing the room.
it('admission: a new leader limits nothing for 5 s', () => {
  const full = submitAll(limitingLeader(SITES), [lastingJob('j1', 16)]);
  expect(noticeOf(live(full, 4_500, SITES))).to.equal(undefined);
});
