import type { Follower } from '@bronzeyoke/follow';
import { followTable } from '@bronzeyoke/follow';
import type { RowStorePort, StoredRow } from '@bronzeyoke/ports';
import type { EntryCapacity } from '@bronzeyoke/scheduler';
import { jobPageRows, PARTITION, TABLES } from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';
import type { ReportError } from './types';

/** Capacity of the entry, callbacks and wait time of a follower of the jobs. */
export interface JobFeedOptions {
  readonly capacity: EntryCapacity;
  readonly waitMs: number;
  /** Called with all rows, or with those that have changed. */
  readonly onRows: (isFull: boolean, rows: readonly StoredRow[]) => void;
  readonly onError: ReportError;
}

/** Follows the rows of open and cancelled jobs. */
export function followJobs(store: RowStorePort, options: JobFeedOptions): Follower {
  const { capacity, waitMs, onRows, onError } = options;
  return followTable(store, {
    table: TABLES.jobs,
    partition: PARTITION,
    ...jobPageRows(capacity),
    waitMs,
    onError,
    report: (update) => {
      switch (update.kind) {
        case 'snapshot':
          onRows(true, update.rows);
          return;
        case 'changes':
          onRows(
            false,
            update.changes.flatMap((change) => (change.kind === 'put' ? [change] : [])),
          );
          return;
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
