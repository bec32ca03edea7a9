import { expect } from 'chai';
import { DEFAULT_POLICY } from '@bronzeyoke/scheduler';
import type { Fixture, Played } from './fixture';
import {
  claimedOf,
  commitAll,
  createLeader,
  dispatch,
  jobOf,
  jobsOf,
  join,
  lasting,
  leave,
  list,
  listAll,
  place,
  playTurns,
  report,
  siteOf,
  sized,
  takeOverDark,
  wait,
} from './fixture';

const RESTORES = { ...DEFAULT_POLICY, restoresPlaces: true };
const SEARCHES = DEFAULT_POLICY;

/** Fleet and lasting tasks after a loss of power, and the time in which all of them get their orders. */
const WORKERS = 70;
const LASTING_TASKS = 700;
const ORDERED_IN_MS = 2_000;
const JOBS = jobsOf(LASTING_TASKS / 5, (index) => lasting(`lasting${index}`, 500, 5));
const TURN_MS = 50;

/** Two workers of 4 cores: w1 runs two lasting tasks of 1 core, and w2 one of 3 cores. */
function busy(): Fixture {
  const small = list(place(join(createLeader(RESTORES), 'w1'), lasting('small', 1_000, 2)), 'w1');
  return list(place(join(small, 'w2'), lasting('big', 3_000)), 'w2');
}

/** Delivers the first report of a later instance at the address of w1. */
function restart(fixture: Fixture, fields: Parameters<typeof report>[2] = {}): Fixture {
  return commitAll(
    report(fixture, 'n1', {
      address: 'w1:1',
      bornAtMs: 6,
      agentId: 'agent-w1',
      ...fields,
    }),
  );
}

// Guards against tasks that move away from the worker that they had because a search prefers another.
it('former place: lasting tasks return to the later instance at their address', () => {
  const restarted = wait(restart(join(busy(), 'w3')), 300);
  expect(siteOf(restarted, 'small.0.0.0')).to.equal('n1');
  expect(siteOf(restarted, 'small.0.0.1')).to.equal('n1');
  expect(restarted.state.restoredCount).to.equal(2);
});

// Guards against claims beyond the room of an instance that is smaller than the one before.
it('former place: what does not fit the later instance is searched for', () => {
  const restarted = wait(restart(join(busy(), 'w3'), { processorsMilli: 1_500 }), 300);
  const sites = ['small.0.0.0', 'small.0.0.1'].map((task) => siteOf(restarted, task));
  expect(sites).to.include('n1');
  expect(sites.filter((site) => site === 'n1')).to.have.length(1);
  expect(sites).to.not.include(undefined);
});

// Guards against a start in a failure domain that is evacuated.
it('former place: a task does not return to a domain that is out', () => {
  const domains = new Set(['south']);
  const out = dispatch(join(busy(), 'w3'), { kind: 'domainsOut', domains, ageMs: 0 });
  const restarted = wait(restart(out, { domain: 'south' }), 300);
  expect(siteOf(restarted, 'small.0.0.0')).to.be.oneOf(['w2', 'w3']);
});

// Guards against more tasks of a stage on a worker than the stage allows.
it('former place: the limit of tasks on a worker holds', () => {
  const spread = lasting('spread', 500, 2, { maxPerWorker: 1 });
  const started = list(place(join(createLeader(RESTORES), 'w1', 'w2'), spread), 'w1');
  const both = wait(restart(list(started, 'w2')), 300);
  expect(['0', '1'].map((index) => siteOf(both, `spread.0.0.${index}`))).to.have.members([
    'n1',
    'w2',
  ]);
});

// Guards against room that other tasks take between the report of a worker and the return of its tasks.
it('former place: lasting tasks return before others take the room', () => {
  const waiting = place(busy(), jobOf('quick', [sized(4_000)]));
  const restarted = wait(restart(waiting), 300);
  expect(siteOf(restarted, 'small.0.0.0')).to.equal('n1');
  expect(siteOf(restarted, 'quick.0.0.0')).to.equal(undefined);
});

// Guards against a task that starts again and again on a machine where it fails, while others have room.
it('former place: a task that fails there before it is listed is placed elsewhere', () => {
  const task = 'small.0.0.0';
  const restarted = wait(restart(join(busy(), 'w3')), 300);
  const ended = [{ sequence: 1, task, attempt: 2, end: 'failed', checkpoint: '' }] as const;
  const lastOrder = restarted.state.links.get('link-n1')?.lastOrder ?? 0;
  const failed = wait(restart(restarted, { ended, lastOrder }), 3_000);
  expect(failed.state.jobs.get('small')?.progress.tasks.get('0.0.0')?.attempt).to.equal(3);
  expect(siteOf(failed, task)).to.not.equal('n1');
});

/** A task of 3 cores waits for some time, as its worker came back with less room. */
function waitingFor(waitedMs: number): Fixture {
  const away = leave(busy(), 'w2');
  const shrunk = commitAll(report(away, 'n2', { address: 'w2:1', processorsMilli: 500 }));
  const waited = listAll(wait(shrunk, waitedMs), 'w1');
  expect(siteOf(waited, 'big.0.0.0')).to.equal(undefined);
  return wait(restart(waited), 300);
}

// Guards against a lasting task that others overtake without end. They may for 2.5 s (docs/design.md 8.2).
it('former place: a long wait comes before tasks with a former place', () => {
  expect(siteOf(waitingFor(1_500), 'small.0.0.1')).to.equal('n1');
  const overdue = waitingFor(2_600);
  expect(siteOf(overdue, 'big.0.0.0')).to.equal('n1');
});

/** Plays until all lasting tasks are ordered, and returns the longest time from the first report of a worker. */
function orderedAfterMs(before: Played): number {
  const sinceMs = before.fixture.nowMs + TURN_MS;
  const after = playTurns(before, 60);
  const { byTask } = after.fixture.state.runs;
  const orderedAtMs = [...byTask.values()].map((run) => run.orderedAtMs ?? Infinity);
  return claimedOf(after, 'lasting') < LASTING_TASKS
    ? Infinity
    : Math.max(...orderedAtMs) - sinceMs;
}

// Guards against lasting tasks that each search the fleet after a loss of power, although their workers are
// back.
it('former place: 700 lasting tasks of 70 workers are ordered in time by a slow leader', () => {
  const searchingMs = orderedAfterMs(takeOverDark(JOBS, WORKERS, SEARCHES));
  const restoringMs = orderedAfterMs(takeOverDark(JOBS, WORKERS, RESTORES));
  expect(searchingMs).to.be.greaterThan(ORDERED_IN_MS);
  expect(restoringMs).to.be.lessThan(ORDERED_IN_MS);
});
