import { expect } from 'chai';
import { createRunHistory } from './simhistory';
import { createWorker } from './simworker';
import { createClock } from './simclock';

const TASK = 'short1.0.0.0';

/** Plays a success from 1 s to 2 s, which is acknowledged or not, and a start at 9 s. */
function kindsOf({
  task = TASK,
  notedAtMs,
  lapsedAtMs,
  isOrderLate = false,
}: {
  readonly task?: string;
  readonly notedAtMs?: number;
  readonly lapsedAtMs?: number;
  readonly isOrderLate?: boolean;
}): readonly string[] {
  const { onStep, onLapse, repeats } = createRunHistory();
  const first = { task, attempt: 1 };
  onStep('w1', first, { kind: 'started', isOrderLate: false }, 1_000);
  onStep('w1', first, { kind: 'ended', end: 'done' }, 2_000);
  if (lapsedAtMs !== undefined) onLapse({ worker: 'w1', atMs: lapsedAtMs });
  if (notedAtMs !== undefined) onStep('w1', first, { kind: 'acknowledged' }, notedAtMs);
  onStep('w2', { task, attempt: 2 }, { kind: 'started', isOrderLate }, 9_000);
  return repeats().map(({ kind }) => kind);
}

// Guards against a history that overlooks a start after a success that counts, before or after it.
it('simhistory: a start after an acknowledged success counts', () => {
  expect(kindsOf({ notedAtMs: 3_000 })).to.deep.equal(['counted']);
  expect(kindsOf({ notedAtMs: 9_500 })).to.deep.equal(['counted']);
});

// Guards against a report of a success that a lapse of its lease has voided.
it('simhistory: a success whose lease lapsed before its acknowledgement does not count', () => {
  expect(kindsOf({ notedAtMs: 9_500, lapsedAtMs: 8_000 })).to.deep.equal(['lapsed']);
});

// Guards against a lapse outside the time from the success to its acknowledgement that voids it.
it('simhistory: a lapse before the success or after its acknowledgement voids nothing', () => {
  expect(kindsOf({ notedAtMs: 9_500, lapsedAtMs: 1_500 })).to.deep.equal(['counted']);
  expect(kindsOf({ notedAtMs: 9_500, lapsedAtMs: 9_600 })).to.deep.equal(['counted']);
});

// Guards against a report of a success that nobody has acknowledged.
it('simhistory: a success that is not acknowledged does not count', () => {
  expect(kindsOf({})).to.deep.equal(['unnoted']);
});

// Guards against a report of an order that was on its way when the success was acknowledged.
it('simhistory: a start just after the acknowledgement, or from a late order, does not count', () => {
  expect(kindsOf({ notedAtMs: 8_500 })).to.deep.equal(['justNoted']);
  expect(kindsOf({ notedAtMs: 3_000, isOrderLate: true })).to.deep.equal(['justNoted']);
});

// Guards against a report of a lasting task, which starts again after each end.
it('simhistory: a lasting task may start after a success', () => {
  expect(kindsOf({ task: 'lasting1.0.0.0', notedAtMs: 3_000 })).to.deep.equal([]);
});

// Guards against a lapse that is missed or told twice when a call renews an ended lease.
it('simhistory: a worker tells of each lapse of its lease once', () => {
  const lapsesAtMs: number[] = [];
  const clock = createClock(1);
  const place = { id: 'w1', address: 'm0', bornAtMs: 1 };
  const worker = createWorker(clock, place, 1, {
    onStep: () => {},
    onLapse: ({ atMs }) => lapsesAtMs.push(atMs),
  });
  const hold = (leaseUntilClockMs: number): void =>
    worker.call(
      { kind: 'hold', fencingToken: 1, ackSequence: 0, waitMs: 0, leaseUntilClockMs },
      () => {},
    );
  hold(2_500);
  clock.advance(2_500, () => {});
  hold(6_500);
  clock.advance(1_000, worker.update);
  expect(lapsesAtMs).to.deep.equal([3_000]);
  clock.advance(4_000, () => {});
  worker.update();
  worker.update();
  expect(lapsesAtMs).to.deep.equal([3_000, 7_000]);
});
