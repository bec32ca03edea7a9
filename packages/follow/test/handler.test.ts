import { setImmediate } from 'node:timers/promises';
import { expect } from 'chai';
import type { TableUpdate } from '@bronzeyoke/follow';
import { followTable } from '@bronzeyoke/follow';
import type { RowFeedResult, RowRangeResult, RowStorePort, StoredRow } from '@bronzeyoke/ports';

const ROW: StoredRow = { table: 't', partition: 'p', key: 'good', version: 1, value: 1 };

/** Returns a store whose calls answer in order, the last answer for good. */
function storeOf(
  ranges: readonly (RowRangeResult | Error)[],
  feeds: readonly (RowFeedResult | Error)[],
): RowStorePort {
  const counts = { range: 0, feed: 0 };
  const answer = <Result>(results: readonly (Result | Error)[], index: number): Result => {
    const result = results[Math.min(index, results.length - 1)];
    if (result === undefined) throw new Error('no answer');
    if (result instanceof Error) throw result;
    return result;
  };
  return {
    commit: () => Promise.resolve({ kind: 'unavailable' }),
    range: async () => {
      counts.range += 1;
      return answer(ranges, counts.range - 1);
    },
    feed: async () => {
      counts.feed += 1;
      return answer(feeds, counts.feed - 1);
    },
  };
}

/** Follows a store until a number of updates have come; returns these and the errors. */
async function follow(
  store: RowStorePort,
  wantedCount: number,
  onUpdate: (update: TableUpdate, index: number) => void,
): Promise<{ readonly updates: readonly TableUpdate[]; readonly errors: readonly unknown[] }> {
  const updates: TableUpdate[] = [];
  const errors: unknown[] = [];
  await new Promise<void>((resolve) => {
    const follower = followTable(store, {
      table: 't',
      partition: 'p',
      waitMs: 1,
      report: (update) => {
        updates.push(update);
        if (updates.length >= wantedCount) {
          follower.stop();
          resolve();
        }
        onUpdate(update, updates.length - 1);
      },
      onError: (error) => errors.push(error),
      pause: () => setImmediate(),
    });
  });
  return { updates, errors };
}

const SNAPSHOT: RowRangeResult = { kind: 'rows', rows: [ROW], version: 1 };
const CHANGES: RowFeedResult = { kind: 'changes', changes: [{ kind: 'put', ...ROW }], version: 2 };

// Guards against a process that stops following a table because one entry could not be handled.
it('follow: goes on after a handler has thrown', async () => {
  const { updates, errors } = await follow(storeOf([SNAPSHOT], [CHANGES]), 8, (update) => {
    if (update.kind === 'snapshot') throw new RangeError('an odd entry');
  });
  expect(errors).to.have.length.greaterThan(0);
  expect(updates.some(({ kind }) => kind === 'changes')).to.equal(true);
});

// Guards against rows that are missed because they came with an odd one.
it('follow: reads all rows again after changes could not be handled', async () => {
  const { updates } = await follow(storeOf([SNAPSHOT], [CHANGES]), 8, (update) => {
    if (update.kind === 'changes') throw new RangeError('an odd entry');
  });
  const first = updates.findIndex(({ kind }) => kind === 'changes');
  expect(updates.slice(first).some(({ kind }) => kind === 'snapshot')).to.equal(true);
});

// Guards against a process that stops following because a call to the store threw.
it('follow: goes on after a call has thrown', async () => {
  const odd = new RangeError('Port should be >= 0 and < 65536');
  const { updates, errors } = await follow(
    storeOf([odd, SNAPSHOT], [odd, CHANGES]),
    6,
    () => undefined,
  );
  expect(errors.length).to.be.at.least(2);
  expect(updates.some(({ kind }) => kind === 'changes')).to.equal(true);
});
