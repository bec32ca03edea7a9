import type { RowChange, RowTransaction, StoredRow } from '@bronzeyoke/ports';
import { PARTITION, cancelKey, jobKey, progressKey } from '@bronzeyoke/scheduler';
import { commitRow, readFeed, readRange, rowId } from '@bronzeyoke/standins';
import { makeJob } from './job';
import type { EventOf, Fleet } from './world';
import { WALL_START_MS, drawStepUniform, isActive, schedule } from './world';

/** Returns whether a site does not reach the store. */
export function isStoreUnreachable(fleet: Fleet, site: string): boolean {
  return isActive(
    fleet,
    (fault) => fault.kind === 'storeDown' || (fault.kind === 'cutStore' && fault.site === site),
  );
}

/** Performs a call of an entry at the store. */
export function callStore(fleet: Fleet, item: EventOf<'storeCall'>): Fleet {
  const { site, bootId, call, isLate } = item;
  const { callId } = call;
  const wallMs = WALL_START_MS + fleet.nowMs;
  const reply = (current: Fleet, event: EventOf<'entryEvent'>['event']): Fleet =>
    schedule(current, 1, { kind: 'entryEvent', site, bootId, event });
  const isUnreachable = isStoreUnreachable(fleet, site);
  if (call.kind === 'range') {
    const result = isUnreachable
      ? ({ kind: 'unavailable' } as const)
      : readRange(fleet.store, call.range);
    return reply(fleet, { kind: 'rangeDone', callId, result, wallMs });
  }
  if (isUnreachable) {
    return reply(fleet, { kind: 'commitDone', callId, result: { kind: 'unavailable' }, wallMs });
  }
  const { state, result } = commitRow(fleet.store, call.transaction);
  const losesAnswer =
    isLate ||
    (isActive(fleet, (fault) => fault.kind === 'storeLosesAnswers') &&
      drawStepUniform(fleet, 6) < 0.4);
  return reply(
    { ...fleet, store: state },
    { kind: 'commitDone', callId, result: losesAnswer ? { kind: 'unknown' } : result, wallMs },
  );
}

function putRows(changes: readonly RowChange[]): readonly StoredRow[] {
  return changes.flatMap((change) => (change.kind === 'put' ? [change] : []));
}

/** Rows of a table that an entry or an agent has not read yet. */
export interface RowUpdate {
  readonly isFull: boolean;
  readonly rows: readonly StoredRow[];
  readonly version: number;
}

/** Reads the changes of a table since a version, or the whole table. */
export function readTable(fleet: Fleet, table: string, version: number | undefined): RowUpdate {
  const feed =
    version === undefined
      ? ({ kind: 'historyLost' } as const)
      : readFeed(fleet.store, table, version);
  if (feed.kind === 'changes') {
    return { isFull: false, rows: putRows(feed.changes), version: feed.version };
  }
  const range = readRange(fleet.store, { table, partition: PARTITION });
  const rows = range.kind === 'rows' ? range.rows : [];
  return { isFull: true, rows, version: fleet.store.version };
}

/** Cancels a job that is open; another one has nothing to cancel. */
function cancellation(fleet: Fleet, jobId: string): RowTransaction {
  const row = fleet.store.rows.get(rowId(jobKey(jobId)));
  if (row === undefined) return { conditions: [], writes: [] };
  return { conditions: [], writes: [{ kind: 'put', ...cancelKey(jobId), value: {} }] };
}

/** Submits or cancels a job. */
export function commitJobChange(fleet: Fleet, item: EventOf<'submit'> | EventOf<'cancel'>): Fleet {
  const { jobId } = item;
  const transaction =
    item.kind === 'submit'
      ? {
          conditions: [
            { ...jobKey(jobId), version: 0 },
            { ...progressKey(jobId), version: 0 },
          ],
          writes: [{ kind: 'put', ...jobKey(jobId), value: makeJob(fleet, jobId) } as const],
        }
      : cancellation(fleet, jobId);
  const cancelledJobs =
    item.kind === 'cancel' ? fleet.cancelledJobs.add(jobId) : fleet.cancelledJobs;
  return { ...fleet, cancelledJobs, store: commitRow(fleet.store, transaction).state };
}
