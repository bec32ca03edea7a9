import { expect } from 'chai';
import type { Stage, TaskProgress } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createFollower,
  createLoading,
  jobOf,
  leaseRow,
  load,
  phaseOf,
  poll,
  stageOf,
  TIMES,
  workerKeyFor,
} from './fixture';

/** Longest lease of a worker whose clock is 2% slow. */
const MAX_LEASE_MS = 10_000 * 1.02;

const LATE_CALL_MS = 3_000;

/** End of the leases of the leader before, as its row says. */
const LAST_END_MS = TIMES.agentLeaseMs + TIMES.marginMs;

/** Version of the progress row that the fixture loads. */
const ROW_VERSION = 11;

const GRANTS = { lastEndMs: LAST_END_MS, earlierEndMs: 0, awaitedEndMs: {} };
const HELD = { entryId: 'entry-0', number: 3, isReleased: false, grants: GRANTS };

/** Polls of 400 ms after which a version was seen for longer than a late run may last. */
const OLD_POLLS = 36;

function pollTimes(fixture: Fixture, count: number): Fixture {
  // A renewal with each poll keeps the entry from claiming the lease.
  return Array.from({ length: count }).reduce<Fixture>(
    (current, _, index) => poll(current, leaseRow(HELD, ROW_VERSION + 1 + index)),
    fixture,
  );
}

/** Returns a new leader with a job whose only task is stored in some phase, on a worker that is silent. */
function successorOf(
  phase: TaskProgress['phase'],
  follower: Fixture = createFollower(),
  stage: Partial<Stage> = {},
  grants: typeof GRANTS = GRANTS,
): Fixture {
  const version = (follower.state.seenVersions.at(-1)?.version ?? 10) + 1;
  const row = leaseRow({ ...HELD, grants, isReleased: true }, version);
  const task = { phase, attempt: 1, failures: 0, workerKey: workerKeyFor('w1') } as const;
  const job = jobOf('job1', [stageOf(1, stage)]);
  return commitAll(load(createLoading(follower, [row]), [job], { job1: { '0.0.0': task } }));
}

// Guards against a second run of a task that a later instance began from an order of the leader before: its
// lease may be the longest one, and the row tells of the lease of the instance that was ordered.
it('adopted orders: a run that may be late is kept for the longest lease', () => {
  const kept = commitAll(advance(successorOf('claimed'), LATE_CALL_MS + MAX_LEASE_MS));
  expect(phaseOf(kept)).to.equal('claimed');
  expect(phaseOf(advance(kept, 500))).to.equal('waiting');
});

// Guards against tasks of silent machines that all wait for the longest lease after a take-over.
it('adopted orders: a run that its worker has listed is released with the lease', () => {
  const running = successorOf('running');
  expect(phaseOf(commitAll(advance(running, LAST_END_MS - 100)))).to.equal('running');
  expect(phaseOf(advance(running, LAST_END_MS + 100))).to.equal('waiting');
});

// Guards against the same for claims that were stored long before the take-over and are not stored as running,
// because no later change of their job was stored.
it('adopted orders: a claim in a row that is older than any late run is released with the lease', () => {
  const old = successorOf('claimed', pollTimes(createFollower(), OLD_POLLS));
  expect(phaseOf(advance(old, LAST_END_MS + 100))).to.equal('waiting');
});

// Guards against an age that counts from the first poll of a later version, and not from the last one.
it('adopted orders: a claim in a row that has just been followed by others is kept', () => {
  const recent = successorOf('claimed', pollTimes(createFollower(), 2));
  expect(phaseOf(advance(recent, LAST_END_MS + 100))).to.equal('claimed');
});

// Guards against lasting tasks that are away for longer than they may be.
it('adopted orders: a lasting task is released with the lease', () => {
  const lasting = successorOf('claimed', createFollower(), { isLasting: true });
  expect(phaseOf(advance(lasting, LAST_END_MS + 100))).to.equal('waiting');
});

// Guards against work that is done twice because a leader was slow to claim: the leases are over at its load,
// and the agents that are up report the ends of the runs a moment later.
it('adopted orders: agents have two seconds to report after a load', () => {
  const ended = { ...GRANTS, lastEndMs: 0 };
  const loaded = successorOf('running', createFollower(), {}, ended);
  expect(phaseOf(commitAll(advance(loaded, 1_900)))).to.equal('running');
  expect(phaseOf(advance(loaded, 2_100))).to.equal('waiting');
});
