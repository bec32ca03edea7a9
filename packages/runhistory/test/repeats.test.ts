import { findRepeatedTasks } from '@bronzeyoke/runhistory';
import type { LeaseLapse, RecordedRun } from '@bronzeyoke/runhistory';
import { expect } from 'chai';

const FIRST: RecordedRun = {
  task: 'a.0.0.0',
  attempt: 1,
  worker: 'w-1',
  isOrderLate: false,
  fromMs: 100,
  untilMs: 400,
  end: 'done',
  notedAtMs: 9_000,
};

const SECOND: RecordedRun = {
  ...FIRST,
  attempt: 2,
  worker: 'w-2',
  fromMs: 5_000,
  untilMs: 5_300,
  notedAtMs: 5_350,
};

function kindsOf(
  first: Partial<RecordedRun>,
  lapses: readonly LeaseLapse[] = [],
  second: Partial<RecordedRun> = {},
): readonly string[] {
  const runs = [
    { ...FIRST, ...first },
    { ...SECOND, ...second },
  ];
  return findRepeatedTasks(runs, lapses).map(({ kind }) => kind);
}

// Guards against a second run of a task whose success is acknowledged after the second start.
it('repeats: a success that is acknowledged later counts', () => {
  expect(kindsOf({})).to.deep.equal(['counted']);
});

it('repeats: a success that was acknowledged long before counts', () => {
  expect(kindsOf({ notedAtMs: 3_999 })).to.deep.equal(['counted']);
});

it('repeats: a start within a second of the acknowledgement may have been on its way', () => {
  expect(kindsOf({ notedAtMs: 4_000 })).to.deep.equal(['justNoted']);
});

it('repeats: a start from a late order may have been on its way for longer', () => {
  expect(kindsOf({ notedAtMs: 450 }, [], { isOrderLate: true })).to.deep.equal(['justNoted']);
});

it('repeats: a late order does not excuse a success that is acknowledged later', () => {
  expect(kindsOf({}, [], { isOrderLate: true })).to.deep.equal(['counted']);
});

it('repeats: a lease that ends between the success and the acknowledgement voids it', () => {
  expect(kindsOf({}, [{ worker: 'w-1', atMs: 4_900 }])).to.deep.equal(['lapsed']);
});

// Guards against an exception that is wider than the rule: only this worker's lease matters, and only then.
it('repeats: leases of others, and ends of leases before or after, excuse nothing', () => {
  const others = [
    { worker: 'w-2', atMs: 4_900 },
    { worker: 'w-1', atMs: 399 },
    { worker: 'w-1', atMs: 9_001 },
  ];
  expect(kindsOf({}, others)).to.deep.equal(['counted']);
});

it('repeats: a success without an acknowledgement does not count yet', () => {
  const unnoted: RecordedRun = {
    task: 'a.0.0.0',
    attempt: 1,
    worker: 'w-1',
    isOrderLate: false,
    fromMs: 100,
    untilMs: 400,
    end: 'done',
  };
  const [repeat] = findRepeatedTasks([unnoted, SECOND], []);
  expect(repeat?.kind).to.equal('unnoted');
});

it('repeats: a run that did not succeed may be followed by others', () => {
  expect(kindsOf({ end: 'failed' })).to.deep.equal([]);
});

it('repeats: runs of other tasks, and starts before the success, are no repeats', () => {
  expect(kindsOf({}, [], { task: 'a.0.0.1' })).to.deep.equal([]);
  expect(kindsOf({}, [], { fromMs: 399 })).to.deep.equal([]);
});
