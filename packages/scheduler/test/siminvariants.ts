import type { LastingTask, SchedulerEvent, SchedulerState } from '@bronzeyoke/scheduler';
import { lastingTasks, whereaboutsOf } from '@bronzeyoke/scheduler';
import { WALL_MS } from './fixture';
import type { SimWorker } from './simworker';

/** The users' promise for a lasting task that does not run. */
export const CALM_MS = 7_000;
export const AWAY_MS = 9_000;

/** A rule that was broken. */
export type Violation =
  | { readonly kind: 'sharedTerm'; readonly term: number; readonly entries: readonly string[] }
  | {
      readonly kind: 'otherTerm';
      readonly entry: string;
      readonly term: number;
      readonly rowTerm: number | undefined;
    }
  | { readonly kind: 'termNotRaised'; readonly term: number; readonly before: number }
  | {
      readonly kind: 'doubleRun';
      readonly task: string;
      readonly workers: readonly string[];
      /** A line for each run of the task. */
      readonly runs?: readonly string[];
    }
  /** A task that does not last started again although a success of it counts. */
  | { readonly kind: 'repeatedTask'; readonly task: string; readonly runs: readonly string[] }
  | { readonly kind: 'lastingTaskAway'; readonly task: string; readonly sinceMs: number }
  | { readonly kind: 'foreignCommit'; readonly entry: string; readonly owner: string }
  | { readonly kind: 'unclaimedStart'; readonly entry: string; readonly run: string }
  | { readonly kind: 'unstoredEnd'; readonly entry: string; readonly run: string }
  | { readonly kind: 'unboundedState'; readonly task: string; readonly what: UnboundedState };

/** A state of a lasting task that nothing ends in time. */
type UnboundedState =
  /** The leader's view contradicts itself. */
  | 'contradictory'
  /** No transaction that is pending or in flight leads to the start order of a claim. */
  | 'unorderedClaim'
  /** A worker that reports has neither listed nor lacked an ordered run for long. */
  | 'unlistedStart'
  /** The lease of a silent worker has ended, and its run was not released. */
  | 'expiredWorker'
  /** A task waits for a place, and no pass is due. */
  | 'noPass';

/** A row that a claim wrote. */
export interface ClaimRow {
  readonly version: number;
  readonly entryId: string;
  readonly term: number;
}

/** Returns whether an entry regards itself as holder of the lease. */
export function isHolder({ phase }: SchedulerState): boolean {
  return phase === 'loading' || phase === 'leading';
}

/** Each term has one leader, and a leader's term is that of the row of its claim. */
export function termViolations(
  states: readonly SchedulerState[],
  claims: readonly ClaimRow[],
): readonly Violation[] {
  const holders = states.filter(isHolder);
  const termOf = (state: SchedulerState): number => state.leader?.term ?? 0;
  const shared = holders.flatMap((one): readonly Violation[] => {
    const same = holders.filter((other) => termOf(other) === termOf(one));
    const entries = same.map(({ settings }) => settings.entryId);
    return same.length > 1 ? [{ kind: 'sharedTerm', term: termOf(one), entries }] : [];
  });
  const other = holders.flatMap((state): readonly Violation[] => {
    const { entryId } = state.settings;
    const rowTerm = claims.findLast((claim) => claim.entryId === entryId)?.term;
    const term = termOf(state);
    return rowTerm === term ? [] : [{ kind: 'otherTerm', entry: entryId, term, rowTerm }];
  });
  return [...shared, ...other];
}

/** The terms of the leader's row rise with each claim. */
export function rowViolations(claims: readonly ClaimRow[]): readonly Violation[] {
  const [before, last] = claims.slice(-2);
  return before !== undefined && last !== undefined && last.term <= before.term
    ? [{ kind: 'termNotRaised', term: last.term, before: before.term }]
    : [];
}

/** A task runs on one live worker. */
export function runViolations(workers: readonly SimWorker[]): readonly Violation[] {
  const runs = workers
    .filter((worker) => worker.isUp())
    .flatMap((worker) =>
      [...worker.state().runs.keys()].map((task) => [task, worker.key] as const),
    );
  const byTask = runs.reduce(
    (known, [task, key]) => known.set(task, [...(known.get(task) ?? []), key]),
    new Map<string, readonly string[]>(),
  );
  return [...byTask].flatMap(([task, keys]): readonly Violation[] =>
    keys.length > 1 ? [{ kind: 'doubleRun', task, workers: keys }] : [],
  );
}

/** When a lasting task last ran, or was due. */
export interface LastRun {
  readonly task: string;
  readonly atMs: number;
}

/** A lasting task runs again within the promised time after the last disturbance. */
export function lastingViolations(
  lastRuns: readonly LastRun[],
  nowMs: number,
  calmSinceMs: number,
  hasRoom: boolean,
): readonly Violation[] {
  if (!hasRoom || nowMs - calmSinceMs < CALM_MS) return [];
  return lastRuns.flatMap(({ task, atMs }): readonly Violation[] =>
    nowMs - atMs > AWAY_MS ? [{ kind: 'lastingTaskAway', task, sinceMs: atMs }] : [],
  );
}

/**
 * Longest time from a claim to a list with the run, or a proof that it never starts, while the worker
 * reports: a late order (0.4 s), a lost list and the end of the worker's earlier lease (5.3 s).
 */
const MAX_START_MS = 7_000;

function hasStartAction({ pendingWrites, inFlight }: SchedulerState, task: string): boolean {
  const pending = pendingWrites.actions.toArray().map(({ action }) => action);
  return [...pending, ...(inFlight?.postCommit ?? [])].some(
    (action) => action.kind === 'start' && action.task === task,
  );
}

/** Returns why nothing ends the state of a lasting task in time; undefined if something does. */
function unboundedState(
  state: SchedulerState,
  lasting: LastingTask,
  nowMs: number,
  isTick: boolean,
): UnboundedState | undefined {
  const whereabouts = whereaboutsOf(state, lasting, nowMs);
  switch (whereabouts.kind) {
    case 'contradictory':
      return 'contradictory';
    case 'storing':
      return hasStartAction(state, lasting.task) ? undefined : 'unorderedClaim';
    case 'awaitingAgent':
      return isTick && nowMs >= whereabouts.untilMs ? 'unorderedClaim' : undefined;
    case 'starting':
      return nowMs - whereabouts.sinceMs > MAX_START_MS ? 'unlistedStart' : undefined;
    case 'silent':
      // A tick releases what has expired; other events do not.
      return isTick && nowMs >= whereabouts.untilMs ? 'expiredWorker' : undefined;
    case 'searching':
    case 'reserved':
    case 'clearing':
    case 'queued':
      return state.needsPlacement || Number.isFinite(state.placeAgainAtMs) ? undefined : 'noPass';
    case 'working':
    case 'stopping':
    case 'backingOff':
    case 'notReady':
      return undefined;
  }
}

/** Each lasting task of an open job is in a state of the leader's view that something ends in time. */
export function viewViolations(
  state: SchedulerState,
  nowMs: number,
  event: SchedulerEvent['kind'],
): readonly Violation[] {
  if (state.phase !== 'leading') return [];
  return lastingTasks(state, WALL_MS + nowMs).flatMap((lasting): readonly Violation[] => {
    const what = unboundedState(state, lasting, nowMs, event === 'tick');
    return what === undefined ? [] : [{ kind: 'unboundedState', task: lasting.task, what }];
  });
}
