import type { RowTransaction } from '@bronzeyoke/ports';
import { decodeLeader, decodeLease, progressKey, TABLES } from '@bronzeyoke/scheduler';
import { rowId } from '@bronzeyoke/standins';
import { decodeProgress, parseTaskName } from '@bronzeyoke/workflow';
import type { ClaimRow, Violation } from './siminvariants';
import { rowViolations } from './siminvariants';
import type { SimStore } from './simstore';
import { commitKindOf } from './simstore';

/** What the store has seen: claims of the lease, and claims of workers for tasks. */
export interface ClaimLog {
  readonly leaders: () => readonly ClaimRow[];
  /** Returns whether a claim of the run was ever stored. */
  readonly hasClaimed: (run: string) => boolean;
  /** Learns of each transaction that took effect. */
  readonly onApplied: (caller: string, transaction: RowTransaction, version: number) => void;
}

/** Returns the name of an attempt of a task on a worker. */
export function runName(task: string, attempt: number, workerKey: string): string {
  return `${task}#${attempt}@${workerKey}`;
}

/** Creates an empty log of claims. */
export function createClaimLog(
  record: (violation: Violation) => void,
  log: (who: string, text: string) => void,
): ClaimLog {
  const known: { leaders: readonly ClaimRow[] } = { leaders: [] };
  const claimed = new Set<string>();

  const recordProgress = ({ writes }: RowTransaction): void =>
    writes.forEach((write) => {
      if (write.kind !== 'put' || write.table !== TABLES.progress) return;
      decodeProgress(write.value)?.tasks.forEach(({ workerKey, attempt }, slot) => {
        if (workerKey !== undefined)
          claimed.add(runName(`${write.key}.${slot}`, attempt, workerKey));
      });
    });

  const onApplied: ClaimLog['onApplied'] = (caller, transaction, version) => {
    const kind = commitKindOf(transaction);
    recordProgress(transaction);
    if (kind === 'other') return;
    const write = transaction.writes.find(({ table }) => table === TABLES.leader);
    if (kind === 'claim' && write?.kind === 'put') {
      const leader = decodeLeader({ ...write, version });
      if (leader === undefined) return;
      const { entryId, term } = leader;
      known.leaders = [...known.leaders, { version, entryId, term }];
      log('store', `claim of ${entryId} term ${term}`);
      rowViolations(known.leaders).forEach(record);
      return;
    }
    const put = transaction.writes.find(({ table }) => table === TABLES.lease);
    const writer = put?.kind === 'put' ? decodeLease({ ...put, version })?.entryId : undefined;
    const owner = known.leaders.at(-1)?.entryId ?? '';
    if (kind === 'release') log('store', `release of ${caller}`);
    if (writer !== owner) record({ kind: 'foreignCommit', entry: writer ?? caller, owner });
    // An offer repeats the row of the leader, whose term must not change without a claim.
    const repeated = write?.kind === 'put' ? decodeLeader({ ...write, version }) : undefined;
    const last = known.leaders.at(-1);
    if (repeated !== undefined && repeated.term !== last?.term) {
      record({ kind: 'termNotRaised', term: repeated.term, before: last?.term ?? 0 });
    }
  };

  return {
    leaders: () => known.leaders,
    hasClaimed: (run) => claimed.has(run),
    onApplied,
  };
}

/** Returns whether the store says that an attempt of a task is on a worker. */
export function isStillStored(
  store: SimStore,
  task: string,
  attempt: number,
  workerKey: string,
): boolean {
  const ref = parseTaskName(task);
  const row = store.state().rows.get(rowId(progressKey(ref?.jobId ?? '')));
  const slot = task.slice((ref?.jobId ?? '').length + 1);
  const stored = decodeProgress(row?.value)?.tasks.get(slot);
  return stored?.workerKey === workerKey && stored.attempt === attempt;
}
