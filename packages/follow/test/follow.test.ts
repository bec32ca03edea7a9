import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { FollowerOptions, TableUpdate } from '@bronzeyoke/follow';
import { followTable } from '@bronzeyoke/follow';
import type { RowFeedResult, RowRange, RowStorePort } from '@bronzeyoke/ports';
import type { RowStoreState } from '@bronzeyoke/standins';
import { commitRow, EMPTY_ROW_STORE, readFeed, readRange } from '@bronzeyoke/standins';

const TABLE = { table: 't', partition: 'p' };
const CALL_MS = 2;
const WAIT_MS = 10;
const CHECK_MS = 10;
const MAX_CHECKS = 300;

function put(state: RowStoreState, key: string, value: string): RowStoreState {
  const write = { kind: 'put', ...TABLE, key, value } as const;
  return commitRow(state, { conditions: [], writes: [write] }).state;
}

function storeOf(keys: readonly string[]): RowStoreState {
  return keys.reduce((state, key) => put(state, key, 'first'), EMPTY_ROW_STORE);
}

/** Store whose reads of a page may fail, and that changes before some of them. */
function fakeStore(
  initial: RowStoreState,
  onRange: (call: number, state: RowStoreState) => RowStoreState | 'unavailable',
): { readonly store: RowStorePort; readonly ranges: () => readonly RowRange[] } {
  const current: { state: RowStoreState; ranges: readonly RowRange[] } = {
    state: initial,
    ranges: [],
  };
  const store: RowStorePort = {
    commit: () => Promise.resolve({ kind: 'unavailable' }),
    range: async (range) => {
      await sleep(CALL_MS);
      current.ranges = [...current.ranges, range];
      const next = onRange(current.ranges.length, current.state);
      if (next === 'unavailable') return { kind: 'unavailable' };
      current.state = next;
      return readRange(next, range);
    },
    feed: async (table, afterVersion) => {
      await sleep(CALL_MS);
      return readFeed(current.state, table, afterVersion);
    },
  };
  return { store, ranges: () => current.ranges };
}

/** Follows the table until a test holds for the updates. */
async function follow(
  store: RowStorePort,
  isDone: (updates: readonly TableUpdate[]) => boolean,
  changes: Partial<FollowerOptions> = {},
): Promise<readonly TableUpdate[]> {
  const updates: TableUpdate[] = [];
  const follower = followTable(store, {
    ...TABLE,
    waitMs: WAIT_MS,
    pageRows: 2,
    smallPageRows: 1,
    report: (update) => updates.push(update),
    onError: (error) => {
      throw error;
    },
    ...changes,
  });
  const wait = async (checksLeft: number): Promise<void> => {
    if (checksLeft === 0 || isDone(updates)) return;
    await sleep(CHECK_MS);
    await wait(checksLeft - 1);
  };
  await wait(MAX_CHECKS);
  follower.stop();
  return updates;
}

function hasSnapshot(updates: readonly TableUpdate[]): boolean {
  return updates.some(({ kind }) => kind === 'snapshot');
}

function snapshotKeys(updates: readonly TableUpdate[]): readonly string[] {
  return updates.flatMap((update) =>
    update.kind === 'snapshot' ? update.rows.map(({ key }) => key) : [],
  );
}

// Guards against a store that refuses a share of the calls, so that a long read never ends.
it('continues a full read from the page that failed', async () => {
  const { store, ranges } = fakeStore(storeOf(['a', 'b', 'c', 'd', 'e']), (call, state) =>
    call % 2 === 0 ? 'unavailable' : state,
  );
  const updates = await follow(store, hasSnapshot);
  expect(snapshotKeys(updates)).to.deep.equal(['a', 'b', 'c', 'd', 'e']);
  expect(ranges().map(({ fromKey }) => fromKey)).to.deep.equal([
    undefined,
    'c',
    'c',
    'd',
    'd',
    'e',
    'e',
  ]);
  expect(ranges().map(({ maxRows }) => maxRows)).to.deep.equal([2, 2, 1, 1, 1, 1, 1]);
});

// Guards against rows that are written behind the last page read and are missed.
it('reports changes that were made between two pages', async () => {
  const { store } = fakeStore(storeOf(['b', 'c', 'd']), (call, state) =>
    call === 2 ? put(put(state, 'a', 'added'), 'd', 'changed') : state,
  );
  const updates = await follow(store, (list) => list.some(({ kind }) => kind === 'changes'));
  expect(snapshotKeys(updates)).to.deep.equal(['b', 'c', 'd']);
  const changed = updates.flatMap((update) => (update.kind === 'changes' ? update.changes : []));
  expect(changed.map(({ key }) => key)).to.deep.equal(['a', 'd']);
});

const MANY_READS = 9;

/** Returns the pauses of a follower while the feed after each of many full reads gets a given reply. */
async function pausesOf(replies: (read: number) => RowFeedResult): Promise<readonly number[]> {
  const { store, ranges } = fakeStore(storeOf(['a', 'b', 'c']), (_, state) => state);
  const fullReads = (): number => ranges().filter(({ fromKey }) => fromKey === undefined).length;
  const feed = async (): Promise<RowFeedResult> => {
    await sleep(CALL_MS);
    return replies(fullReads());
  };
  const pauses: number[] = [];
  const pause = async (forMs: number): Promise<void> => {
    pauses.push(forMs);
    await sleep(CALL_MS);
  };
  await follow({ ...store, feed }, () => fullReads() >= MANY_READS, { pause });
  return pauses.slice(0, MANY_READS - 2);
}

// Guards against full reads without a pause while the store keeps less history than one read takes.
it('pauses longer after each full read whose history was lost at once', async () => {
  const pauses = await pausesOf(() => ({ kind: 'historyLost' }));
  expect(pauses).to.deep.equal([150, 300, 600, 1_200, 2_400, 2_400, 2_400]);
});

// Guards against a pause before the full read that an idle follower needs after a long cut.
it('reads again at once when the history was lost after changes', async () => {
  const isLost = { value: true };
  const pauses = await pausesOf(() => {
    isLost.value = !isLost.value;
    return isLost.value ? { kind: 'historyLost' } : { kind: 'changes', changes: [], version: 3 };
  });
  expect(pauses).to.deep.equal([]);
});
