import { expect } from 'chai';
import type { ListedEnd } from '@bronzeyoke/ports';
import { progressKey } from '@bronzeyoke/scheduler';
import type { RunEnd, TaskProgress } from '@bronzeyoke/workflow';
import { encodeProgress } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  acknowledgedEnds,
  advance,
  answerReads,
  commitAll,
  createLeader,
  createSuccessor,
  dispatch,
  jobOf,
  report,
  runningLong,
  stageOf,
  submit,
  TASK,
  TIMES,
  WALL_MS,
  workerKeyFor,
} from './fixture';

/** Birth of a later instance on the site of a worker. */
const LATER_MS = 6;

function endOf(end: RunEnd, attempt = 1): ListedEnd {
  return { sequence: 1, task: TASK, attempt, end, checkpoint: '' };
}

function failuresOf({ state }: Fixture): number | undefined {
  return state.jobs.get('job1')?.progress.tasks.get('0.0.0')?.failures;
}

/** Returns a leader that has ordered the only task of a job on w1. */
function ordered(): Fixture {
  return commitAll(submit(commitAll(report(createLeader(), 'w1')), jobOf('job1', [stageOf(1)])));
}

// Guards against more starts than a job allows: a later instance has carried the order out, and its failure is
// acknowledged without being counted.
it('later ends: a failure of a run that a later instance carried out counts', () => {
  const failed = commitAll(
    report(ordered(), 'w1', { bornAtMs: LATER_MS, ended: [endOf('failed')] }),
  );
  expect(acknowledgedEnds(failed)).to.deep.equal([1]);
  expect(failuresOf(failed)).to.equal(1);
});

// Guards against the same when the run was released by the end of the lease, and the list with its failure
// comes after that.
it('later ends: a failure of a released run counts', () => {
  const released = commitAll(advance(runningLong(), TIMES.agentLeaseMs + TIMES.marginMs + 40));
  const failed = commitAll(report(released, 'w1', { ended: [endOf('failed')], link: 'late' }));
  expect(acknowledgedEnds(failed)).to.deep.equal([1]);
  expect(failuresOf(failed)).to.equal(1);
});

// Guards against a success that is acknowledged and forgotten, because the read of the job table lacks a job
// whose progress was read. Its task would start again once the definition comes.
it('later ends: a success in a job whose definition is missing is not acknowledged', () => {
  const workerKey = workerKeyFor('w1');
  const task: TaskProgress = { phase: 'running', attempt: 1, failures: 0, workerKey };
  const value = encodeProgress({ tasks: new Map([['0.0.0', task]]) });
  const row = { ...progressKey('job1'), version: 9, value };
  const read = answerReads(createSuccessor(), [row], WALL_MS);
  const wallMs = WALL_MS + read.nowMs;
  const loaded = commitAll(dispatch(read, { kind: 'jobRows', isFull: true, rows: [], wallMs }));
  const listed = commitAll(report(loaded, 'w1', { ended: [endOf('done')] }));
  expect(acknowledgedEnds(listed)).to.deep.equal([]);
  const known = submit(listed, jobOf('job1', [stageOf(1)]));
  const again = commitAll(report(known, 'w1', { ended: [endOf('done')] }));
  expect(acknowledgedEnds(again)).to.deep.equal([1]);
  expect(again.state.ended.has('job1')).to.equal(true);
});
