import type { SchedulerState } from '@bronzeyoke/scheduler';
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
  | { readonly kind: 'doubleRun'; readonly task: string; readonly workers: readonly string[] }
  | { readonly kind: 'lastingTaskAway'; readonly task: string; readonly sinceMs: number }
  | { readonly kind: 'foreignCommit'; readonly entry: string; readonly owner: string }
  | { readonly kind: 'unclaimedStart'; readonly entry: string; readonly run: string }
  | { readonly kind: 'unstoredEnd'; readonly entry: string; readonly run: string };

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
