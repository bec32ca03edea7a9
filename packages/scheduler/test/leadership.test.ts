import { expect } from 'chai';
import type { StoredRow } from '@bronzeyoke/ports';
import type { Leader, LeaseValue } from '@bronzeyoke/scheduler';
import { deriveTimes, LEADER_KEY, LEASE_KEY } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  answerReads,
  commitAll,
  createFollower,
  createLeader,
  createLoading,
  dispatch,
  inFlight,
  jobOf,
  report,
  sentMessages,
  stageOf,
  submit,
  TIMES,
  WALL_MS,
  workerKeyFor,
} from './fixture';

const wallMs = WALL_MS;
const OWN = { entryId: 'entry-1', host: 'h1', port: 1, term: 1 };
const OTHER = { entryId: 'entry-2', host: 'h2', port: 1, term: 1 };
const CLAIM_VERSION = 11;

function leaderRow(leader: Leader, version: number): StoredRow {
  return { ...LEADER_KEY, version, value: leader };
}

function leaseRow(value: Readonly<Record<string, unknown>>, version: number): StoredRow {
  return { ...LEASE_KEY, version, value };
}

/** Delivers the reply to a poll of the lease. */
function poll(fixture: Fixture, row: StoredRow | undefined): Fixture {
  const rows = row === undefined ? [] : [row];
  const result = { kind: 'rows', rows, version: row?.version ?? 10 } as const;
  return dispatch(advance(fixture, 400), { kind: 'rangeDone', callId: 'poll', result, wallMs });
}

function settleClaim(
  fixture: Fixture,
  result: Extract<Parameters<typeof dispatch>[1], { kind: 'commitDone' }>['result'],
): Fixture {
  return dispatch(fixture, { kind: 'commitDone', callId: 'claim', result, wallMs });
}

function commitsOf(fixture: Fixture) {
  return fixture.effects.flatMap((effect) => (effect.kind === 'commit' ? [effect] : []));
}

/** Returns an entry that has sent its claim of a lease that nobody held. */
function claiming(): Fixture {
  return poll(createFollower(), undefined);
}

// Guards against two leaders with one term: the feed may deliver the row of a claim before its reply.
it('leads under the term of its claim when the feed comes first', () => {
  const seen = dispatch(claiming(), { kind: 'leaderRow', row: leaderRow(OWN, CLAIM_VERSION) });
  const won = settleClaim(seen, { kind: 'committed', version: CLAIM_VERSION });
  expect(won.state.phase).to.equal('loading');
  expect(won.state.leader).to.deep.equal(OWN);
});

// Guards against a leader that a successor with the next term does not depose.
it('is deposed by the next term after its row came before the reply', () => {
  const seen = dispatch(claiming(), { kind: 'leaderRow', row: leaderRow(OWN, CLAIM_VERSION) });
  const won = settleClaim(seen, { kind: 'committed', version: CLAIM_VERSION });
  const next = { ...OTHER, term: OWN.term + 1 };
  const deposed = dispatch(won, { kind: 'leaderRow', row: leaderRow(next, 20) });
  expect(deposed.state.phase).to.equal('following');
  expect(deposed.state.leader).to.deep.equal(next);
});

// Guards against a lease that nobody uses: the claim took effect, and only its reply was lost.
it('leads after a claim whose reply was lost', () => {
  const lost = settleClaim(claiming(), { kind: 'unknown' });
  const again = advance(lost, 300);
  const claims = commitsOf(again).filter(({ callId }) => callId === 'claim');
  expect(claims).to.have.length(2);
  expect(claims[1]?.transaction).to.deep.equal(claims[0]?.transaction);
  const lease = claims[0]?.transaction.writes.find(({ table }) => table === LEASE_KEY.table);
  const value = lease?.kind === 'put' ? (lease.value as Readonly<Record<string, unknown>>) : {};
  const rows = [leaderRow(OWN, CLAIM_VERSION), leaseRow(value, CLAIM_VERSION)];
  const won = settleClaim(again, { kind: 'conflict', rows });
  expect(won.state.phase).to.equal('loading');
  expect(won.state.leaseVersion).to.equal(CLAIM_VERSION);
});

// Guards against an entry that regards the claim of another one as its own.
it('follows after a lost reply when another entry has claimed', () => {
  const lost = advance(settleClaim(claiming(), { kind: 'unknown' }), 300);
  const rows = [leaderRow(OTHER, 12), leaseRow({ entryId: 'entry-2', number: 1 }, 12)];
  expect(settleClaim(lost, { kind: 'conflict', rows }).state.phase).to.equal('following');
});

// Guards against a takeover time that starts anew because a busy store refused the claim.
it('claims again at the next poll after the store refused a claim', () => {
  const lease = leaseRow({ entryId: 'entry-2', number: 9, isReleased: false }, 10);
  const claimed = Array.from({ length: 6 }).reduce<Fixture>(
    (fixture) => poll(fixture, lease),
    createFollower(),
  );
  expect(claimed.state.phase).to.equal('claiming');
  const refused = settleClaim(claimed, { kind: 'unavailable' });
  expect(refused.state.phase).to.equal('following');
  expect(poll(refused, lease).state.phase).to.equal('claiming');
});

// Guards against a leadership that moves on every two seconds while the store is slow: renewals then
// take longer than the time after which an unchanged lease is taken over.
it('gives a leader more time to renew while polls are slow', () => {
  const lease = leaseRow({ entryId: 'entry-2', number: 9, isReleased: false }, 10);
  const slowPolls = Array.from({ length: 5 }).reduce<Fixture>((fixture) => {
    const sent = advance(fixture, 300);
    const result = { kind: 'rows', rows: [lease], version: 10 } as const;
    const replied = { ...sent, nowMs: sent.nowMs + 250 };
    return dispatch(replied, { kind: 'rangeDone', callId: 'poll', result, wallMs });
  }, createFollower());
  expect(slowPolls.state.phase).to.equal('following');
  expect(poll(poll(poll(slowPolls, lease), lease), lease).state.phase).to.equal('claiming');
});

function releaseOf(fixture: Fixture) {
  return commitsOf(fixture).find(({ transaction }) =>
    transaction.writes.some(
      (write) =>
        write.kind === 'put' &&
        write.table === LEASE_KEY.table &&
        (write.value as { readonly isReleased?: boolean }).isReleased === true,
    ),
  );
}

// Guards against a successor that waits for a lease that its holder meant to release: a transaction in
// flight changes the version that the release depends on.
it('releases its lease after a transaction in flight', () => {
  const busy = submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const { callId } = inFlight(busy);
  const stopped = dispatch(busy, { kind: 'stop' });
  const settled = dispatch(stopped, {
    kind: 'commitDone',
    callId,
    result: { kind: 'committed', version: 77 },
    wallMs,
  });
  const release = releaseOf(settled);
  const condition = release?.transaction.conditions.find(({ table }) => table === LEASE_KEY.table);
  expect(condition?.version).to.equal(77);
});

// Guards against a release that is lost with its reply, so that the successor waits.
it('sends the release again until the store replies', () => {
  const stopped = dispatch(createLeader(), { kind: 'stop' });
  const release = releaseOf(stopped);
  expect(release).to.not.equal(undefined);
  const lost = dispatch(stopped, {
    kind: 'commitDone',
    callId: release?.callId ?? '',
    result: { kind: 'unavailable' },
    wallMs,
  });
  expect(commitsOf(advance(lost, 100)).length).to.be.greaterThan(commitsOf(lost).length);
});

// Guards against a lease that a stopping entry claims and then leaves unreleased.
it('releases a lease that it wins while it stops', () => {
  const stopped = dispatch(claiming(), { kind: 'stop' });
  expect(
    releaseOf(settleClaim(stopped, { kind: 'committed', version: CLAIM_VERSION })),
  ).to.not.equal(undefined);
});

const LEASE_END_MS = TIMES.grantWindowMs + TIMES.agentLeaseMs + TIMES.marginMs;

/** Delivers the reads of a new leader: one lasting task of worker w1. */
function loadLastingTask(loading: Fixture): Fixture {
  const workerKey = workerKeyFor('w1');
  const task = { phase: 'running', attempt: 1, failures: 0, workerKey };
  const progress = { table: 'progress', partition: 'main', key: 'job1', version: 9 };
  const job = { table: 'job', partition: 'main', key: 'job1/job', version: 8 };
  const rows = [{ ...progress, value: { tasks: { '0.0.0': task } } }];
  const read = answerReads(loading, rows, wallMs);
  const definition = jobOf('job1', [stageOf(1, { isLasting: true })]);
  return dispatch(read, {
    kind: 'jobRows',
    isFull: true,
    rows: [{ ...job, value: definition }],
    wallMs,
  });
}

/** Lets an entry take over an unreleased lease row, and load the task. */
function takeOver(lease: StoredRow): Fixture {
  const polled = Array.from({ length: 6 }).reduce<Fixture>(
    (fixture) => poll(fixture, lease),
    createFollower(),
  );
  expect(polled.state.phase).to.equal('claiming');
  return loadLastingTask(settleClaim(polled, { kind: 'committed', version: 30 }));
}

/** Returns the time from now to the release of the task, in steps of a tick. */
function releasedAfterMs(fixture: Fixture): number {
  const stepMs = 50;
  const steps = Array.from({ length: 400 }).findIndex((_, index) =>
    advance(fixture, index * stepMs).state.runs.byTask.isEmpty(),
  );
  return steps * stepMs;
}

const LOADING_LEASE = {
  entryId: 'entry-2',
  number: 3,
  isReleased: false,
  grants: { lastEndMs: 0, earlierEndMs: 2_000, awaitedEndMs: {} },
};

// Guards against a wait that starts with each new leader although the time before its claim counts.
it('counts the wait for silent workers from the last renewal', () => {
  const lease = { entryId: 'entry-2', number: 9, isReleased: false };
  const granting = {
    ...lease,
    grants: { lastEndMs: LEASE_END_MS, earlierEndMs: 0, awaitedEndMs: {} },
  };
  const leader = takeOver(leaseRow(granting, 10));
  expect(releasedAfterMs(leader)).to.be.at.most(LEASE_END_MS - 2_000 + 50);
  expect(releasedAfterMs(leader)).to.be.at.least(LEASE_END_MS - 2_400);
});

// Guards against a wait that starts anew after a leader that granted no lease.
it('goes on with the wait of a leader that granted nothing', () => {
  const leader = takeOver(leaseRow(LOADING_LEASE, 10));
  expect(releasedAfterMs(leader)).to.be.at.most(100);
});

// Guards against a wait that starts anew for a worker that the last leader never heard of.
it('goes on with the wait for a worker that stayed silent', () => {
  const awaitedEndMs = { [workerKeyFor('w1')]: 3_000 };
  const grants = { lastEndMs: LEASE_END_MS, earlierEndMs: 3_000, awaitedEndMs };
  const leader = takeOver(leaseRow({ ...LOADING_LEASE, grants }, 10));
  expect(releasedAfterMs(leader)).to.be.within(900, 1_100);
});

/** Grant window of the builds that do not describe their grants in the row. */
const UNDESCRIBED_WINDOW_MS = 6_000;

// Guards against a second run of a task: a row of an earlier build does not tell what was granted.
it('waits for the longest lease after a row of an earlier build', () => {
  const lease = { entryId: 'entry-2', number: 9, isReleased: false };
  const leader = takeOver(leaseRow(lease, 10));
  const longestMs = UNDESCRIBED_WINDOW_MS + TIMES.agentLeaseMs + TIMES.marginMs;
  expect(releasedAfterMs(leader)).to.be.at.least(longestMs - 2_400);
});

// Guards against a second run of a task: an earlier build that releases its lease says nothing about the
// leader before it, which may still grant leases.
it('waits for the longest lease after an earlier build has released it', () => {
  const value = { entryId: 'entry-2', number: 2, isReleased: true };
  const loading = createLoading(createFollower(), [leaseRow(value, 10)]);
  const leader = loadLastingTask(loading);
  const longestMs = UNDESCRIBED_WINDOW_MS + TIMES.agentLeaseMs + TIMES.marginMs;
  expect(releasedAfterMs(leader)).to.be.at.least(longestMs - 100);
});

// Guards against claims that cannot succeed and keep the winner from renewing its lease: calls of one
// partition follow one another in a slow store.
it('gives up a claim without a reply once another entry leads', () => {
  const lost = settleClaim(claiming(), { kind: 'unknown' });
  const seen = dispatch(lost, { kind: 'leaderRow', row: leaderRow(OTHER, 12) });
  const later = advance(seen, 300);
  expect(commitsOf(later)).to.have.length(1);
  expect(later.state.phase).to.equal('following');
});

// Guards against a leader with a term below that of its successor, whose row came before the reply.
it('does not lead on a late reply after another entry has claimed', () => {
  const next = { ...OTHER, term: OWN.term + 1 };
  const seen = dispatch(claiming(), { kind: 'leaderRow', row: leaderRow(next, 12) });
  const late = settleClaim(seen, { kind: 'committed', version: CLAIM_VERSION });
  expect(late.state.phase).to.equal('following');
  expect(late.state.leader).to.deep.equal(next);
});

function grantsOf(fixture: Fixture): number {
  return sentMessages(fixture, 'grant').length;
}

/** Takes over from a leader that granted leases until then. */
function takeOverGranting(): Fixture {
  const lease = { entryId: 'entry-2', number: 9, isReleased: false };
  const granted = { lastEndMs: LEASE_END_MS, earlierEndMs: 0, awaitedEndMs: {} };
  return takeOver(leaseRow({ ...lease, grants: granted }, 10));
}

// Guards against a lease that is granted before the store knows that its holder may grant it: the next
// leader would not wait for it.
it('grants no lease to an awaited worker before the row says so', () => {
  const reported = report(advance(takeOverGranting(), 50), 'w1');
  expect(grantsOf(reported)).to.equal(0);
});

// Guards against a worker that loses its tasks because it stays awaited after its report.
it('grants a lease once the row no longer names the worker as awaited', () => {
  const begun = commitAll(takeOverGranting());
  const reported = report(advance(begun, 50), 'w1');
  expect(grantsOf(reported)).to.equal(0);
  const struck = commitAll(advance(reported, 50));
  expect(grantsOf(report(advance(struck, 300), 'w1'))).to.equal(1);
});

// Guards against a successor that waits anew although the leader that releases knows better.
it('names the workers that it still awaits when it releases its lease', () => {
  const stopped = dispatch(commitAll(takeOverGranting()), { kind: 'stop' });
  const write = releaseOf(stopped)?.transaction.writes[0];
  const value = write?.kind === 'put' ? (write.value as LeaseValue) : undefined;
  const endMs = value?.grants?.awaitedEndMs[workerKeyFor('w1')];
  expect(endMs).to.be.within(LEASE_END_MS - 2_400, LEASE_END_MS - 1_800);
});

// Guards against a successor that waits anew for a worker that was silent before the leader failed.
it('names a worker that has gone silent, and grants it no lease until the row changes', () => {
  const silent = commitAll(advance(report(createLeader(), 'w1'), 2_000));
  const written = commitsOf(silent).at(-1)?.transaction.writes[0];
  const value = written?.kind === 'put' ? (written.value as LeaseValue) : undefined;
  const leftMs = TIMES.agentLeaseMs + TIMES.marginMs - 2_000;
  expect(value?.grants?.awaitedEndMs).to.deep.equal({ [workerKeyFor('w1')]: leftMs });
  const granted = grantsOf(silent);
  const reported = report(silent, 'w1', { clockMs: silent.nowMs });
  expect(grantsOf(reported)).to.equal(granted);
  const struck = commitAll(advance(reported, 50));
  expect(grantsOf(report(advance(struck, 300), 'w1'))).to.equal(granted + 1);
});

// Guards against a lease that is granted while the row that calls the worker silent is being written.
it('grants a silent worker no lease while the row that names it is in flight', () => {
  const writing = advance(report(createLeader(), 'w1'), 2_000);
  expect(writing.state.inFlight).to.not.equal(undefined);
  const granted = grantsOf(writing);
  expect(grantsOf(report(writing, 'w1'))).to.equal(granted);
});

// Guards against a leader on a small machine, which cannot follow all agents: it leaves the lease to
// entries with full capacity, and still claims one that none of them takes.
it('claims a free lease later on a small machine', () => {
  const small = createFollower({ processors: 0.324, linkMbps: 10 });
  const seen = poll(small, undefined);
  expect(seen.state.phase).to.equal('following');
  expect(poll(seen, undefined).state.phase).to.equal('following');
  expect(poll(poll(seen, undefined), undefined).state.phase).to.equal('claiming');
});

/** Time for which a lasting task may be away after its last run while nothing fails. */
const MAX_AWAY_MS = 9_000;

/** Polls, the claim, the load, the commit of the next run and its start, which follow the wait. */
const RESTART_MS = 650;

// Guards against lasting tasks that stay away longer than promised when their worker and the leader fail
// together: the wait for the leases of the last leader must leave time for the restart.
it('waits for silent workers no longer than the promise for lasting tasks', () => {
  [3_000, 6_000, 10_000, 20_000, 60_000].forEach((maxLeaseMs) => {
    const times = deriveTimes({ maxLeaseMs, holderLeaseMs: 3_000, statusMs: 120_000 });
    const waitMs = times.grantWindowMs + times.agentLeaseMs + times.marginMs;
    expect(waitMs + RESTART_MS, `${maxLeaseMs}`).to.be.at.most(MAX_AWAY_MS);
  });
});
