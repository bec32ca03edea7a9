import { expect } from 'chai';
import { DEFAULT_POLICY, LEADER_KEY, LEASE_KEY } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  commit,
  commitAll,
  commitsOf,
  createFollower,
  createLeader,
  dispatch,
  inFlight,
  lastWritten,
  leaderRow,
  leaseRow,
  loggedFields,
  poll,
  report,
  sentMessages,
  TIMES,
} from './fixture';
import type { SlowPlay } from './simslow';
import { playSlow, quantile } from './simslow';

const WINDOW_MS = 100;
const REST_MS = 5_000;
const OFFER_MS = 1_000;
const LEASE_MS = 5_000;
const OTHER = { entryId: 'entry-2', host: 'h2', port: 1, term: 2 };

/** Stated target for the times from handing in a job to its first start. */
const TARGET = { halfMs: 50, mostMs: 500 };

const SLOW_LEADER: SlowPlay = { handsOver: true, slow: (leader) => [leader] };

function withPolicy(fixture: Fixture, handsOver = true): Fixture {
  const { state } = fixture;
  const settings = { ...state.settings, policy: { ...DEFAULT_POLICY, handsOver } };
  return { ...fixture, state: { ...state, settings } };
}

/** Lets windows pass in which events wait for some time; the store answers. */
function lag(fixture: Fixture, waitMs: number, windows: number): Fixture {
  return Array.from({ length: windows }).reduce<Fixture>((current) => {
    const measured = dispatch(advance(current, WINDOW_MS), { kind: 'loadMeasured', waitMs });
    return commitAll(measured);
  }, fixture);
}

/** Returns a leader that may offer its lease. */
function rested(handsOver = true): Fixture {
  return lag(withPolicy(createLeader(), handsOver), 10, REST_MS / WINDOW_MS + 2);
}

/** Returns a leader whose offer is in flight. */
function sendingOffer(): Fixture {
  const lagging = lag(rested(), 300, 4);
  return advance(dispatch(advance(lagging, WINDOW_MS), { kind: 'loadMeasured', waitMs: 300 }), 1);
}

/** Returns an entry whose offer was taken by another one. */
function deposed(): Fixture {
  return dispatch(commitAll(sendingOffer()), { kind: 'leaderRow', row: leaderRow(OTHER, 50) });
}

/** Returns a follower that has polled an offer twice. */
function polled(ownWaitMs: number, offeredWaitMs: number): Fixture {
  const measured = dispatch(withPolicy(createFollower()), {
    kind: 'loadMeasured',
    waitMs: ownWaitMs,
  });
  const grants = { lastEndMs: 7_300, earlierEndMs: 0, awaitedEndMs: {} };
  const offer = { waitMs: offeredWaitMs };
  const row = leaseRow({ entryId: 'entry-2', number: 3, isReleased: false, grants, offer }, 10);
  return poll(poll(measured, row), row);
}

// Guards against a leader that leads on while reports wait, because its renewals still get through.
it('handover: a leader whose events wait for long offers its lease', () => {
  const offered = commitAll(sendingOffer());
  expect(lastWritten(offered, LEASE_KEY)).to.deep.include({
    isReleased: false,
    offer: { waitMs: 300 },
  });
  expect(loggedFields(offered, 'leaderHandover')[0]).to.include({ step: 'offered', waitMs: 300 });
});

// Guards against a change of the leader for a collection of garbage or a single long pass.
it('handover: a leader keeps its lease after a single long wait', () => {
  const steps = [1, 2].map((windows) =>
    loggedFields(lag(lag(rested(), 1_500, windows), 10, 20), 'leaderHandover'),
  );
  expect(steps).to.deep.equal([[], []]);
});

/** Returns a leader that may offer its lease, after usual passes and some that took 4 times as long. */
function passed(slowPasses: number): Fixture {
  const start = rested();
  const known = { ...start, state: { ...start.state, passWork: 2_000 } };
  const took = [...Array<number>(30).fill(20), ...Array<number>(slowPasses).fill(80)];
  return took.reduce<Fixture>(
    (current, durationMs) => dispatch(current, { kind: 'passTook', durationMs }),
    known,
  );
}

// Guards against a second of long waits until a leader whose machine has become slow makes an offer.
it('handover: a leader whose passes have become slow offers its lease after two short windows', () => {
  const { state } = lag(passed(2), 60, 2);
  expect(state.handover.phase).to.equal('offering');
});

// Guards against a pass of a quarter of a second between the decision to offer the lease and the offer.
it('handover: a leader makes no pass before its offer is sent', () => {
  const renewing = advance(lag(rested(), 300, 4), TIMES.renewMs + 1);
  const decided = dispatch(renewing, { kind: 'loadMeasured', waitMs: 300 });
  expect(decided.state.inFlight?.lease).to.be.an('object').and.not.to.have.property('offer');
  const { state } = commit({ ...decided, state: { ...decided.state, needsPlacement: true } });
  expect(state.inFlight?.lease).to.have.property('offer');
  expect(state.passCount).to.equal(decided.state.passCount);
});

// Guards against a change of the leader for a pause of the process, which makes one pass seem slow.
it('handover: a leader keeps its lease after a single slow pass', () => {
  const steps = loggedFields(lag(lag(passed(1), 150, 4), 10, 20), 'leaderHandover');
  expect(steps).to.have.length(0);
});

// Guards against a leader that passes its lease on although its work gets done in time.
it('handover: a leader with slow passes and without waits keeps its lease', () => {
  expect(loggedFields(lag(passed(10), 40, 20), 'leaderHandover')).to.have.length(0);
});

// Guards against a change of what a deployment does that has not switched the policy on.
it('handover: a leader without the policy makes no offer', () => {
  expect(loggedFields(lag(rested(false), 3_000, 50), 'leaderHandover')).to.have.length(0);
});

// Guards against a lease that passes on while the new leader still loads and adopts.
it('handover: a leader makes no offer within some seconds of its claim', () => {
  const young = lag(withPolicy(createLeader()), 3_000, REST_MS / WINDOW_MS - 5);
  expect(loggedFields(young, 'leaderHandover')).to.have.length(0);
});

// Guards against claims that fail because the row changes, and workers without grants meanwhile.
it('handover: an offer stands unchanged while reports are granted', () => {
  const offered = commitAll(sendingOffer());
  const later = report(advance(offered, OFFER_MS / 2), 'w1');
  expect(commitsOf(later)).to.have.length(commitsOf(offered).length);
  expect(sentMessages(later, 'grant').length).to.equal(sentMessages(offered, 'grant').length + 1);
});

// Guards against a single entry that gives its lease away and leaves the fleet without a leader.
it('handover: a leader goes on when nobody takes its offer', () => {
  const offered = commitAll(sendingOffer());
  const resumed = commitAll(advance(offered, OFFER_MS));
  expect(resumed.state.phase).to.equal('leading');
  expect(lastWritten(resumed, LEASE_KEY)).not.to.have.property('offer');
  const steps = loggedFields(lag(resumed, 3_000, 20), 'leaderHandover').map(({ step }) => step);
  expect(steps).to.deep.equal(['offered', 'declined']);
});

// Guards against a leader that leads on, or claims again at once, after an offer whose reply was lost.
it('handover: a leader whose offer was taken before its reply came is deposed', () => {
  const sending = sendingOffer();
  const { callId } = inFlight(sending);
  const lost = dispatch(sending, {
    kind: 'commitDone',
    callId,
    result: { kind: 'unknown' },
    wallMs: 0,
  });
  const again = advance(lost, 100);
  const lease = { entryId: 'entry-2', number: 1, isReleased: false };
  const rows = [leaderRow(OTHER, 50), leaseRow(lease, 50)];
  const result = { kind: 'conflict', rows } as const;
  const after = dispatch(again, {
    kind: 'commitDone',
    callId: inFlight(again).callId,
    result,
    wallMs: 0,
  });
  expect(after.state.phase).to.equal('following');
  expect(after.state.leader).to.deep.equal(OTHER);
  const freed = leaseRow({ ...lease, number: 2, isReleased: true }, 51);
  expect(poll(poll(after, freed), freed).state.phase).to.equal('following');
});

// Guards against grants that end, and a takeover by any entry, while an offer stands whose reply was late.
it('handover: an offer counts from the sending of its row', () => {
  const late = commitAll(advance(sendingOffer(), OFFER_MS - 100));
  const { state } = advance(late, 101);
  expect(state.inFlight?.lease).to.include({ isReleased: false }).and.not.to.have.property('offer');
});

// Guards against a fleet that has no leader for longer than its leases, when the successor ends and
// no other entry is left.
it('handover: an entry that gave its lease away takes over from a silent successor', () => {
  const lease = leaseRow({ entryId: 'entry-2', number: 7, isReleased: false }, 51);
  const polls = Array.from({ length: LEASE_MS / 400 });
  const { state } = polls.reduce<Fixture>((current) => poll(current, lease), deposed());
  expect(state.phase).to.equal('claiming');
});

// Guards against followers that learn of an offer by their next poll only, while the leader lags.
it('handover: a follower claims at once when the row of the leader has an offer', () => {
  const follower = advance(withPolicy(createFollower()), 100);
  const offer = { waitMs: 400 };
  const told = dispatch(follower, {
    kind: 'leaderRow',
    row: { ...leaderRow(OTHER, 50), value: { ...OTHER, offer } },
  });
  const row = leaseRow({ entryId: 'entry-2', number: 3, isReleased: false, offer }, 50);
  const result = { kind: 'rows', rows: [row], version: 50 } as const;
  const { state } = dispatch(told, { kind: 'rangeDone', callId: 'poll', result, wallMs: 0 });
  expect(state.claim?.transaction.conditions.map(({ version }) => version)).to.deep.equal([50, 50]);
});

// Guards against a leader that refutes itself: its own offer changes the version of its row.
it('handover: a leader goes on with the version of the row that had its offer', () => {
  const offered = commitAll(sendingOffer());
  expect(lastWritten(offered, LEADER_KEY)).to.deep.include({ term: 1, offer: { waitMs: 300 } });
  const { transaction } = inFlight(advance(offered, OFFER_MS));
  expect(transaction.conditions.map(({ version }) => version)).to.deep.equal([
    offered.version,
    offered.version,
  ]);
});

// Guards against slow entries that pass the lease to and fro, each idle and so without waits in its turn.
it('handover: an entry takes the lease back only from one that is clearly worse off', () => {
  const phases = [400, 800].map((waitMs) => {
    const idle = lag(deposed(), 10, 100 + 1);
    const row = leaseRow(
      { entryId: 'entry-2', number: 7, isReleased: false, offer: { waitMs } },
      51,
    );
    return poll(poll(idle, row), row).state.phase;
  });
  expect(phases).to.deep.equal(['following', 'claiming']);
});

// Guards against a fleet without a leader while the entries that are left are slow themselves.
it('handover: the own waits of an entry delay its claim by a second at most', () => {
  const slow = dispatch(withPolicy(createFollower()), { kind: 'loadMeasured', waitMs: 30_000 });
  const row = leaseRow({ entryId: 'entry-2', number: 3, isReleased: true }, 10);
  const polls = Array.from({ length: 4 });
  const { state } = polls.reduce<Fixture>((current) => poll(current, row), slow);
  expect(state.phase).to.equal('claiming');
});

// Guards against an offer that no follower takes.
it('handover: a follower with room claims an offered lease', () => {
  expect(polled(20, 400).state.phase).to.equal('claiming');
});

// Guards against a lease that passes from one slow entry to the next.
it('handover: a follower whose own events wait leaves an offered lease to others', () => {
  expect(polled(250, 400).state.phase).to.equal('following');
});

// Guards against two overloaded entries that pass the lease to and fro.
it('handover: a successor offers the lease only if it is clearly worse', () => {
  const { state } = polled(20, 400);
  expect(state.claim?.offeredWaitMs).to.equal(400);
  const successor = rested();
  const { handover } = successor.state;
  const compared = {
    ...successor,
    state: { ...successor.state, handover: { ...handover, beforeWaitMs: 400 } },
  };
  expect(loggedFields(lag(compared, 500, 20), 'leaderHandover')).to.have.length(0);
  expect(loggedFields(lag(compared, 700, 20), 'leaderHandover')).not.to.have.length(0);
});

// Guards against jobs that find no place while the machine of the leader is slow under a burst: without
// the policy two thirds of these jobs do not begin. No lease lapses in this play either way.
it('handover: another entry leads when the machine of the leader becomes slow under a burst', () => {
  const { startsMs, lapses, claimed, broken } = playSlow(1, SLOW_LEADER);
  expect(broken).to.deep.equal([]);
  expect(lapses).to.equal(0);
  expect(claimed).to.have.length(1);
  expect(startsMs.at(-1)).to.be.lessThan(Infinity);
}).timeout(120_000);

// Guards against starts that a change of the leader delays beyond the target: no lapse, and 95 of 100 within
// 500 ms.
it('handover: 95 of 100 jobs begin in time while the machine of the leader becomes slow', () => {
  // Seeds 5 and 6 have missed the target longest.
  [1, 5, 6].forEach((seed) => {
    const { startsMs, lapses } = playSlow(seed, SLOW_LEADER);
    expect(lapses).to.equal(0);
    expect(quantile(startsMs, 0.95)).to.be.at.most(TARGET.mostMs);
  });
}).timeout(120_000);

// Guards against starts that a change of the leader delays beyond the target: half within 50 ms.
it('handover: half of the jobs begin in time while the machine of the leader becomes slow', () => {
  const { startsMs } = playSlow(1, SLOW_LEADER);
  expect(quantile(startsMs, 0.5)).to.be.at.most(TARGET.halfMs);
}).timeout(120_000);

// Guards against changes of the leader one after the other when no entry is better.
it('handover: slow entries do not pass the lease to and fro', () => {
  const { claimed, broken } = playSlow(2, {
    handsOver: true,
    slow: () => [0, 1, 2, 3, 4],
    forMs: 8_000,
  });
  expect(broken).to.deep.equal([]);
  expect(claimed.length).to.be.at.most(1);
}).timeout(120_000);

// Guards against a task that runs twice, or a lease that lapses, when the successor ends after its claim.
it('handover: a successor that ends after its claim is replaced', () => {
  const known = { isKilled: false };
  const { lapses, claimed, broken } = playSlow(3, {
    handsOver: true,
    slow: (leader) => [leader],
    forMs: 8_000,
    watch: (simulation) => {
      const successor = simulation.leader();
      if (known.isKilled || simulation.claims().length < 2 || successor < 0) return;
      known.isKilled = true;
      simulation.killEntry(successor, 20_000);
    },
  });
  expect(known.isKilled).to.equal(true);
  expect(broken).to.deep.equal([]);
  expect(lapses).to.equal(0);
  expect(claimed).to.have.length(2);
}).timeout(120_000);
