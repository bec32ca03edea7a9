import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createSuccessor,
  jobOf,
  load,
  loggedFields,
  report,
  stageOf,
  workerKeyFor,
} from './fixture';

/** Returns a new leader that knows a claim of the one before, and not whether and to whom it was ordered. */
function inherited(): Fixture {
  const workerKey = workerKeyFor('w1');
  const task = { phase: 'claimed', attempt: 1, failures: 0, workerKey } as const;
  const jobs = [jobOf('job1', [stageOf(1)])];
  return commitAll(load(createSuccessor(), jobs, { job1: { '0.0.0': task } }));
}

function releaseReasons(fixture: Fixture): readonly unknown[] {
  return loggedFields(fixture, 'taskReleased').map(({ reason }) => reason);
}

// Guards against a second run of a task: the agent that got the order of the leader before was killed with that
// leader, and its call may reach the next instance of the worker.
it('inherited start: a new agent without the run waits for a late call', () => {
  const replaced = { agentId: 'agent-next', link: 'link-next' };
  const back = report(advance(inherited(), 100), 'w1', replaced);
  expect(releaseReasons(back)).to.deep.equal([]);
  const settled = report(advance(commitAll(back), 3_000), 'w1', replaced);
  expect(releaseReasons(settled)).to.deep.equal(['neverStarted']);
});

// Guards against the same where the next instance of the worker reports first.
it('inherited start: a later instance without the run waits for a late call', () => {
  const restarted = { agentId: 'agent-next', link: 'link-next', bornAtMs: 9 };
  const back = report(advance(inherited(), 100), 'w1', restarted);
  expect(releaseReasons(back)).to.deep.equal([]);
});
