import { expect } from 'chai';
import type { RunnerEvent } from '@bronzeyoke/runner';
import { createRunner, stepRunner } from '@bronzeyoke/runner';
import type { Fixture } from './fixture';
import { answerHold, dispatch, KEY, LEADER, REPORT } from './fixture';

const SEEDS = ['s1', 's2', 's3'].map((host) => ({ host, port: 1 }));
const ANNOUNCED = { kind: 'leader', term: 1, ...LEADER } as const;
const GRANT = { kind: 'grant', workerKey: KEY, leaseUntilClockMs: 5_000 } as const;

/** Share of a lease that a worker has left after the report of its last grant, in ms. */
const LEASE_LEFT_MS = 0.98 * 5_000 - 600;

function step(fixture: Fixture, event: RunnerEvent, afterMs: number, random: number): Fixture {
  const nowMs = fixture.nowMs + afterMs;
  const next = stepRunner(fixture.state, event, { nowMs, random });
  return { state: next.state, effects: next.effects, nowMs };
}

/** Returns an agent with seeds that the leader has granted a lease. */
function createGranted(random = 0): Fixture {
  const settings = { agentId: 'a1', firstToken: 100, seeds: SEEDS };
  const start = { state: createRunner(settings), effects: [], nowMs: 0 };
  const reported = answerHold(dispatch(start, { kind: 'heartbeat', report: REPORT }));
  const led = step(reported, { kind: 'leader', term: 1, address: LEADER }, 10, random);
  const linked = dispatch(led, { kind: 'linkOpened' });
  return dispatch(linked, { kind: 'received', message: GRANT }, 0);
}

/** Returns the hosts that the last step connects to. */
function dialed({ effects }: Fixture): readonly string[] {
  return effects.flatMap((effect) => (effect.kind === 'connect' ? [effect.address.host] : []));
}

/** Lets a seed name the leader, to which the agent connects again. */
function returnToLeader(asked: Fixture, random = 0): Fixture {
  const opened = dispatch(asked, { kind: 'linkOpened' });
  const named = step(opened, { kind: 'received', message: ANNOUNCED }, 10, random);
  expect(dialed(named)).to.deep.equal([LEADER.host]);
  return dispatch(named, { kind: 'linkOpened' });
}

// Guards against an overloaded leader that is kept busy by the new connections of agents which it has
// not answered in time.
it('silence: a leader that stays silent on a new connection gets more time', () => {
  expect(dialed(dispatch(createGranted(), { kind: 'tick' }, 1_500))).to.deep.equal([]);
  const asked = dispatch(createGranted(), { kind: 'tick' }, 1_800);
  expect(dialed(asked)).to.deep.equal(['s1']);
  const askedAgain = dispatch(returnToLeader(asked), { kind: 'tick' }, 1_700);
  expect(dialed(askedAgain)).to.deep.equal(['s2']);
  const third = returnToLeader(askedAgain);
  expect(dialed(dispatch(third, { kind: 'tick' }, 14_000))).to.deep.equal([]);
  const last = dispatch(third, { kind: 'tick' }, 14_200);
  expect(dialed(last)).to.deep.equal(['s3']);
  expect(dialed(dispatch(returnToLeader(last), { kind: 'tick' }, 14_000))).to.deep.equal([]);
});

/** Returns an agent whose leader has stayed silent on two connections and is dialed again. */
function createThird(): Fixture {
  const second = returnToLeader(dispatch(createGranted(), { kind: 'tick' }, 1_800));
  return returnToLeader(dispatch(second, { kind: 'tick' }, 1_700));
}

// Guards against a leader that recovers, and whose later loss is noticed too late.
it('silence: a grant makes the agent as impatient as at first', () => {
  const granted = dispatch(createThird(), { kind: 'received', message: GRANT });
  expect(dialed(dispatch(granted, { kind: 'tick' }, 1_800))).to.deep.equal(['s3']);
});

// Guards against the address that any entry sends on a new connection, which says nothing of its load.
it('silence: an address alone does not make the agent impatient', () => {
  const greeted = dispatch(createThird(), { kind: 'received', message: ANNOUNCED });
  expect(dialed(dispatch(greeted, { kind: 'tick' }, 14_000))).to.deep.equal([]);
});

// Guards against an agent whose worker comes up, and that has lost patience before it sent anything.
it('silence: an agent without a worker counts no silence', () => {
  const settings = { agentId: 'a1', firstToken: 100, seeds: SEEDS };
  const start = { state: createRunner(settings), effects: [], nowMs: 0 };
  const led = dispatch(start, { kind: 'leader', term: 1, address: LEADER });
  const linked = dispatch(led, { kind: 'linkOpened' });
  const last = [1, 2, 3].reduce<Fixture>(
    (current) => returnToLeader(dispatch(current, { kind: 'tick' }, 1_800)),
    linked,
  );
  expect(dialed(dispatch(last, { kind: 'tick' }, 1_800))).to.have.length(1);
});

// Guards against hundreds of agents that leave a silent leader at the same moment.
it('silence: agents leave a silent leader at different times', () => {
  const patient = createGranted(0.99);
  expect(dialed(dispatch(patient, { kind: 'tick' }, 1_900))).to.deep.equal([]);
  expect(dialed(dispatch(patient, { kind: 'tick' }, 2_000))).to.deep.equal(['s1']);
});

// Guards against an agent that is cut off from its leader and from the store, and asks an entry again
// only when its worker's lease has ended. At its first question the successor may not lead yet.
it('silence: a second entry is asked before the lease ends', () => {
  const random = 0.999;
  const granted = createGranted(random);
  const second = returnToLeader(step(granted, { kind: 'tick' }, 2_000, random), random);
  const asked = step(second, { kind: 'tick' }, 2_000, random);
  expect(dialed(asked)).to.deep.equal(['s2']);
  expect(asked.nowMs - granted.nowMs).to.be.lessThan(LEASE_LEFT_MS);
});

// Guards against a back-off while no connection opens: the leader is gone or cut off, not overloaded.
it('silence: a leader without a connection gets no more time', () => {
  const closed = dispatch(createGranted(), { kind: 'linkClosed' });
  const asked = dispatch(closed, { kind: 'tick' }, 1_800);
  expect(dialed(asked)).to.deep.equal(['s1']);
  const next = dispatch(asked, { kind: 'tick' }, 1_800);
  expect(dialed(next)).to.have.length(1);
  const opened = dispatch(next, { kind: 'linkOpened' });
  expect(dialed(dispatch(opened, { kind: 'tick' }, 1_800))).to.have.length(1);
});

// Guards against a new leader that is given as much time as the one before, which was overloaded.
it('silence: a leader of a later term gets the first time', () => {
  const address = { host: 'h2', port: 1 };
  const led = dispatch(createThird(), { kind: 'leader', term: 2, address });
  const linked = dispatch(led, { kind: 'linkOpened' });
  expect(dialed(dispatch(linked, { kind: 'tick' }, 1_800))).to.have.length(1);
});

// Guards against an entry that is never asked, and may be the only one within reach.
it('silence: all seeds and the leader are tried in turn', () => {
  const closed = dispatch(createGranted(), { kind: 'linkClosed' });
  const tried = Array.from({ length: 8 }).reduce<{ last: Fixture; hosts: readonly string[] }>(
    ({ last, hosts }) => {
      const next = dispatch(last, { kind: 'tick' }, 1_800);
      return { last: next, hosts: [...hosts, ...dialed(next)] };
    },
    { last: closed, hosts: [] },
  );
  const once = ['s1', 's2', 's3', LEADER.host];
  expect(tried.hosts).to.deep.equal([...once, ...once]);
});

// Guards against an agent that cannot read the store and waits for a frozen seed as long as for its
// overloaded leader, while the lease of its worker ends.
it('silence: a seed that stays silent gets the first time', () => {
  const second = returnToLeader(dispatch(createGranted(), { kind: 'tick' }, 1_800));
  const seed = dispatch(dispatch(second, { kind: 'tick' }, 2_000), { kind: 'linkOpened' });
  expect(dialed(dispatch(seed, { kind: 'tick' }, 2_000))).to.have.length(1);
});
