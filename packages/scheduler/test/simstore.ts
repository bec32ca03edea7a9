import type { TableUpdate } from '@bronzeyoke/follow';
import type {
  RowCommitResult,
  RowFeedResult,
  RowRange,
  RowRangeResult,
  RowTransaction,
  StoredRow,
} from '@bronzeyoke/ports';
import { decodeLease, PARTITION, TABLES } from '@bronzeyoke/scheduler';
import type { RowStoreState } from '@bronzeyoke/standins';
import { commitRow, EMPTY_ROW_STORE, readFeed, readRange } from '@bronzeyoke/standins';
import { assertNever } from '@bronzeyoke/types';
import type { Clock, Span } from './simclock';

/** Time limits of the platform's client. */
const TIMEOUT_MS = 1_200;
const FEED_GRACE_MS = 1_000;
const FEED_RETRY_MS = 150;

/** Tables whose full read takes several pages. */
const LARGE_TABLES: readonly string[] = [TABLES.jobs, TABLES.progress];

/** How the store treats calls, for all callers or for one. */
export interface StoreConditions {
  /** Duration of a transaction or of one page of a read. */
  readonly latencyMs: Span;
  /** Delay of a reply after the transaction took effect. */
  readonly replyDelayMs: Span;
  readonly feedDelayMs: Span;
  readonly refusedShare: number;
  readonly lostReplyShare: number;
  /** Share of the pages of large reads that get no reply. */
  readonly lostPageShare: number;
  readonly pages: number;
  /** No call gets a reply. */
  readonly isSilent: boolean;
}

/** Conditions of a store without faults. */
export const CALM_STORE: StoreConditions = {
  latencyMs: [2, 6],
  replyDelayMs: [1, 4],
  feedDelayMs: [1, 4],
  refusedShare: 0,
  lostReplyShare: 0,
  lostPageShare: 0,
  pages: 3,
  isSilent: false,
};

/** Purpose of a transaction. */
export type CommitKind = 'claim' | 'renewal' | 'release' | 'other';

/** A transaction that takes effect after a delay and whose reply is lost. */
export interface PlannedLoss {
  readonly commit: CommitKind;
  readonly applyAfterMs: number;
  readonly unknownAfterMs: number;
}

/** Handle of a follower of a table. */
export interface SimFollower {
  readonly stop: () => void;
}

/** The row store of a simulation. All callers name themselves. */
export interface SimStore {
  readonly state: () => RowStoreState;
  readonly conditionsOf: (caller: string) => StoreConditions;
  readonly setConditions: (changes: Partial<StoreConditions>, caller?: string) => void;
  readonly planLoss: (loss: PlannedLoss) => void;
  readonly put: (transaction: RowTransaction) => void;
  readonly commit: (
    caller: string,
    transaction: RowTransaction,
    reply: (result: RowCommitResult) => void,
  ) => void;
  readonly range: (caller: string, range: RowRange, reply: (r: RowRangeResult) => void) => void;
  readonly follow: (
    caller: string,
    table: string,
    waitMs: number,
    report: (update: TableUpdate) => void,
  ) => SimFollower;
}

/** Returns the purpose of a transaction. */
export function commitKindOf({ writes }: RowTransaction): CommitKind {
  const puts = writes.flatMap((write) => (write.kind === 'put' ? [write] : []));
  const lease = puts.find(({ table }) => table === TABLES.lease);
  const value = lease === undefined ? undefined : decodeLease({ ...lease, version: 0 });
  const isOffer = value?.offer !== undefined;
  if (!isOffer && puts.some(({ table }) => table === TABLES.leader)) return 'claim';
  if (lease === undefined) return 'other';
  return value?.isReleased === true ? 'release' : 'renewal';
}

interface Waiter {
  readonly table: string;
  readonly wake: () => void;
}

/** Lets only the first reply to a call through. */
function once<Result>(reply: (result: Result) => void): (result: Result) => void {
  const state = { isDone: false };
  return (result) => {
    if (state.isDone) return;
    state.isDone = true;
    reply(result);
  };
}

/** Creates an empty store; `onApplied` learns of each transaction that took effect. */
export function createStore(
  clock: Clock,
  onApplied: (caller: string, transaction: RowTransaction, version: number) => void,
): SimStore {
  const known: {
    rows: RowStoreState;
    base: StoreConditions;
    partitionFreeAtMs: number;
    losses: readonly PlannedLoss[];
    waiters: readonly Waiter[];
  } = {
    rows: EMPTY_ROW_STORE,
    base: CALM_STORE,
    partitionFreeAtMs: 0,
    losses: [],
    waiters: [],
  };
  const overrides = new Map<string, Partial<StoreConditions>>();
  const conditionsOf = (caller: string): StoreConditions => ({
    ...known.base,
    ...overrides.get(caller),
  });
  const isLost = (share: number): boolean => clock.random() < share;

  const apply = (caller: string, transaction: RowTransaction): RowCommitResult => {
    const { state, result } = commitRow(known.rows, transaction);
    known.rows = state;
    if (result.kind !== 'committed') return result;
    onApplied(caller, transaction, result.version);
    const tables = new Set(transaction.writes.map(({ table }) => table));
    const woken = known.waiters.filter(({ table }) => tables.has(table));
    known.waiters = known.waiters.filter(({ table }) => !tables.has(table));
    woken.forEach(({ wake }) => wake());
    return result;
  };

  const takeLoss = (commit: CommitKind): PlannedLoss | undefined => {
    const loss = known.losses.find((planned) => planned.commit === commit);
    known.losses = known.losses.filter((planned) => planned !== loss);
    return loss;
  };

  const commit: SimStore['commit'] = (caller, transaction, reply) => {
    const { isSilent, refusedShare, lostReplyShare, latencyMs } = conditionsOf(caller);
    const done = once(reply);
    clock.schedule(TIMEOUT_MS, () => done({ kind: 'unknown' }));
    if (isSilent) return;
    if (isLost(refusedShare)) {
      clock.schedule(2, () => done({ kind: 'unavailable' }));
      return;
    }
    const loss = takeLoss(commitKindOf(transaction));
    if (loss !== undefined) clock.schedule(loss.unknownAfterMs, () => done({ kind: 'unknown' }));
    const startAtMs = Math.max(clock.now() + 1, known.partitionFreeAtMs);
    known.partitionFreeAtMs = startAtMs + clock.within(latencyMs);
    const applyAfterMs = known.partitionFreeAtMs - clock.now() + (loss?.applyAfterMs ?? 0);
    const isReplyLost = loss !== undefined || isLost(lostReplyShare);
    clock.schedule(applyAfterMs, () => {
      const result = apply(caller, transaction);
      if (isReplyLost || conditionsOf(caller).isSilent) return;
      clock.schedule(clock.within(conditionsOf(caller).replyDelayMs), () => done(result));
    });
  };

  const readPage = (
    caller: string,
    isLarge: boolean,
    reply: (isAnswered: boolean) => void,
  ): void => {
    const { isSilent, refusedShare, lostPageShare, latencyMs } = conditionsOf(caller);
    const done = once(reply);
    clock.schedule(TIMEOUT_MS, () => done(false));
    if (isSilent || (isLarge && isLost(lostPageShare))) return;
    if (isLost(refusedShare)) {
      clock.schedule(2, () => done(false));
      return;
    }
    clock.schedule(1 + clock.within(latencyMs), () => {
      if (!conditionsOf(caller).isSilent) done(true);
    });
  };

  const range: SimStore['range'] = (caller, wanted, reply) => {
    const isLarge = LARGE_TABLES.includes(wanted.table);
    const { table, partition } = wanted;
    const whole = readRange(known.rows, { table, partition });
    const rowCount = whole.kind === 'rows' ? whole.rows.length : 0;
    const pages = isLarge ? conditionsOf(caller).pages : 1;
    const maxRows = Math.max(1, Math.ceil(rowCount / pages));
    readPage(caller, isLarge, (isAnswered) =>
      reply(isAnswered ? readRange(known.rows, { ...wanted, maxRows }) : { kind: 'unavailable' }),
    );
  };

  const feed = (
    caller: string,
    table: string,
    afterVersion: number,
    waitMs: number,
    reply: (result: RowFeedResult) => void,
  ): void => {
    const { isSilent, refusedShare } = conditionsOf(caller);
    const done = once(reply);
    clock.schedule(waitMs + FEED_GRACE_MS, () => done({ kind: 'unavailable' }));
    if (isSilent) return;
    if (isLost(refusedShare)) {
      clock.schedule(2, () => done({ kind: 'unavailable' }));
      return;
    }
    const answer = (): void =>
      clock.schedule(clock.within(conditionsOf(caller).feedDelayMs), () => {
        if (!conditionsOf(caller).isSilent) done(readFeed(known.rows, table, afterVersion));
      });
    const found = readFeed(known.rows, table, afterVersion);
    if (found.kind !== 'changes' || found.changes.length > 0) {
      answer();
      return;
    }
    known.waiters = [...known.waiters, { table, wake: answer }];
    clock.schedule(waitMs, answer);
  };

  const follow: SimStore['follow'] = (caller, table, waitMs, report) => {
    const state = { isStopped: false };
    const emit = (update: TableUpdate): void => {
      if (!state.isStopped) report(update);
    };
    const readAll = (
      before: readonly StoredRow[],
      lowest: number,
      done: (version: number) => void,
      fromKey?: string,
    ): void => {
      const from = fromKey === undefined ? {} : { fromKey };
      range(caller, { table, partition: PARTITION, ...from }, (result) => {
        if (state.isStopped) return;
        if (result.kind === 'unavailable') {
          emit({ kind: 'unanswered' });
          clock.schedule(FEED_RETRY_MS, () => readAll(before, lowest, done, fromKey));
          return;
        }
        const rows = [...before, ...result.rows];
        const version = Math.min(lowest, result.version);
        if (result.nextKey !== undefined) {
          readAll(rows, version, done, result.nextKey);
          return;
        }
        emit({ kind: 'snapshot', rows, version, asOfMs: 0 });
        done(version);
      });
    };
    const run = (version: number | undefined): void => {
      if (state.isStopped) return;
      const retry = (): void => {
        emit({ kind: 'unanswered' });
        clock.schedule(FEED_RETRY_MS, () => run(version));
      };
      if (version === undefined) {
        readAll([], Infinity, run);
        return;
      }
      feed(caller, table, version, waitMs, (result) => {
        switch (result.kind) {
          case 'changes':
            emit({ kind: 'answered', version: result.version });
            if (result.changes.length > 0) emit({ kind: 'changes', changes: result.changes });
            run(Math.max(version, result.version));
            return;
          case 'historyLost':
            run(undefined);
            return;
          case 'unavailable':
            retry();
            return;
          default:
            assertNever(result);
        }
      });
    };
    run(undefined);
    return {
      stop: () => {
        state.isStopped = true;
      },
    };
  };

  return {
    state: () => known.rows,
    conditionsOf,
    setConditions: (changes, caller) => {
      if (caller === undefined) known.base = { ...known.base, ...changes };
      else overrides.set(caller, { ...overrides.get(caller), ...changes });
    },
    planLoss: (loss) => {
      known.losses = [...known.losses, loss];
    },
    put: (transaction) => {
      apply('', transaction);
    },
    commit,
    range,
    follow,
  };
}
