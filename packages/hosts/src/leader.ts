import type { Follower } from '@bronzeyoke/follow';
import { followTable } from '@bronzeyoke/follow';
import type { RowStorePort, StoredRow } from '@bronzeyoke/ports';
import { LEADER_KEY, PARTITION, TABLES } from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';

/** Callbacks and wait time of a follower of the leader's row. */
export interface LeaderFeedOptions {
  readonly waitMs: number;
  readonly onRow: (row: StoredRow | undefined) => void;
  /** Called with the newest version of the store after each wait for changes. */
  readonly onVersion?: (version: number) => void;
  /** Called after each access with whether the store answered. */
  readonly onAnswer?: (isAnswered: boolean) => void;
  readonly onError: (error: unknown) => void;
}

/** Follows the row that names the leader. */
export function followLeader(store: RowStorePort, options: LeaderFeedOptions): Follower {
  const { waitMs, onRow, onVersion, onAnswer = () => undefined, onError } = options;
  return followTable(store, {
    table: TABLES.leader,
    partition: PARTITION,
    waitMs,
    onError,
    report: (update) => {
      switch (update.kind) {
        case 'snapshot':
          onAnswer(true);
          onRow(update.rows.find(({ key }) => key === LEADER_KEY.key));
          return;
        case 'changes':
          update.changes.forEach((change) => {
            if (change.kind === 'put' && change.key === LEADER_KEY.key) onRow(change);
          });
          return;
        case 'answered':
          onAnswer(true);
          onVersion?.(update.version);
          return;
        case 'unanswered':
          onAnswer(false);
          return;
        case 'current':
          return;
        default:
          assertNever(update);
      }
    },
  });
}
