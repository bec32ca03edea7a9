import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createFollower,
  createLeader,
  createLoading,
  dispatch,
  jobOf,
  loggedFields,
  report,
  sentMessages,
  stageOf,
  submit,
} from './fixture';

const MAX_AGE_MS = 4_000;

/** A deployment whose operators evacuate domains: tasks start only where that is known. */
function guarded(fixture: Fixture): Fixture {
  const { state } = fixture;
  const settings = { ...state.settings, maxEvacuationAgeMs: MAX_AGE_MS };
  return { ...fixture, state: { ...state, settings } };
}

function confirm(fixture: Fixture, domains: readonly string[] = [], ageMs = 0): Fixture {
  return dispatch(fixture, { kind: 'domainsOut', domains: new Set(domains), ageMs });
}

/** A leader with a worker in the domain `north`, which has not read the evacuations. */
function unreadLeader(): Fixture {
  return report(guarded(createLeader()), 'w1');
}

/** The same, after it has read that no domain is out. */
function guardedLeader(): Fixture {
  return report(confirm(guarded(createLeader())), 'w1');
}

const JOB = jobOf('job1', [stageOf(1)]);

function startCount(fixture: Fixture): number {
  return sentMessages(fixture, 'start').length;
}

// Guards against starts in an evacuated domain by a leader that was just started and has not read which are.
it('evacuations: a leader places nothing before it has read them', () => {
  const unread = advance(commitAll(submit(unreadLeader(), JOB)), 50);
  expect(startCount(unread)).to.equal(0);
  expect(loggedFields(unread, 'placementHeld')).to.deep.equal([{ reason: 'evacuationsUnread' }]);
  const out = commitAll(advance(confirm(unread, ['north']), 50));
  expect(startCount(out)).to.equal(0);
  expect(startCount(commitAll(advance(confirm(out), 50)))).to.equal(1);
});

// Guards against a wait that costs time where nothing has to be waited for.
it('evacuations: a leader that has read them before it leads places at once', () => {
  const placed = commitAll(submit(guardedLeader(), JOB));
  expect(startCount(placed)).to.equal(1);
  expect(loggedFields(placed, 'placementHeld')).to.deep.equal([]);
});

// Guards against starts in a domain that was evacuated after a leader has stopped hearing of changes.
it('evacuations: a leader whose confirmation is old places nothing', () => {
  const old = advance(guardedLeader(), MAX_AGE_MS + 1);
  const held = commitAll(submit(report(old, 'w1'), JOB));
  expect(startCount(held)).to.equal(0);
  expect(loggedFields(held, 'placementHeld')[0]).to.include({ reason: 'evacuationsOld' });
  const again = commitAll(advance(confirm(held), 50));
  expect(startCount(again)).to.equal(1);
  expect(loggedFields(again, 'placementResumed')).to.deep.equal([{ heldMs: 50 }]);
});

// Guards against an age that counts from the arrival of an answer that was long on its way.
it('evacuations: the time that an answer took counts for its age', () => {
  const late = confirm(unreadLeader(), [], MAX_AGE_MS + 1);
  expect(startCount(commitAll(submit(late, JOB)))).to.equal(0);
});

// Guards against a start order for a claim whose domain was evacuated while it was being stored.
it('evacuations: a claim in a domain that has gone out since is not ordered', () => {
  const claimed = submit(guardedLeader(), JOB);
  const stored = commitAll(confirm(claimed, ['north']));
  expect(startCount(stored)).to.equal(0);
  expect(loggedFields(stored, 'taskReleased')[0]).to.include({ reason: 'domainOut' });
});

// Guards against start orders that a slow store delays until a new evacuation may be long in force.
it('evacuations: a claim that was stored too late is not ordered', () => {
  const claimed = submit(guardedLeader(), JOB);
  const { nowMs } = claimed;
  const stored = commitAll({ ...claimed, nowMs: nowMs + MAX_AGE_MS + 1 });
  expect(startCount(stored)).to.equal(0);
});

// Guards against a claim that waits for a connection of its agent and is ordered although its domain is out.
it('evacuations: a claim that waits for its agent is not ordered in a domain that is out', () => {
  const claimed = submit(guardedLeader(), JOB);
  const linkId = claimed.state.workers.first()?.linkId ?? '';
  const waiting = commitAll(dispatch(claimed, { kind: 'linkClosed', linkId }));
  const back = commitAll(report(confirm(waiting, ['north']), 'w1'));
  expect(startCount(back)).to.equal(0);
});

// Guards against deployments without operators, whose leaders would wait for ever.
it('evacuations: without the setting tasks start unread', () => {
  expect(startCount(commitAll(submit(report(createLeader(), 'w1'), JOB)))).to.equal(1);
});

// Guards against a lease that is not claimed, or a load that waits, until the evacuations are read.
it('evacuations: an entry that has not read them claims the lease and loads', () => {
  expect(createLoading(guarded(createFollower())).state.phase).to.equal('loading');
  expect(unreadLeader().state.phase).to.equal('leading');
});
