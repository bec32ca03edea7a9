import { expect } from 'chai';
import type { HolderAnswer } from '@bronzeyoke/scheduler';
import { DEFAULT_POLICY, FULL_CAPACITY } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  commitsOf,
  createFollower,
  dispatch,
  leaderRow,
  leaseRow,
  poll,
  TIMES,
} from './fixture';
import { expectRules, SEED } from './simrules';
import type { Simulation } from './simtypes';
import { createSimulation } from './simulation';

const POLICY = { ...DEFAULT_POLICY, detectsEndedHolder: true };
const SMALL = { ...FULL_CAPACITY, processors: 0.324 };

/** The entry under test listens at the address of the first of these. */
const FORMER = { entryId: 'entry-0', host: 'h1', port: 1, term: 4 };
const ELSEWHERE = { ...FORMER, host: 'h2' };

function follower(leader: typeof FORMER, policy = POLICY): Fixture {
  const row = leaderRow(leader, 9);
  return dispatch(createFollower(SMALL, policy), { kind: 'leaderRow', row });
}

function pollHeld(fixture: Fixture, version: number, isReleased = false): Fixture {
  return poll(fixture, leaseRow({ entryId: 'entry-0', number: version, isReleased }, version));
}

function hasClaimed(fixture: Fixture): boolean {
  return commitsOf(fixture).some(({ callId }) => callId === 'claim');
}

// Guards against an entry that waits for renewals of its own earlier process.
it('ended holder: an entry at the address of the holder claims at its first poll', () => {
  expect(hasClaimed(pollHeld(follower(FORMER), 9))).to.equal(true);
});

// Guards against a claim while the holder may be at work.
it('ended holder: an entry at another address waits', () => {
  expect(hasClaimed(pollHeld(follower(ELSEWHERE), 9))).to.equal(false);
  expect(hasClaimed(pollHeld(follower(FORMER, DEFAULT_POLICY), 9))).to.equal(false);
});

// Guards against two machines with one address that depose each other at each poll.
it('ended holder: a holder that renews is not taken as ended', () => {
  const first = dispatch(createFollower(SMALL, POLICY), { kind: 'leaderRow', row: undefined });
  const polled = pollHeld(first, 9);
  const known = dispatch(polled, { kind: 'leaderRow', row: leaderRow(FORMER, 9) });
  const before = commitsOf(known).length;
  expect(commitsOf(pollHeld(known, 12))).to.have.length(before);
});

// Guards against a small entry that takes a lease that was released for a larger one.
it('ended holder: a released lease is left to larger entries first', () => {
  expect(hasClaimed(pollHeld(follower(FORMER), 9, true))).to.equal(false);
});

function createRunning(policy: typeof POLICY, seed = SEED): Simulation {
  const simulation = createSimulation(seed, 5, TIMES, { policy });
  simulation.submit('lasting', 6);
  simulation.advance(6_000);
  return simulation;
}

/** Returns the time from the return of power to the next claim. */
function claimedAfterMs(policy: typeof POLICY): number {
  const simulation = createRunning(policy);
  simulation.losePower(1_300);
  simulation.advance(1_300);
  const sinceMs = simulation.now();
  const claims = simulation.claims().length;
  simulation.advanceUntil(() => simulation.claims().length > claims, 10_000);
  const afterMs = simulation.now() - sinceMs;
  simulation.advance(12_000);
  expectRules(simulation);
  expect(simulation.claims()).to.have.length(claims + 1);
  return afterMs;
}

// Guards against a fleet that waits for a leader after a loss of power, and against runs that start twice or
// leaders that depose each other because of an early claim.
it('ended holder: the former leader leads soon after a loss of power', () => {
  expect(claimedAfterMs(DEFAULT_POLICY)).to.be.greaterThan(1_800);
  expect(claimedAfterMs(POLICY)).to.be.lessThan(400);
});

// Guards against tasks that run twice or leaders in turn when leaders are killed and come back at once.
[1, 2, 3].forEach((seed) => {
  it(`ended holder: rules are kept when the leader is killed again and again, seed ${seed}`, () => {
    const simulation = createRunning(POLICY, seed);
    [300, 900, 50].forEach((awayMs) => {
      simulation.killEntry(simulation.leader(), awayMs);
      simulation.advance(9_000);
    });
    expectRules(simulation);
    expect(simulation.claims().length).to.be.at.most(4);
  });
});

// Guards against a claim that a store carries out late, after another entry has led.
it('ended holder: rules are kept when the early claim gets no reply', () => {
  const simulation = createRunning(POLICY);
  simulation.loseReply({ commit: 'claim', applyAfterMs: 1_500, unknownAfterMs: 1_200 });
  simulation.losePower(1_300);
  simulation.advance(25_000);
  expectRules(simulation);
});

// Guards against a store that answers only some entries after a loss of power.
it('ended holder: another entry leads when the store refuses the former leader', () => {
  const simulation = createRunning(POLICY);
  const leader = simulation.leader();
  simulation.losePower(1_300);
  simulation.cutEntry(leader, 8_000);
  simulation.advance(25_000);
  expectRules(simulation);
  expect(simulation.lastingAway()).to.deep.equal([]);
});

// Guards against leaders that depose each other, and against tasks that run twice, when the address of a
// holder that goes on behind a cut is given to another machine.
[1, 2, 3].forEach((seed) => {
  it(`ended holder: one change of leaders when an address is used twice, seed ${seed}`, () => {
    const simulation = createRunning(POLICY, seed);
    const before = simulation.claims().length;
    simulation.submit('short', 6);
    simulation.advance(100);
    simulation.replaceEntry(simulation.leader());
    simulation.submit('lasting', 3);
    simulation.advance(20_000);
    expectRules(simulation);
    expect(simulation.claims().length - before).to.be.within(0, 1);
    expect(simulation.lastingAway()).to.deep.equal([]);
  });
});

// Guards against orders of a leader that was frozen while its earlier address got another entry.
it('ended holder: rules are kept when the former holder wakes', () => {
  const simulation = createRunning(POLICY);
  const leader = simulation.leader();
  simulation.submit('lasting', 3);
  simulation.advance(20);
  simulation.freezeEntry(leader, 3_000);
  simulation.advance(200);
  simulation.replaceEntry(leader);
  simulation.advance(20_000);
  expectRules(simulation);
  expect(simulation.lastingAway()).to.deep.equal([]);
});

/** Polls an unchanged row until its holder is asked, answers, and returns whether a poll then claims. */
function claimsAfter(answer: HolderAnswer, policy = POLICY, laterVersion = 9): boolean {
  const row = leaderRow(ELSEWHERE, 9);
  const first = dispatch(createFollower(FULL_CAPACITY, policy), { kind: 'leaderRow', row });
  const polled = [0, 300, 300, 300].reduce(
    (fixture, forMs) => pollHeld(advance(fixture, forMs), 9),
    first,
  );
  const asked = advance(polled, 50);
  const questions = asked.effects.filter(({ kind }) => kind === 'askHolder');
  expect(questions).to.have.length(policy.detectsEndedHolder ? 1 : 0);
  const answered = dispatch(asked, { kind: 'holderAnswered', version: 9, answer });
  return hasClaimed(pollHeld(advance(answered, 300), laterVersion));
}

// Guards against a follower that waits although nobody listens at the holder's address.
it('ended holder: a refusal or another entry at its address shortens the wait', () => {
  expect(claimsAfter({ kind: 'refused' })).to.equal(true);
  expect(claimsAfter({ kind: 'named', entryId: 'entry-9' })).to.equal(true);
});

// Guards against a needless change of leaders: behind a cut, or while the holder answers or renews.
it('ended holder: a silent holder, or one that answers or renews, keeps its lease', () => {
  expect(claimsAfter({ kind: 'silent' })).to.equal(false);
  expect(claimsAfter({ kind: 'named', entryId: ELSEWHERE.entryId })).to.equal(false);
  expect(claimsAfter({ kind: 'refused' }, POLICY, 12)).to.equal(false);
  expect(claimsAfter({ kind: 'refused' }, DEFAULT_POLICY)).to.equal(false);
});

/** Returns the time from the end of a leader, which stays away, to the next claim. */
function claimedAfterKillMs(policy: typeof POLICY, seed: number): number {
  const simulation = createRunning(policy, seed);
  const claims = simulation.claims().length;
  simulation.killEntry(simulation.leader(), 30_000);
  const sinceMs = simulation.now();
  simulation.advanceUntil(() => simulation.claims().length > claims, 10_000);
  const afterMs = simulation.now() - sinceMs;
  simulation.advance(12_000);
  expectRules(simulation);
  expect(simulation.claims()).to.have.length(claims + 1);
  return afterMs;
}

// Guards against a fleet without a leader for the whole time of renewals after its process was killed.
[1, 2, 3].forEach((seed) => {
  it(`ended holder: a killed leader that stays away is replaced early, seed ${seed}`, () => {
    const lateMs = claimedAfterKillMs(DEFAULT_POLICY, seed);
    const earlyMs = claimedAfterKillMs(POLICY, seed);
    expect(earlyMs, `${earlyMs} and ${lateMs} ms`).to.be.lessThan(1_800);
    expect(earlyMs).to.be.lessThan(lateMs);
  });
});

// Guards against a change of leaders because a live leader is slow to renew, or is frozen for a moment.
it('ended holder: a leader that is frozen for less than the time of renewals goes on', () => {
  const simulation = createRunning(POLICY);
  const claims = simulation.claims().length;
  simulation.freezeEntry(simulation.leader(), 1_200);
  simulation.advance(10_000);
  expectRules(simulation);
  expect(simulation.claims()).to.have.length(claims);
});
