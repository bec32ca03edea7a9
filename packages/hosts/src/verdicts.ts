import type { Follower } from '@bronzeyoke/follow';
import { followTable } from '@bronzeyoke/follow';
import type { RowStorePort, StoredRow } from '@bronzeyoke/ports';
import { ADMISSION_KEY, PARTITION, TABLES } from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';

/** Callbacks and wait time of a follower of the leader's verdicts on queues. */
export interface VerdictFeedOptions {
  readonly waitMs: number;
  /** Called with each change of the row. */
  readonly onVerdicts: (row: StoredRow) => void;
  readonly onError: (error: unknown) => void;
}

/** Follows the verdicts. A row that a full read finds may be old, so only changes count. */
export function followVerdicts(
  store: RowStorePort,
  { waitMs, onVerdicts, onError }: VerdictFeedOptions,
): Follower {
  return followTable(store, {
    table: TABLES.verdicts,
    partition: PARTITION,
    waitMs,
    onError,
    report: (update) => {
      switch (update.kind) {
        case 'changes':
          update.changes.forEach((change) => {
            if (change.kind === 'put' && change.key === ADMISSION_KEY.key) onVerdicts(change);
          });
          return;
        case 'snapshot':
        case 'current':
        case 'answered':
        case 'unanswered':
          return;
        default:
          assertNever(update);
      }
    },
  });
}
