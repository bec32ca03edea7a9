import { expect } from 'chai';
import type { WorkerCall } from '@bronzeyoke/ports';
import type { FleetWorker, RunRecords } from '@bronzeyoke/fleet';
import {
  forbiddenRepeats,
  NO_RECORDS,
  recordCall,
  repeatsOf,
  workerClockMs,
} from '@bronzeyoke/fleet';
import { callTaskWorker, createTaskWorker } from '@bronzeyoke/standins';

const TASK = 'job1.0.0.0';
const WORK_MS = 1_000;

/** Workers with what was recorded of them. */
interface Play {
  readonly workers: readonly [FleetWorker, FleetWorker];
  readonly records: RunRecords;
}

/** How a call is recorded. */
interface CallOptions {
  readonly isLate?: boolean;
  readonly isLasting?: boolean;
}

function workerAt(site: string): FleetWorker {
  const state = createTaskWorker(1);
  return { site, id: site, startedAtMs: 0, clockRate: 1, state, isDraining: false };
}

const NEW_PLAY: Play = { workers: [workerAt('w1'), workerAt('w2')], records: NO_RECORDS };

function call(
  { workers, records }: Play,
  index: 0 | 1,
  order: WorkerCall,
  nowMs: number,
  { isLate = false, isLasting = false }: CallOptions = {},
): Play {
  const worker = workers[index];
  const step = callTaskWorker(worker.state, order, workerClockMs(worker, nowMs), WORK_MS);
  const next = { ...worker, state: step.state };
  return {
    workers: index === 0 ? [next, workers[1]] : [workers[0], next],
    records: recordCall(records, { worker, step, isLate, isLasting }, nowMs),
  };
}

function startOrder(attempt: number, leaseUntilClockMs: number): WorkerCall {
  return { kind: 'start', fencingToken: 1, task: TASK, attempt, leaseUntilClockMs, payload: '' };
}

function holdOrder(ackSequence: number, leaseUntilClockMs: number): WorkerCall {
  return { kind: 'hold', fencingToken: 1, ackSequence, waitMs: 0, leaseUntilClockMs };
}

/** Plays a success from 0 s to 1 s under a lease, and a start at 5 s with an acknowledgement before or after. */
function play(
  { leaseMs, notedAtMs }: { readonly leaseMs: number; readonly notedAtMs?: number },
  options: CallOptions = {},
): RunRecords {
  const begun = call(NEW_PLAY, 0, startOrder(1, leaseMs), 0, options);
  const listed = call(begun, 0, holdOrder(0, 0), 1_200);
  const isBefore = notedAtMs !== undefined && notedAtMs < 5_000;
  const noted = isBefore ? call(listed, 0, holdOrder(1, 20_000), notedAtMs) : listed;
  const repeated = call(noted, 1, startOrder(2, 9_000), 5_000, options);
  if (notedAtMs === undefined || isBefore) return repeated.records;
  return call(repeated, 0, holdOrder(1, 20_000), notedAtMs).records;
}

function kindsOf(records: RunRecords): readonly string[] {
  return repeatsOf(records).map(({ kind }) => kind);
}

// Guards against an oracle that overlooks a start before the acknowledgement of a success that counts.
it('fleet: a start after a success that is acknowledged within the lease is forbidden', () => {
  [3_000, 6_000].forEach((notedAtMs) => {
    const records = play({ leaseMs: 9_000, notedAtMs });
    expect(kindsOf(records)).to.deep.equal(['counted']);
    expect(forbiddenRepeats(records)).to.have.length(1);
  });
});

// Guards against an oracle that reports a success which the end of its lease has voided.
it('fleet: a start after a success whose lease lapsed before its acknowledgement is allowed', () => {
  const records = play({ leaseMs: 4_000, notedAtMs: 6_000 });
  expect(kindsOf(records)).to.deep.equal(['lapsed']);
  expect(forbiddenRepeats(records)).to.deep.equal([]);
});

// Guards against an oracle that lets a leader start a task that it has recorded as done.
it('fleet: a start after an acknowledgement is forbidden, also after a lapse or just after it', () => {
  const lapsed = play({ leaseMs: 2_000, notedAtMs: 3_000 });
  expect(kindsOf(lapsed)).to.deep.equal(['lapsed']);
  expect(forbiddenRepeats(lapsed)).to.have.length(1);
  const justNoted = play({ leaseMs: 9_000, notedAtMs: 4_500 });
  expect(kindsOf(justNoted)).to.deep.equal(['justNoted']);
  expect(forbiddenRepeats(justNoted)).to.have.length(1);
});

// Guards against an oracle that reports a success which nobody has acknowledged.
it('fleet: a start after a success without an acknowledgement is allowed', () => {
  const records = play({ leaseMs: 9_000 });
  expect(kindsOf(records)).to.deep.equal(['unnoted']);
  expect(forbiddenRepeats(records)).to.deep.equal([]);
});

// Guards against an oracle that reports a lasting task, which starts again after each end.
it('fleet: a lasting task may start after a success', () => {
  expect(kindsOf(play({ leaseMs: 9_000, notedAtMs: 3_000 }, { isLasting: true }))).to.deep.equal(
    [],
  );
});
