import type { LeaseLapse, RecordedRun, RepeatKind, RepeatedTask } from './types';

/** Longest time from the acknowledgement of a success to a start that may have been on its way. */
const START_ON_ITS_WAY_MS = 1_000;

function repeatKind(
  { worker, untilMs, notedAtMs }: RecordedRun,
  later: RecordedRun,
  lapses: readonly LeaseLapse[],
): RepeatKind {
  if (notedAtMs === undefined) return 'unnoted';
  const hasLapsed = lapses.some(
    (lapse) => lapse.worker === worker && lapse.atMs >= untilMs && lapse.atMs <= notedAtMs,
  );
  if (hasLapsed) return 'lapsed';
  const isOnItsWay = later.isOrderLate || later.fromMs - notedAtMs <= START_ON_ITS_WAY_MS;
  return notedAtMs < later.fromMs && isOnItsWay ? 'justNoted' : 'counted';
}

function startsByTask<Run extends RecordedRun>(
  runs: readonly Run[],
): ReadonlyMap<string, readonly Run[]> {
  return runs.reduce((groups, run) => {
    const group = groups.get(run.task);
    if (group === undefined) groups.set(run.task, [run]);
    else group.push(run);
    return groups;
  }, new Map<string, Run[]>());
}

/**
 * Returns the starts of tasks after a run of them that has succeeded. Callers leave out the runs of tasks that
 * may succeed more than once: lasting ones, and those of which several copies may run.
 */
export function findRepeatedTasks<Run extends RecordedRun>(
  runs: readonly Run[],
  lapses: readonly LeaseLapse[],
): readonly RepeatedTask<Run>[] {
  const byTask = startsByTask(runs);
  const successes = runs.filter(({ end }) => end === 'done');
  return successes.flatMap((earlier) =>
    (byTask.get(earlier.task) ?? [])
      .filter((run) => run !== earlier && run.fromMs >= earlier.untilMs)
      .map((later): RepeatedTask<Run> => ({
        kind: repeatKind(earlier, later, lapses),
        earlier,
        later,
      })),
  );
}
