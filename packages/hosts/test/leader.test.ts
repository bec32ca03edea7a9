import { expect } from 'chai';

import type { RowStorePort, StoredRow } from '@bronzeyoke/ports';
import { ADMISSION_KEY, LEADER_KEY } from '@bronzeyoke/scheduler';
import { followLeader } from '../src/leader';
import { followVerdicts } from '../src/verdicts';

const OLD_VERDICTS: StoredRow = { ...ADMISSION_KEY, version: 3, value: 'old' };
const NEW_VERDICTS: StoredRow = { ...ADMISSION_KEY, version: 5, value: 'new' };
const LEADER: StoredRow = { ...LEADER_KEY, version: 4, value: 'leader' };
const NEW_LEADER: StoredRow = { ...LEADER_KEY, version: 5, value: 'other' };

/** Returns a store whose feed tells of changes of any table, and then of nothing more. */
function storeWithChanges(): RowStorePort {
  const feeds = { count: 0 };
  return {
    commit: () => Promise.resolve({ kind: 'unavailable' }),
    range: () => Promise.resolve({ kind: 'rows', rows: [OLD_VERDICTS, LEADER], version: 4 }),
    feed: () => {
      feeds.count += 1;
      if (feeds.count > 1) return Promise.resolve({ kind: 'unavailable' });
      const changes = [
        { kind: 'put', ...NEW_LEADER } as const,
        { kind: 'put', ...NEW_VERDICTS } as const,
      ];
      return Promise.resolve({ kind: 'changes', changes, version: 5 });
    },
  };
}

// Guards against verdicts of a leader of long ago that an entry finds when it starts.
it('verdict feed: verdicts count when they change, not when a full read finds them', async () => {
  const verdicts: unknown[] = [];
  const errors: unknown[] = [];
  await new Promise<void>((resolve) => {
    const feed = followVerdicts(storeWithChanges(), {
      waitMs: 1,
      onVerdicts: ({ value }) => {
        verdicts.push(value);
        feed.stop();
        resolve();
      },
      onError: (error) => errors.push(error),
    });
  });
  expect(verdicts).to.deep.equal(['new']);
  expect(errors).to.deep.equal([]);
});

// Guards against a row of verdicts that counts as the leader's, and against entries that do not learn which
// version the store has reached while nothing changes.
it('leader feed: tells of the leader and of the version of the store', async () => {
  const leaders: unknown[] = [];
  const versions: unknown[] = [];
  await new Promise<void>((resolve) => {
    const feed = followLeader(storeWithChanges(), {
      waitMs: 1,
      onRow: (row) => leaders.push(row?.value),
      onVersion: (version) => versions.push(version),
      onAnswer: (isAnswered) => {
        if (isAnswered) return;
        feed.stop();
        resolve();
      },
      onError: () => undefined,
    });
  });
  expect(leaders).to.deep.equal(['leader', 'other']);
  expect(versions).to.deep.equal([5]);
});

// Guards against verdicts in the table that every agent follows: each change would wake the whole fleet.
it('verdict feed: verdicts lie in a table of their own', () => {
  expect(ADMISSION_KEY.table).to.not.equal(LEADER_KEY.table);
});
