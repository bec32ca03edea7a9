import { expect } from 'chai';
import type { RangeWatchEffect, RangeWatchEvent, RangeWatchState } from '@bronzeyoke/follow';
import { createRangeWatch, stepRangeWatch } from '@bronzeyoke/follow';
import type { RowChange, StoredRow } from '@bronzeyoke/ports';

const RANGE = {
  table: 't',
  partition: '',
  fromKey: 'a/',
  untilKey: 'a0',
  refreshAfterMs: 1_000,
} as const;

interface Watch {
  readonly state: RangeWatchState;
  readonly effects: readonly RangeWatchEffect[];
}

const START: Watch = { state: createRangeWatch(RANGE), effects: [] };

function hear(watch: Watch, event: RangeWatchEvent, nowMs: number): Watch {
  const step = stepRangeWatch(watch.state, event, { nowMs });
  return { state: step.state, effects: [...watch.effects, ...step.effects] };
}

function row(key: string, version: number): StoredRow {
  return { table: 't', partition: '', key, version, value: {} };
}

function put(key: string, version: number): RowChange {
  return { kind: 'put', ...row(key, version) };
}

function deletion(key: string, version: number): RowChange {
  return { kind: 'deleted', table: 't', partition: '', key, version };
}

function read(keys: readonly string[], version: number, asOfMs: number): RangeWatchEvent {
  return { kind: 'read', rows: keys.map((key) => row(key, version)), version, asOfMs };
}

function lastReport(watch: Watch): { readonly keys: readonly string[]; readonly ageMs: number } {
  const reports = watch.effects.flatMap((effect) => (effect.kind === 'report' ? [effect] : []));
  const last = reports.at(-1);
  if (last === undefined) throw new Error('nothing was reported');
  return { keys: last.rows.map(({ key }) => key), ageMs: last.ageMs };
}

function readCount(watch: Watch): number {
  return watch.effects.filter(({ kind }) => kind === 'readRange').length;
}

// Guards against an age that leaves out the time that the read took.
it('range watch: the first read is reported with its age', () => {
  const watch = hear(START, read(['a/x'], 5, 100), 130);
  expect(lastReport(watch)).to.deep.equal({ keys: ['a/x'], ageMs: 30 });
});

// Guards against a report that claims that no row exists, before any was read.
it('range watch: changes before the first read are not reported', () => {
  const heard = hear(START, { kind: 'changes', changes: [put('a/x', 5)] }, 100);
  const watch = hear(heard, { kind: 'current', version: 5, asOfMs: 100 }, 100);
  expect(watch.effects).to.deep.equal([]);
});

// Guards against two reads of the store where the feed tells everything.
it('range watch: a feed that answers in time makes further reads needless', () => {
  const started = hear(START, read([], 5, 0), 0);
  const times = [900, 1_800, 2_700, 3_600];
  const watch = times.reduce((current, atMs) => {
    const confirmed = hear(current, { kind: 'current', version: 5, asOfMs: atMs }, atMs);
    return hear(confirmed, { kind: 'check' }, atMs + 100);
  }, started);
  expect(readCount(watch)).to.equal(0);
  expect(lastReport(watch).ageMs).to.equal(0);
});

// Guards against an entry that hears of no change while a long row takes the whole of its link.
it('range watch: the range is read again when the feed confirms nothing', () => {
  const started = hear(START, read([], 5, 0), 0);
  const old = hear(started, { kind: 'check' }, 1_000);
  expect(readCount(old)).to.equal(1);
  expect(lastReport(hear(old, read(['a/x'], 8, 1_000), 1_010)).keys).to.deep.equal(['a/x']);
});

// Guards against a watch that gives up when the store is down for a while.
it('range watch: a read that failed is repeated', () => {
  const failed = hear(START, { kind: 'failed' }, 0);
  const wakes = failed.effects.flatMap((effect) => (effect.kind === 'wake' ? [effect.event] : []));
  expect(wakes).to.deep.equal([{ kind: 'retry' }]);
  const again = hear(hear(failed, { kind: 'retry' }, 300), read(['a/x'], 5, 300), 310);
  expect(readCount(again)).to.equal(1);
  expect(lastReport(again).keys).to.deep.equal(['a/x']);
});

// Guards against a late feed or full read that undoes what a later read has shown.
it('range watch: what is older than the last read changes nothing', () => {
  const known = hear(START, read(['a/x'], 9, 0), 0);
  const changes = [deletion('a/x', 8), put('a/y', 7)];
  const fed = hear(known, { kind: 'changes', changes }, 10);
  const full = { kind: 'snapshot', rows: [row('a/z', 3)], version: 8, asOfMs: -50 } as const;
  const watch = hear(hear(fed, full, 20), { kind: 'current', version: 8, asOfMs: -50 }, 20);
  expect(lastReport(watch)).to.deep.equal({ keys: ['a/x'], ageMs: 20 });
});

// Guards against a domain that stays out, or comes back, although the feed has told otherwise.
it('range watch: newer changes of the feed are applied', () => {
  const known = hear(START, read(['a/x'], 9, 0), 0);
  const changes = [deletion('a/x', 10), put('a/y', 11)];
  const fed = hear(known, { kind: 'changes', changes }, 10);
  const watch = hear(fed, { kind: 'current', version: 11, asOfMs: 5 }, 10);
  expect(lastReport(watch)).to.deep.equal({ keys: ['a/y'], ageMs: 5 });
});

// Guards against rows that a read of the whole table no longer finds, after the history was lost.
it('range watch: a newer full read replaces what is known', () => {
  const known = hear(START, read(['a/x'], 9, 0), 0);
  const rows = [row('a/y', 10), row('config', 11)];
  const full = hear(known, { kind: 'snapshot', rows, version: 11, asOfMs: 10 }, 20);
  const watch = hear(full, { kind: 'current', version: 11, asOfMs: 10 }, 20);
  expect(lastReport(watch).keys).to.deep.equal(['a/y']);
});

// Guards against a wait for the short rows where the whole table was read first.
it('range watch: a full read that comes first is reported', () => {
  const full = { kind: 'snapshot', rows: [row('a/x', 4)], version: 5, asOfMs: 0 } as const;
  const watch = hear(hear(START, full, 10), { kind: 'current', version: 5, asOfMs: 0 }, 10);
  expect(lastReport(watch)).to.deep.equal({ keys: ['a/x'], ageMs: 10 });
});
