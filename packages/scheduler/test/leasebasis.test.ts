import { expect } from 'chai';
import type { EventFields } from '@bronzeyoke/telemetry';
import { createEventLog } from '@bronzeyoke/telemetry';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createFollower,
  createLeader,
  createLoading,
  jobOf,
  leaseRow,
  listedRun,
  load,
  loggedFields,
  report,
  running,
  runningLong,
  stageOf,
  submit,
  TASK,
  TIMES,
  WALL_MS,
  workerKeyFor,
} from './fixture';

const LEASE_END_MS = TIMES.agentLeaseMs + TIMES.marginMs;

/** Time from the read of a lease row until the leases that it tells of have ended. */
const ROW_END_MS = 2_000;

/** Time until a claim is stored, after which its order may still come late when the lease ends. */
const SLOW_COMMIT_MS = 3_500;

/** Characters of a log line that users keep. */
const KEPT_CHARACTERS = 200;

function releasedFields(fixture: Fixture): EventFields {
  return loggedFields(fixture, 'taskReleased')[0] ?? {};
}

/** Returns a new leader after the leases that the row of the leader before describes. */
function releasedByRow(grants: Readonly<Record<string, unknown>>): EventFields {
  const described = { lastEndMs: ROW_END_MS, earlierEndMs: 0, awaitedEndMs: {}, ...grants };
  const value = { entryId: 'entry-0', number: 3, isReleased: true, grants: described };
  const loading = createLoading(createFollower(), [leaseRow(value, 10)]);
  const workerKey = workerKeyFor('w1');
  const task = { phase: 'running', attempt: 1, failures: 0, workerKey } as const;
  const loaded = load(loading, [jobOf('job1', [stageOf(1)])], { job1: { '0.0.0': task } });
  return releasedFields(advance(commitAll(loaded), ROW_END_MS + 100));
}

// Guards against a release of which nobody can tell which row the end of the lease came from.
it('lease basis: a release after a take-over names what the row says', () => {
  const workerKey = workerKeyFor('w1');
  const base = { reason: 'leaseExpired', leaseBaseAgoMs: ROW_END_MS + 100, leaseEndedAgoMs: 100 };
  expect(releasedByRow({})).to.include({ ...base, leaseFrom: 'rowGeneral' });
  const awaitedEndMs = { [workerKey]: ROW_END_MS };
  expect(releasedByRow({ awaitedEndMs })).to.include({ ...base, leaseFrom: 'rowAwaited' });
  const longEndMs = { [workerKey]: ROW_END_MS };
  expect(releasedByRow({ longEndMs })).to.include({ ...base, leaseFrom: 'rowLong' });
});

// Guards against a granted lease that looks like a longest one, whose end is reckoned differently.
it('lease basis: a release tells a grant from the longest lease of a young instance', () => {
  expect(releasedFields(advance(runningLong(), LEASE_END_MS + 40))).to.include({
    leaseFrom: 'grant',
    leaseBaseAgoMs: LEASE_END_MS + 40,
  });
  const seen = report(createLeader(), 'w1', { bornAtMs: WALL_MS });
  const placed = commitAll(submit(seen, jobOf('job1', [stageOf(1)])));
  const listed = { bornAtMs: WALL_MS, running: [listedRun(TASK, 1)], lastOrder: 1 };
  const young = report(advance(placed, 100), 'w1', listed);
  expect(releasedFields(advance(young, TIMES.maxLeaseEndMs))).to.include({
    leaseFrom: 'youngInstance',
    leaseBaseAgoMs: TIMES.maxLeaseEndMs + 100,
  });
});

// Guards against a worker without a grant whose end looks like that of a granted lease.
it('lease basis: the first report of an older instance is a basis of its own', () => {
  const { state } = report(createLeader(), 'w1');
  expect(state.workers.get(workerKeyFor('w1'))?.leaseFrom.kind).to.equal('report');
});

// Guards against a release by lease end whose line tells of the start order that its worker is kept for,
// with an end in the future.
it('lease basis: a worker kept for a late start is told from one whose lease has ended', () => {
  const claimed = submit(runningLong(), jobOf('job2', [stageOf(1)]));
  const silent = commitAll(advance(commitAll(advance(claimed, SLOW_COMMIT_MS)), 2_500));
  const late = commitAll(advance(silent, 600));
  const lines = loggedFields(advance(late, TIMES.maxLeaseEndMs), 'taskReleased');
  const bases = lines.map(({ task, leaseFrom }) => ({ task, leaseFrom }));
  expect(bases).to.deep.equal([
    { task: TASK, leaseFrom: 'grant' },
    { task: 'job2.0.0.0', leaseFrom: 'lateStart' },
  ]);
  lines.forEach(({ leaseEndedAgoMs }) => expect(leaseEndedAgoMs).to.be.at.least(0));
});

// Guards against the lines of users, who keep 200 characters, without the reason and the worker.
it('lease basis: the line of a release begins with the reason and the worker', () => {
  const lines: string[] = [];
  const base = { name: 'bronzeyoke-entry', hostname: 'edge-prairie-yxe-1', pid: 12_345 };
  const sink = { write: (line: string) => lines.push(line), unsentBytes: () => 0 };
  const log = createEventLog(base, sink, () => WALL_MS);
  log.write('taskReleased', releasedFields(advance(running(), LEASE_END_MS + 200)));
  const kept = lines[0]?.slice(0, KEPT_CHARACTERS);
  expect(kept).to.include('"reason":"leaseExpired","worker":"w1@5"');
  expect(Object.keys(releasedFields(advance(running(), LEASE_END_MS + 200))).at(-1)).to.equal(
    'job',
  );
});
