import { expect } from 'chai';
import { LEASE_KEY } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  claiming,
  CLAIM_VERSION,
  commitsOf,
  createFollower,
  createLeader,
  dispatch,
  inFlight,
  jobOf,
  leaderRow,
  leaseRow,
  poll,
  releaseOf,
  report,
  settleClaim,
  stageOf,
  submit,
  WALL_MS,
} from './fixture';

const OWN = { entryId: 'entry-1', host: 'h1', port: 1, term: 1 };
const OTHER = { entryId: 'entry-2', host: 'h2', port: 1, term: 1 };

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
    return dispatch(replied, { kind: 'rangeDone', callId: 'poll', result, wallMs: WALL_MS });
  }, createFollower());
  expect(slowPolls.state.phase).to.equal('following');
  expect(poll(poll(poll(slowPolls, lease), lease), lease).state.phase).to.equal('claiming');
});

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
    wallMs: WALL_MS,
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
    wallMs: WALL_MS,
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

// Guards against a leader on a small machine, which cannot follow all agents: it leaves the lease to
// entries with full capacity, and still claims one that none of them takes.
it('claims a free lease later on a small machine', () => {
  const small = createFollower({ processors: 0.324, linkMbps: 10 });
  const seen = poll(small, undefined);
  expect(seen.state.phase).to.equal('following');
  expect(poll(seen, undefined).state.phase).to.equal('following');
  expect(poll(poll(seen, undefined), undefined).state.phase).to.equal('claiming');
});
