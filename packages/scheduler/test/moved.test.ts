import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  dispatch,
  listedRun,
  loggedFields,
  phaseOf,
  report,
  running,
  siteOf,
  TASK,
} from './fixture';

const LISTING = { running: [listedRun(TASK, 1)], lastOrder: 1 };

/** A later instance at the address of w1, with an agent of its own. */
const LATER = { bornAtMs: 900, address: 'w1:1' };

/** Time after its last report from which a worker counts as silent. */
const SILENT_MS = 800;

function releases(fixture: Fixture): readonly unknown[] {
  return loggedFields(fixture, 'taskReleased').map(({ reason }) => reason);
}

// Guards against a second run of a task whose worker has changed its address: another one that comes up at
// the old address before its agent reports the new one does not prove that it has ended.
it('moved: a later instance at the address of a worker that reports releases nothing', () => {
  const met = report(advance(commitAll(running()), 200), 'w2', LATER);
  expect(releases(met)).to.deep.equal([]);
  const told = report(advance(commitAll(met), 200), 'w1', { ...LISTING, address: 'w1:2' });
  const later = report(advance(commitAll(told), SILENT_MS + 100), 'w2', LATER);
  expect(releases(later)).to.deep.equal([]);
  expect(phaseOf(later)).to.equal('running');
  expect(siteOf(later, TASK)).to.equal('w1');
});

// Guards against a wait for the lease of a worker that has ended, while a later instance is at its address.
it('moved: a later instance at the address of a silent worker releases its tasks', () => {
  const met = report(advance(commitAll(running()), 200), 'w2', LATER);
  const silent = report(advance(commitAll(met), SILENT_MS), 'w2', LATER);
  expect(releases(silent)).to.deep.equal(['workerGone']);
});

// Guards against the same wait when the agent has closed its connection, or reports the later instance.
it('moved: a closed connection, or the same agent, leaves no doubt', () => {
  const closed = dispatch(commitAll(running()), { kind: 'linkClosed', linkId: 'link-w1' });
  expect(releases(report(closed, 'w2', LATER))).to.deep.equal(['workerGone']);
  const same = { ...LATER, agentId: 'agent-w1', link: 'link-w1' };
  expect(releases(report(commitAll(running()), 'w2', same))).to.deep.equal(['workerGone']);
});
