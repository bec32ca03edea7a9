import { expect } from 'chai';
import type { RunnerEffect, RunnerEvent } from '@bronzeyoke/runner';
import { createRunner, stepRunner } from '@bronzeyoke/runner';
import type { Fixture } from './fixture';
import { answerHold, crash, dispatch, KEY, LEADER, MAX_LEASE_MS, REPORT } from './fixture';

const SEEDS = ['s1', 's2', 's3'].map((host) => ({ host, port: 1 }));
const ANNOUNCED = { kind: 'leader', term: 1, ...LEADER } as const;
const GRANT = { kind: 'grant', workerKey: KEY, leaseUntilClockMs: 5_000 } as const;

/** Returns whether an effect changes a connection. */
function isMove({ kind }: RunnerEffect): boolean {
  return kind === 'connect' || kind === 'askSeed';
}

/** Share of a lease that a worker has left after the report of its last grant, in ms. */
const LEASE_LEFT_MS = 0.98 * 5_000 - 600;

function step(fixture: Fixture, event: RunnerEvent, afterMs: number, random: number): Fixture {
  const nowMs = fixture.nowMs + afterMs;
  const next = stepRunner(fixture.state, event, { nowMs, random });
  return { state: next.state, effects: next.effects, nowMs };
}

/** Returns an agent with seeds that the leader has granted a lease. */
function createGranted(random = 0): Fixture {
  const settings = { agentId: 'a1', firstToken: 100, seeds: SEEDS, maxLeaseMs: MAX_LEASE_MS };
  const start = { state: createRunner(settings), effects: [], nowMs: 0 };
  const reported = answerHold(dispatch(start, { kind: 'heartbeat', report: REPORT }));
  const led = step(reported, { kind: 'leader', term: 1, address: LEADER }, 10, random);
  const linked = dispatch(led, { kind: 'linkOpened' });
  return dispatch(linked, { kind: 'received', message: GRANT }, 0);
}

/** Returns the hosts to which the last step moves the connection for reports. */
function dialed({ effects }: Fixture): readonly string[] {
  return effects.flatMap((effect) => (effect.kind === 'connect' ? [effect.address.host] : []));
}

/** Returns the hosts that the last step asks who leads. */
function asked({ effects }: Fixture): readonly string[] {
  return effects.flatMap((effect) => (effect.kind === 'askSeed' ? [effect.address.host] : []));
}

/** Lets the seed that was asked name a leader. */
function answer(fixture: Fixture, term = 1, address = LEADER): Fixture {
  return dispatch(fixture, { kind: 'leaderNamed', term, address });
}

/** Returns an agent whose leader has been silent once; a seed has named the same one. */
function createFirst(): Fixture {
  return answer(dispatch(createGranted(), { kind: 'tick' }, 1_800));
}

/** Returns an agent whose leader has been silent twice, and that has connected to it again. */
function createSecond(): Fixture {
  return answer(dispatch(dispatch(createFirst(), { kind: 'tick' }, 1_700), { kind: 'linkOpened' }));
}

// Guards against an overloaded leader that is kept busy by the new connections of agents which it has
// not answered in time.
it('silence: a silent leader gets one new connection, and then more time', () => {
  expect(asked(dispatch(createGranted(), { kind: 'tick' }, 1_500))).to.deep.equal([]);
  const first = dispatch(createGranted(), { kind: 'tick' }, 1_800);
  expect([asked(first), dialed(first)]).to.deep.equal([['s1'], []]);
  const named = answer(first);
  expect([named.effects, named.state.isLinked]).to.deep.equal([[], true]);
  const second = dispatch(named, { kind: 'tick' }, 1_700);
  expect([asked(second), dialed(second)]).to.deep.equal([['s2'], [LEADER.host]]);
  const third = createSecond();
  expect(dispatch(third, { kind: 'tick' }, 14_000).effects.filter(isMove)).to.deep.equal([]);
  const last = dispatch(third, { kind: 'tick' }, 14_200);
  expect([asked(last), dialed(last)]).to.deep.equal([['s3'], [LEADER.host]]);
  const fourth = answer(dispatch(last, { kind: 'linkOpened' }));
  expect(dispatch(fourth, { kind: 'tick' }, 14_000).effects.filter(isMove)).to.deep.equal([]);
});

// Guards against the late reply of an overloaded leader that is lost with its connection.
it('silence: a reply on the kept connection ends the lookup', () => {
  const first = dispatch(createGranted(), { kind: 'tick' }, 1_800);
  const granted = dispatch(first, { kind: 'received', message: GRANT });
  expect(granted.effects).to.deep.include({ kind: 'endLookup' });
  expect(answer(granted).effects.filter(isMove)).to.deep.equal([]);
  const again = dispatch(granted, { kind: 'tick' }, 1_800);
  expect([asked(again), dialed(again)]).to.deep.equal([['s2'], []]);
});

// Guards against an agent that stays with a leader that has a successor, or leaves it for an earlier one.
it('silence: the agent leaves for a later leader, and for no earlier one', () => {
  const first = dispatch(createGranted(), { kind: 'tick' }, 1_800);
  const address = { host: 'h2', port: 1 };
  expect(answer(first, 0, address).effects.filter(isMove)).to.deep.equal([]);
  const moved = answer(first, 2, address);
  expect(dialed(moved)).to.deep.equal(['h2']);
  expect(moved.effects).to.deep.include({ kind: 'endLookup' });
  const pushed = answer(createFirst(), 2, address);
  expect(dialed(pushed)).to.deep.equal(['h2']);
});

// Guards against the open connection to an entry whose machine lost power and that leads again.
it('silence: the same entry under a later term is connected anew', () => {
  const first = dispatch(createGranted(), { kind: 'tick' }, 1_800);
  expect(dialed(answer(first, 2))).to.deep.equal([LEADER.host]);
  const fed = dispatch(first, { kind: 'leader', term: 2, address: LEADER });
  expect(dialed(fed)).to.deep.equal([LEADER.host]);
});

// Guards against a fleet that connects anew to an overloaded leader whose connections work.
it('silence: a later term that the open connection brings keeps that connection', () => {
  const first = dispatch(createGranted(), { kind: 'tick' }, 1_800);
  const message = { ...ANNOUNCED, term: 2 };
  expect(dialed(dispatch(first, { kind: 'received', message }))).to.deep.equal([]);
});

// Guards against an address of a deposed leader that keeps the agent from the answer of a seed.
it('silence: the address on a new connection does not end the lookup', () => {
  const second = dispatch(createFirst(), { kind: 'tick' }, 1_700);
  const opened = dispatch(second, { kind: 'linkOpened' });
  const greeted = dispatch(opened, { kind: 'received', message: ANNOUNCED });
  expect(greeted.effects).to.not.deep.include({ kind: 'endLookup' });
  expect(dialed(answer(greeted, 2, { host: 'h2', port: 1 }))).to.deep.equal(['h2']);
});

// Guards against a leader that recovers, and whose later loss is noticed too late.
it('silence: a grant makes the agent as impatient as at first', () => {
  const granted = dispatch(createSecond(), { kind: 'received', message: GRANT });
  expect(asked(dispatch(granted, { kind: 'tick' }, 1_800))).to.deep.equal(['s3']);
});

// Guards against the address that any entry sends on a new connection, which says nothing of its load.
it('silence: an address alone does not make the agent impatient', () => {
  const greeted = dispatch(createSecond(), { kind: 'received', message: ANNOUNCED });
  const later = dispatch(greeted, { kind: 'tick' }, 14_000);
  expect(later.effects.filter(isMove)).to.deep.equal([]);
});

// Guards against the agents of a fleet that ask seed after seed while a leader that may not grant yet answers
// each report with its address.
it('silence: answers with an address alone keep the agent from asking again', () => {
  const answered = [createFirst(), createSecond()].map((silent) =>
    Array.from({ length: 20 }).reduce<readonly Fixture[]>((steps) => {
      const greeted = dispatch(steps.at(-1) ?? silent, { kind: 'received', message: ANNOUNCED });
      return [...steps, dispatch(greeted, { kind: 'tick' }, 600)];
    }, []),
  );
  expect(answered.flat().flatMap(({ effects }) => effects.filter(isMove))).to.deep.equal([]);
});

// Guards against an agent whose worker comes up, and that has lost patience before it sent anything, and
// against connections to the leader of agents that have nothing to tell it.
it('silence: an agent without a worker counts no silence', () => {
  const settings = { agentId: 'a1', firstToken: 100, seeds: SEEDS, maxLeaseMs: MAX_LEASE_MS };
  const start = { state: createRunner(settings), effects: [], nowMs: 0 };
  const led = dispatch(start, { kind: 'leader', term: 1, address: LEADER });
  const linked = dispatch(led, { kind: 'linkOpened' });
  ['s1', 's2', 's3', 's1'].reduce<Fixture>((current, host) => {
    const silent = dispatch(current, { kind: 'tick' }, 1_800);
    expect([asked(silent), dialed(silent)]).to.deep.equal([[host], []]);
    return answer(silent);
  }, linked);
});

// Guards against a connection that was cut without a notice, on which the end of a worker never arrives.
it('silence: an agent whose worker is gone connects anew', () => {
  const left = { kind: 'workerLeft', id: REPORT.id } as const;
  const draining = { ...REPORT, sequence: 2, isDraining: true };
  const told = dispatch(createGranted(), { kind: 'heartbeat', report: draining });
  const gone = crash(dispatch(told, left));
  expect(gone.state.worker).to.equal(undefined);
  const first = dispatch(gone, { kind: 'tick' }, 1_800);
  expect(asked(first)).to.deep.equal(['s1']);
  expect(dialed(dispatch(answer(first), { kind: 'tick' }, 1_800))).to.deep.equal([LEADER.host]);
});

// Guards against hundreds of agents that ask or connect at the same moment.
it('silence: agents notice a silent leader at different times', () => {
  const patient = createGranted(0.99);
  expect(dispatch(patient, { kind: 'tick' }, 1_900).effects.filter(isMove)).to.deep.equal([]);
  const noticed = step(patient, { kind: 'tick' }, 2_000, 0.99);
  expect(asked(noticed)).to.deep.equal(['s1']);
  expect(dispatch(noticed, { kind: 'tick' }, 1_900).effects.filter(isMove)).to.deep.equal([]);
});

// Guards against an agent that is cut off from its leader and from the store, and asks an entry again
// only when its worker's lease has ended. At its first question the successor may not lead yet.
it('silence: a second entry is asked before the lease ends', () => {
  const random = 0.999;
  const granted = createGranted(random);
  const first = answer(step(granted, { kind: 'tick' }, 2_000, random));
  const second = step(first, { kind: 'tick' }, 2_000, random);
  expect([asked(second), dialed(second)]).to.deep.equal([['s2'], [LEADER.host]]);
  expect(second.nowMs - granted.nowMs).to.be.lessThan(LEASE_LEFT_MS);
});

// Guards against a back-off while no connection opens: the leader is gone or cut off, not overloaded.
it('silence: a leader without a connection gets no more time', () => {
  const closed = dispatch(createGranted(), { kind: 'linkClosed' });
  const tried = dispatch(closed, { kind: 'tick' }, 1_800);
  expect(dialed(tried)).to.deep.equal(['s1']);
  const next = dispatch(tried, { kind: 'tick' }, 1_800);
  expect(dialed(next)).to.have.length(1);
  const opened = dispatch(next, { kind: 'linkOpened' });
  expect(dialed(dispatch(opened, { kind: 'tick' }, 1_800))).to.have.length(1);
});

// Guards against a leader that ends while a seed is asked, and for which the agent then waits.
it('silence: a kept connection that fails is left for a seed', () => {
  const closed = dispatch(createSecond(), { kind: 'linkClosed' });
  const tried = dispatch(closed, { kind: 'tick' }, 1_800);
  expect(dialed(tried)).to.deep.equal(['s3']);
  expect(tried.effects).to.deep.include({ kind: 'endLookup' });
});

// Guards against a new leader that is given as much time as the one before, which was overloaded.
it('silence: a leader of a later term gets the first time', () => {
  const address = { host: 'h2', port: 1 };
  const led = dispatch(createSecond(), { kind: 'leader', term: 2, address });
  const linked = dispatch(led, { kind: 'linkOpened' });
  expect(asked(dispatch(linked, { kind: 'tick' }, 1_800))).to.have.length(1);
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
  const second = dispatch(createFirst(), { kind: 'tick' }, 1_700);
  const opened = dispatch(second, { kind: 'linkOpened' });
  const next = dispatch(opened, { kind: 'tick' }, 2_000);
  expect([asked(next), dialed(next)]).to.deep.equal([['s3'], []]);
  const last = dispatch(next, { kind: 'tick' }, 2_000);
  expect(asked(last)).to.deep.equal(['s1']);
  expect(asked(dispatch(answer(last), { kind: 'tick' }, 2_000))).to.deep.equal([]);
});
