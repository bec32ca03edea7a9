import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  jobOf,
  loggedFields,
  report,
  sentMessages,
  settle,
  stageOf,
  submit,
} from './fixture';

/** Longer than a start call may take to reach its worker. */
const SLOW_COMMIT_MS = 3_500;

/** Returns a leader whose claim was stored, and ordered, long after it was made. */
function orderedLate(): Fixture {
  const claimed = submit(settle(report(createLeader(), 'w1'), 'w1'), jobOf('job1', [stageOf(1)]));
  const ordered = commitAll(advance(claimed, SLOW_COMMIT_MS));
  expect(sentMessages(ordered, 'start')).to.have.length(1);
  return ordered;
}

function releaseReasons(fixture: Fixture): readonly unknown[] {
  return loggedFields(fixture, 'taskReleased').map(({ reason }) => reason);
}

// Guards against a second run of a task: its claim took seconds to be stored, so the call of the killed
// agent that got the order may still reach the next instance of the worker.
it('late start: a run is kept after its order, however old its claim is', () => {
  const restarted = { agentId: 'agent-next', link: 'link-next', bornAtMs: 9 };
  const back = report(advance(orderedLate(), 100), 'w1', restarted);
  expect(releaseReasons(back)).to.deep.equal([]);
  const later = report(advance(commitAll(back), 1_500), 'w1', restarted);
  expect(releaseReasons(later)).to.deep.equal([]);
});

// Guards against the same when only the agent was replaced and its first list lacks the run.
it('late start: a new agent of the same instance waits as long', () => {
  const replaced = { agentId: 'agent-next', link: 'link-next' };
  const back = report(advance(orderedLate(), 100), 'w1', replaced);
  expect(releaseReasons(back)).to.deep.equal([]);
  const settled = report(advance(commitAll(back), 3_000), 'w1', replaced);
  expect(releaseReasons(settled)).to.deep.equal(['neverStarted']);
});

// Guards against a second run of a task whose order is on its way when the lease of the instance that it
// names ends: a later instance that comes up meanwhile carries it out.
it('late start: the end of the lease releases no run that was ordered less than three seconds ago', () => {
  const silent = commitAll(advance(orderedLate(), 2_500));
  expect(releaseReasons(silent)).to.deep.equal([]);
  expect(releaseReasons(advance(silent, 600))).to.deep.equal(['leaseExpired']);
});
