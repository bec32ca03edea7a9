import { assertNever } from '@bronzeyoke/types';
import { List, OrderedMap } from 'immutable';

/** An action that follows once the rows that it depends on are stored. */
export type PostCommitAction =
  | { readonly kind: 'start'; readonly task: string; readonly attempt: number }
  | { readonly kind: 'acknowledge'; readonly workerKey: string; readonly sequence: number }
  /** Confirms to an agent that its worker is gone and that no stored row assigns it a task. */
  | { readonly kind: 'confirmGone'; readonly linkId: string; readonly workerKey: string };

/**
 * How soon a changed row has to be stored when a transaction cannot hold all of them. Ends, releases
 * and claims of lasting tasks are `high`, claims of tasks that fill idle capacity are `low`.
 */
export type WriteUrgency = 'high' | 'normal' | 'low';

/** Position of each urgency in a full transaction. */
const URGENCY_ORDER: Readonly<Record<WriteUrgency, number>> = { high: 0, normal: 1, low: 2 };

/** A job whose row differs from the stored one. */
interface PendingRow {
  /** Number of the first change that is not stored. */
  readonly change: number;
  readonly urgency: WriteUrgency;
}

/** The changes that an action waits for. */
export type ActionScope =
  { readonly kind: 'jobs'; readonly jobIds: readonly string[] } | { readonly kind: 'all' };

/** An action that waits for the changes made before it to the rows in its scope. */
interface PendingAction {
  readonly action: PostCommitAction;
  readonly scope: ActionScope;
  readonly lastChange: number;
}

/** Jobs whose rows wait for a transaction, the oldest change first, and the actions that follow. */
export interface PendingWrites {
  readonly changeCount: number;
  readonly jobs: OrderedMap<string, PendingRow>;
  readonly actions: List<PendingAction>;
}

/** Pending writes without jobs and actions. */
export const NO_PENDING_WRITES: PendingWrites = {
  changeCount: 0,
  jobs: OrderedMap(),
  actions: List(),
};

/** Returns the more urgent of two urgencies. */
function moreUrgent(left: WriteUrgency, right: WriteUrgency): WriteUrgency {
  return URGENCY_ORDER[left] <= URGENCY_ORDER[right] ? left : right;
}

/** Adds the row of a job. One that is pending keeps its place, and may become more urgent. */
export function addRow(
  pending: PendingWrites,
  jobId: string,
  urgency: WriteUrgency,
): PendingWrites {
  const changeCount = pending.changeCount + 1;
  const known = pending.jobs.get(jobId);
  if (known !== undefined && moreUrgent(known.urgency, urgency) === known.urgency) {
    return { ...pending, changeCount };
  }
  const row = { change: known?.change ?? changeCount, urgency };
  return { ...pending, changeCount, jobs: pending.jobs.set(jobId, row) };
}

/** Adds an action that follows once the changes until now to the rows in its scope are stored. */
export function addAction(
  pending: PendingWrites,
  action: PostCommitAction,
  scope: ActionScope,
): PendingWrites {
  const { changeCount: lastChange, actions } = pending;
  return { ...pending, actions: actions.push({ action, scope, lastChange }) };
}

/** Returns whether nothing waits for a transaction. */
export function isNothingPending({ jobs, actions }: PendingWrites): boolean {
  return jobs.isEmpty() && actions.isEmpty();
}

/** What the row of a job adds to a transaction. */
export interface RowSize {
  readonly entries: number;
  readonly bytes: number;
}

/** Rows and actions of the next transaction, and those that wait for a later one. */
export interface TakenWrites {
  readonly jobIds: readonly string[];
  readonly actions: readonly PostCommitAction[];
  readonly rest: PendingWrites;
}

/** Oldest rows that come before urgent ones, so that no row waits for good during an overload. */
const OLDEST_ROWS = 15;

/** Returns the pending jobs in the order in which their rows are stored. */
function writeOrder({ jobs }: PendingWrites): readonly string[] {
  const rows = [...jobs];
  const oldest = rows.slice(0, OLDEST_ROWS);
  const later = rows.slice(OLDEST_ROWS);
  const byUrgency = later.toSorted(
    ([, left], [, right]) => URGENCY_ORDER[left.urgency] - URGENCY_ORDER[right.urgency],
  );
  return [...oldest, ...byUrgency].map(([jobId]) => jobId);
}

/** Returns as many jobs as the limit holds, and one at least. */
function takeJobs(
  pending: PendingWrites,
  limit: RowSize,
  sizeOf: (jobId: string) => RowSize,
): readonly string[] {
  const ordered = writeOrder(pending);
  const taken = ordered.reduce(
    (sum, jobId, index) => {
      if (sum.count < index) return sum;
      const { entries, bytes } = sizeOf(jobId);
      const next = { entries: sum.entries + entries, bytes: sum.bytes + bytes };
      const fits = next.entries <= limit.entries && next.bytes <= limit.bytes;
      return fits || index === 0 ? { ...next, count: index + 1 } : sum;
    },
    { count: 0, entries: 0, bytes: 0 },
  );
  return ordered.slice(0, taken.count);
}

/** Returns whether a change that an action waits for is left over. */
function isBlocked({ scope, lastChange }: PendingAction, left: PendingWrites['jobs']): boolean {
  switch (scope.kind) {
    case 'all':
      return (left.first()?.change ?? Infinity) <= lastChange;
    case 'jobs':
      return scope.jobIds.some((jobId) => (left.get(jobId)?.change ?? Infinity) <= lastChange);
    default:
      return assertNever(scope);
  }
}

/**
 * Splits the actions into those whose rows are stored and those that wait. An acknowledgement covers
 * all earlier ends of its worker, so it waits for their acknowledgements too.
 */
function splitActions(
  actions: PendingWrites['actions'],
  left: PendingWrites['jobs'],
): { readonly ready: readonly PostCommitAction[]; readonly waiting: PendingWrites['actions'] } {
  const blockedWorkers = new Set<string>();
  const isWaiting = (pending: PendingAction): boolean => {
    const { action } = pending;
    const isAcknowledgement = action.kind === 'acknowledge';
    const waits =
      isBlocked(pending, left) || (isAcknowledgement && blockedWorkers.has(action.workerKey));
    if (waits && isAcknowledgement) blockedWorkers.add(action.workerKey);
    return waits;
  };
  const marked = actions.toArray().map((pending) => ({ pending, waits: isWaiting(pending) }));
  return {
    ready: marked.flatMap(({ pending, waits }) => (waits ? [] : [pending.action])),
    waiting: List(marked.flatMap(({ pending, waits }) => (waits ? [pending] : []))),
  };
}

/** Takes the rows of the next transaction and the actions that follow it. */
export function takeWrites(
  pending: PendingWrites,
  limit: RowSize,
  sizeOf: (jobId: string) => RowSize,
): TakenWrites {
  const jobIds = takeJobs(pending, limit, sizeOf);
  const jobs = pending.jobs.deleteAll(jobIds);
  const { ready, waiting } = splitActions(pending.actions, jobs);
  return { jobIds, actions: ready, rest: { ...pending, jobs, actions: waiting } };
}
