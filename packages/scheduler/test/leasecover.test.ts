import { expect } from 'chai';
import type { RowCommitResult } from '@bronzeyoke/ports';
import { jobKey, LEASE_KEY, progressKey } from '@bronzeyoke/scheduler';
import type { LeaseValue } from '@bronzeyoke/scheduler';
import type { TaskProgress } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  advance,
  answerReads,
  commit,
  commitAll,
  createFollower,
  createLeader,
  createLoading,
  dispatch,
  inFlight,
  jobOf,
  lastWritten,
  leaderRow,
  leaseRow,
  load,
  phaseOf,
  poll,
  releaseOf,
  report,
  runningLong,
  sentMessages,
  settleClaim,
  stageOf,
  submit,
  TIMES,
  WALL_MS,
  workerKeyFor,
} from './fixture';
import type { CoveredLeader } from './leasecover';
import { coverLeader, coverStep, waitsAfter } from './leasecover';
import { createClock } from './simclock';

const LEASE_END_MS = TIMES.agentLeaseMs + TIMES.marginMs;
const SITES = ['w1', 'w2', 'w3'];
const SEEDS = 200;
const STEPS = 80;

const WAIT_STEP_MS = 50;
const WAIT_STEPS = 300;

/** Longest time from the write of a row to the end of a lease that its holder grants by it. */
const ROW_LEASES_END_MS = TIMES.grantWindowMs + LEASE_END_MS;

const SHORT_TIMES = { ...TIMES, agentLeaseMs: 3_000, grantWindowMs: 1_000 };
const LONG_TIMES = { ...TIMES, agentLeaseMs: 6_000, grantWindowMs: 2_500 };

function answer(fixture: Fixture, result: RowCommitResult): Fixture {
  const { callId } = inFlight(fixture);
  const wallMs = WALL_MS + fixture.nowMs;
  return dispatch(fixture, { kind: 'commitDone', callId, result, wallMs });
}

/** Answers a repeated transaction whose first attempt took effect. */
function conflictWithOwn(fixture: Fixture): Fixture {
  const { leader, inFlight: sent } = fixture.state;
  if (leader === undefined || sent === undefined) throw new Error('no transaction is in flight');
  const version = fixture.version + 1;
  const rows = [leaderRow(leader, version), leaseRow(sent.lease, version)];
  return answer({ ...fixture, version }, { kind: 'conflict', rows });
}

function isSent({ state }: Fixture): boolean {
  return state.inFlight !== undefined && state.inFlight.retryAtMs === undefined;
}

function isRepeated({ state }: Fixture): boolean {
  return state.inFlight?.wasUnknown === true;
}

/** Applies a random event to a leader. */
function disturb(leader: CoveredLeader, random: () => number): CoveredLeader {
  const { fixture } = leader;
  const draw = random();
  const amount = random();
  const site = SITES[Math.floor(amount * SITES.length)] ?? 'w1';
  if (draw < 0.3) return coverStep(leader, (now) => advance(now, 20 + amount * 400));
  if (draw < 0.6) return coverStep(leader, (now) => report(now, site));
  if (draw < 0.62) {
    const times = [TIMES, SHORT_TIMES, LONG_TIMES][Math.floor(amount * 3)] ?? TIMES;
    return coverStep(leader, (now) => dispatch(now, { kind: 'timesChanged', times }));
  }
  if (draw < 0.64) {
    return coverStep(leader, (now) =>
      dispatch(now, { kind: 'linkClosed', linkId: `link-${site}` }),
    );
  }
  if (draw < 0.66) {
    const job = jobOf(`job-${fixture.nowMs}`, [stageOf(1)]);
    return coverStep(leader, (now) => submit(now, job));
  }
  if (draw < 0.67) return coverStep(leader, (now) => dispatch(now, { kind: 'stop' }));
  if (!isSent(fixture)) return leader;
  if (draw < 0.75) return coverStep(leader, (now) => answer(now, { kind: 'unknown' }));
  if (draw < 0.78) return coverStep(leader, (now) => answer(now, { kind: 'unavailable' }));
  return isRepeated(fixture) && draw < 0.9
    ? coverStep(leader, conflictWithOwn, 'firstAttempt')
    : coverStep(leader, commit, 'lastAttempt');
}

function playRandomly(seed: number): CoveredLeader {
  const { random } = createClock(seed);
  return Array.from({ length: STEPS }).reduce<CoveredLeader>(
    (leader) => (leader.fixture.state.phase === 'stopped' ? leader : disturb(leader, random)),
    coverStep(coverLeader(createLeader()), (now) => report(now, 'w1')),
  );
}

const JOB = jobOf('job1', [stageOf(1)]);

function claimedOn(site: string): TaskProgress {
  return { phase: 'running', attempt: 1, failures: 0, workerKey: workerKeyFor(site) };
}

/** Returns an entry that has just read a lease row, as if its holder had released it, and claims. */
function claimAfter(value: unknown): Fixture {
  return poll(createFollower(), leaseRow({ ...(value as LeaseValue), isReleased: true }, 10));
}

/** Returns the same entry once it has learned that its first attempt at the claim took effect. */
function winLate(claiming: Fixture, afterMs: number): Fixture {
  const unknown = advance(settleClaim(claiming, { kind: 'unknown' }), afterMs);
  const { leader, transaction } = unknown.state.claim ?? {};
  const write = transaction?.writes.find(({ table }) => table === LEASE_KEY.table);
  if (leader === undefined || write?.kind !== 'put') throw new Error('no claim was sent');
  const lease = leaseRow(write.value as Readonly<Record<string, unknown>>, 11);
  const rows = [leaderRow(leader, 11), lease];
  return { ...settleClaim(unknown, { kind: 'conflict', rows }), version: 11 };
}

/** Returns the time for which a new leader keeps the task of a silent worker, from its read of the row. */
function keptForMs(fixture: Fixture, readAtMs: number): number {
  const loaded = commitAll(load(fixture, [JOB], { job1: { '0.0.0': claimedOn('w1') } }));
  const waited = Array.from({ length: WAIT_STEPS }).reduce<Fixture>(
    (current) =>
      phaseOf(current) === 'running' ? commitAll(advance(current, WAIT_STEP_MS)) : current,
    loaded,
  );
  return waited.nowMs - readAtMs;
}

// Guards against a second run of a task: a leader whose leases last longer than its lease row tells, when
// answers of the store are late or lost, its times change, or it stops with a transaction on its way.
it('lease cover: random answers of the store leave no lease that the next leader does not count', () => {
  const played = Array.from({ length: SEEDS }, (_, seed) => playRandomly(seed + 1));
  const uncovered = played
    .map((leader) => leader.uncovered)
    .flatMap((found, index) => (found.length === 0 ? [] : [{ seed: index + 1, first: found[0] }]));
  expect(uncovered).to.deep.equal([]);
  const granted = played.filter(({ leaseEnds }) => leaseEnds.size === SITES.length);
  expect(granted.length).to.be.above(SEEDS / 2);
});

// Guards against a leader that counts the leases of the one before from a moment before its claim took effect,
// although that one renewed until then: the claim needs the row that it has read.
it('lease cover: a claim that took effect late shortens no wait for earlier leases', () => {
  const value = lastWritten(runningLong(), LEASE_KEY);
  const claiming = claimAfter(value);
  const keptMs = keptForMs(winLate(claiming, 3_000), claiming.nowMs);
  expect(keptMs).to.be.within(ROW_LEASES_END_MS, ROW_LEASES_END_MS + 2 * WAIT_STEP_MS);
});

// Guards against the same one leader later: the late claim's row counts from the moment at which it was sent.
it('lease cover: the row of a claim that took effect late tells of the earlier leases', () => {
  const first = claimAfter(lastWritten(runningLong(), LEASE_KEY));
  const row = first.state.claim?.transaction.writes.find(({ table }) => table === LEASE_KEY.table);
  const { endAtMs } = waitsAfter(row?.kind === 'put' ? row.value : undefined, first.nowMs);
  expect(endAtMs - first.nowMs).to.be.at.least(ROW_LEASES_END_MS);
});

// Guards against a leader that stops, gets the answer to its last renewal, and grants leases that its
// release does not tell of.
it('lease cover: a release tells of the leases that a stopping leader grants', () => {
  const renewing = advance(commitAll(report(createLeader(), 'w1')), 500);
  const silent = { ...renewing, nowMs: renewing.nowMs + TIMES.grantWindowMs };
  const reported = report(silent, 'w1');
  const stopped = dispatch(reported, { kind: 'stop' });
  const before = sentMessages(stopped, 'grant').length;
  const leader = coverStep(coverLeader(stopped), commit, 'lastAttempt');
  expect(sentMessages(leader.fixture, 'grant')).to.have.length(before);
  const prompt = dispatch(report(renewing, 'w1'), { kind: 'stop' });
  const released = coverStep(coverLeader(prompt), commit, 'lastAttempt');
  expect(releaseOf(released.fixture)).to.not.equal(undefined);
  expect(released.uncovered).to.deep.equal([]);
});

// Guards against a leader that takes a row without a description of leases for one without leases.
it('lease cover: a row that tells nothing of leases counts as one with the longest window', () => {
  const value = { entryId: 'entry-0', number: 3, isReleased: false };
  const claiming = claimAfter(value);
  const keptMs = keptForMs(winLate(claiming, 0), claiming.nowMs);
  expect(keptMs).to.be.at.least(6_000 + LEASE_END_MS);
});

// Guards against a leader that forgets the long lease of a worker whose runs it cannot read, because their job
// is held: the leader after it, which can, would count a shorter one.
it('lease cover: a held job leaves no long lease uncounted', () => {
  const workerKey = workerKeyFor('w1');
  const grants = {
    lastEndMs: LEASE_END_MS,
    earlierEndMs: 0,
    awaitedEndMs: {},
    longEndMs: { [workerKey]: TIMES.maxLeaseEndMs },
  };
  const value = { entryId: 'entry-0', number: 3, isReleased: true, grants };
  const loading = createLoading(createFollower(), [leaseRow(value, 10)]);
  const readAtMs = loading.nowMs;
  const row = { ...progressKey('job1'), version: 9, value: 'unreadable' };
  const read = answerReads(loading, [row], WALL_MS);
  const rows = [{ ...jobKey('job1'), version: 8, value: JOB }];
  const loaded = dispatch(read, { kind: 'jobRows', isFull: true, rows, wallMs: WALL_MS });
  const later = commitAll(advance(commitAll(loaded), 1_000));
  const { awaited, endAtMs } = waitsAfter(lastWritten(later, LEASE_KEY), later.nowMs);
  expect(awaited.get(workerKey, endAtMs)).to.be.at.least(readAtMs + TIMES.maxLeaseEndMs);
});
