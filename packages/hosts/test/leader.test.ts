import { expect } from 'chai';

import type { RowStorePort, StoredRow } from '@bronzeyoke/ports';
import { ADMISSION_KEY, LEADER_KEY } from '@bronzeyoke/scheduler';
import { followLeader } from '../src/leader';

const OLD_VERDICTS: StoredRow = { ...ADMISSION_KEY, version: 3, value: 'old' };
const NEW_VERDICTS: StoredRow = { ...ADMISSION_KEY, version: 5, value: 'new' };
const LEADER: StoredRow = { ...LEADER_KEY, version: 4, value: 'leader' };

/** Returns a store whose feed tells of one change, and then of nothing more. */
function storeWithChange(): RowStorePort {
  const feeds = { count: 0 };
  return {
    commit: () => Promise.resolve({ kind: 'unavailable' }),
    range: () => Promise.resolve({ kind: 'rows', rows: [OLD_VERDICTS, LEADER], version: 4 }),
    feed: () => {
      feeds.count += 1;
      if (feeds.count > 1) return Promise.resolve({ kind: 'unavailable' });
      const changes = [{ kind: 'put', ...NEW_VERDICTS } as const];
      return Promise.resolve({ kind: 'changes', changes, version: 5 });
    },
  };
}

// Guards against verdicts of a leader of long ago that an entry finds when it starts, and against a row of
// verdicts that counts as the leader's.
it('leader feed: verdicts count when they change, not when a full read finds them', async () => {
  const verdicts: unknown[] = [];
  const leaders: unknown[] = [];
  const errors: unknown[] = [];
  await new Promise<void>((resolve) => {
    const feed = followLeader(storeWithChange(), {
      waitMs: 1,
      onRow: (row) => leaders.push(row?.value),
      onVerdicts: ({ value }) => {
        verdicts.push(value);
        feed.stop();
        resolve();
      },
      onError: (error) => errors.push(error),
    });
  });
  expect(verdicts).to.deep.equal(['new']);
  expect(leaders).to.deep.equal(['leader']);
  expect(errors).to.deep.equal([]);
});
