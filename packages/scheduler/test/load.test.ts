import { expect } from 'chai';
import type { RowRangeResult, StoredRow } from '@bronzeyoke/ports';
import type { SchedulerEffect } from '@bronzeyoke/scheduler';
import { progressKey, TABLES } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import { advance, createLoading, dispatch, WALL_MS } from './fixture';

type RangeEffect = Extract<SchedulerEffect, { kind: 'range' }>;

const SLOW_STORE_TICKS = 40;
const TICK_MS = 50;
const RELOAD_TICKS = 6;

function readsOf(fixture: Fixture, table: string): readonly RangeEffect[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'range' && effect.range.table === table ? [effect] : [],
  );
}

function tick(fixture: Fixture, count: number): Fixture {
  return Array.from({ length: count }).reduce<Fixture>(
    (current) => advance(current, TICK_MS),
    fixture,
  );
}

/** Answers the last read of a table. */
function answer(fixture: Fixture, table: string, result: RowRangeResult): Fixture {
  const callId = readsOf(fixture, table).at(-1)?.callId ?? '';
  return dispatch(fixture, { kind: 'rangeDone', callId, result, wallMs: WALL_MS });
}

function endedRow(jobId: string): StoredRow {
  const value = { tasks: {}, outcome: 'complete', endedAtMs: WALL_MS };
  return { ...progressKey(jobId), version: 9, value };
}

/** Page of one row, with the key from which more rows follow. */
function page(jobId: string, nextKey?: string): RowRangeResult {
  const more = nextKey === undefined ? {} : { nextKey };
  return { kind: 'rows', rows: [endedRow(jobId)], version: 11, ...more };
}

function answerOthers(fixture: Fixture): Fixture {
  const empty = { kind: 'rows', rows: [], version: 11 } as const;
  const read = answer(fixture, TABLES.notes, empty);
  return dispatch(read, { kind: 'jobRows', isFull: true, rows: [], wallMs: WALL_MS });
}

// Guards against a slow store that gets the same read again while the first one is still running.
it('sends no read while the previous one is running', () => {
  const waiting = tick(createLoading(), SLOW_STORE_TICKS);
  expect(readsOf(waiting, TABLES.progress)).to.have.length(1);
  expect(readsOf(waiting, TABLES.notes)).to.have.length(1);
});

// Guards against a failed read that is repeated at once, or that is never repeated.
it('repeats a failed read after a delay from its failure', () => {
  const waiting = tick(createLoading(), SLOW_STORE_TICKS);
  const failed = answer(waiting, TABLES.progress, { kind: 'unavailable' });
  const early = tick(failed, RELOAD_TICKS - 1);
  expect(readsOf(early, TABLES.progress)).to.have.length(1);
  const late = tick(early, SLOW_STORE_TICKS);
  expect(readsOf(late, TABLES.progress)).to.have.length(2);
  expect(readsOf(late, TABLES.notes)).to.have.length(1);
});

// Guards against a read of several pages that starts from the first one after each failure.
it('continues a read from the page that failed', () => {
  const second = answer(createLoading(), TABLES.progress, page('job1', 'job2'));
  expect(readsOf(second, TABLES.progress).at(-1)?.range.fromKey).to.equal('job2');
  const failed = answer(second, TABLES.progress, { kind: 'unavailable' });
  const repeated = tick(failed, RELOAD_TICKS);
  expect(readsOf(repeated, TABLES.progress).map(({ range }) => range.fromKey)).to.deep.equal([
    undefined,
    'job2',
    'job2',
  ]);
  const read = answerOthers(answer(repeated, TABLES.progress, page('job2')));
  expect(read.state.phase).to.equal('leading');
  expect([...read.state.ended.keys()]).to.have.members(['job1', 'job2']);
});

// Guards against a leader that begins without the progress of jobs on later pages.
it('does not begin before the last page', () => {
  const first = answerOthers(answer(createLoading(), TABLES.progress, page('job1', 'job2')));
  expect(first.state.phase).to.equal('loading');
  expect(answer(first, TABLES.progress, page('job2')).state.phase).to.equal('leading');
});

// Guards against rows from before another entry led that count as current.
it('ignores a read that an earlier load has sent', () => {
  const loading = createLoading();
  const { callId } = readsOf(loading, TABLES.progress)[0] ?? { callId: '' };
  const leader = { entryId: 'entry-2', host: 'h2', port: 2, term: 9 };
  const deposed = dispatch(loading, {
    kind: 'received',
    linkId: 'l',
    message: { kind: 'leaderChanged', ...leader },
    wallMs: WALL_MS,
  });
  const again = createLoading(deposed);
  expect(again.state.phase).to.equal('loading');
  const stale = dispatch(again, {
    kind: 'rangeDone',
    callId,
    result: page('job1'),
    wallMs: WALL_MS,
  });
  expect(answerOthers(stale).state.phase).to.equal('loading');
});
