import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  commitAll,
  createLeader,
  createLoading,
  dispatch,
  goneMessage,
  jobOf,
  join,
  lasting,
  list,
  load,
  place,
  siteOf,
  sized,
  stageOf,
  submit,
  TASK,
  wait,
  WALL_MS,
  workerKeyFor,
} from './fixture';

const FEW = 20;
const MANY = 40;

/** Looks at each worker in one search for moves. */
const MOVES_LOOKS = 16;

function sitesOf(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `w${index}`);
}

/** Returns the work of a pass for each worker, less that of a pass without tasks. */
function workPerWorker(passOn: (idle: Fixture, sites: readonly string[]) => Fixture): number {
  const [few = 0, many = 0] = [FEW, MANY].map((count) => {
    const idle = wait(join(createLeader(), ...sitesOf(count)), 1_000);
    const after = passOn(idle, sitesOf(count));
    expect(after.state.passCount).to.be.greaterThan(idle.state.passCount);
    return after.state.passWork - idle.state.passWork;
  });
  return (many - few) / (MANY - FEW);
}

// Guards against passes of a slow leader that last far longer than their budget, because stages that wait
// beside filling tasks look at all workers again for tasks to stop.
it('passwork: a pass counts the search for filling tasks to stop', () => {
  const needs = { processorsMilli: 0, memoryMb: 8_000, accelerators: 0 };
  const work = workPerWorker((idle, sites) => {
    const stage = stageOf(sites.length, { needs, fillsIdle: true, image: 'f' });
    const full = place(idle, jobOf('fills', [stage]));
    const listed = sites.reduce<Fixture>((current, site) => list(current, site), full);
    expect(listed.state.runs.byTask.size).to.equal(sites.length);
    return submit(listed, jobOf('job1', [sized(1_000)]));
  });
  // One look for room, one for tasks to stop, and one whether the stage fits an empty worker.
  expect(work).to.be.at.least(3);
});

// Guards against long passes after the loss of many workers, when each suspect looks at all workers.
it('passwork: a pass counts the search for a trial', () => {
  const work = workPerWorker((idle) => {
    const placed = place(idle, jobOf('job1', [stageOf(1)]));
    const site = siteOf(placed, TASK) ?? '';
    const message = goneMessage(workerKeyFor(site), [{ task: TASK, attempt: 1, ageMs: 10 }]);
    const wallMs = WALL_MS + placed.nowMs;
    const event = { kind: 'received', linkId: `link-${site}`, message, wallMs } as const;
    const tried = commitAll(dispatch(placed, event));
    expect(tried.state.runs.byTask.get(TASK)?.trial).to.not.equal(undefined);
    return tried;
  });
  expect(work).to.be.at.least(1);
});

/** Returns the work of a pass for a lasting gang that has found no room for some time. */
function gangWork(awayMs: number): number {
  const gang = lasting('gang', 9_000, 2, { isGang: true });
  const waitingTask = { phase: 'waiting', attempt: 1, failures: 0 } as const;
  const tasks = { gang: { '0.0.0': waitingTask, '0.0.1': waitingTask } };
  const joined = join(load(createLoading(), [gang], tasks), ...sitesOf(FEW));
  return wait(joined, awayMs).state.passWork;
}

// Guards against long passes while gangs of lasting tasks wait, which look at the runs of all workers.
it('passwork: a pass counts the search for moves of a gang', () => {
  expect(gangWork(2_500) - gangWork(500)).to.equal(FEW * MOVES_LOOKS);
});
