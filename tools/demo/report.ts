import { performance } from 'node:perf_hooks';
import type { WorkerOutput } from '@bronzeyoke/standins';
import { taskKey } from '@bronzeyoke/types';
import type { Fleet } from './fleet';

/** Promise P4: no start in a failure domain later than this after it was taken out. */
const START_BOUND_MS = 5_000;

/** What callers saw. */
export interface CallerCounts {
  readonly sent: number;
  readonly right: number;
  readonly wrong: number;
  readonly refused: number;
  readonly unknown: number;
}

/** Time at which a failure domain was out. */
export interface OutWindow {
  readonly domain: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** How often the tasks of jobs ran and ended, as the workers saw it. */
export interface TaskCounts {
  readonly startedTasks: number;
  readonly starts: number;
  readonly finishedOnce: number;
  readonly finishedTwice: number;
  readonly overlaps: number;
  readonly lateStarts: number;
  readonly startsWhileOut: number;
}

type Seen = Exclude<WorkerOutput, { readonly kind: 'reply' }> & { readonly domain: string };

function seenBy(fleet: Fleet): readonly Seen[] {
  return fleet.workers
    .flatMap(({ domain, workerService: worker }) =>
      worker
        .outputs()
        .flatMap((output) => (output.kind === 'reply' ? [] : [{ ...output, domain }])),
    )
    .toSorted((one, other) => one.atMs - other.atMs);
}

function countOverlaps(seen: readonly Seen[]): number {
  const open = seen.reduce<{ readonly running: ReadonlySet<string>; readonly overlaps: number }>(
    ({ running, overlaps }, output) => {
      const key = taskKey(output.id);
      const next = new Set(running);
      if (output.kind === 'taskEnded') {
        next.delete(key);
        return { running: next, overlaps };
      }
      next.add(key);
      return { running: next, overlaps: overlaps + Number(running.has(key)) };
    },
    { running: new Set(), overlaps: 0 },
  );
  return open.overlaps;
}

/** Counts what the workers saw of tasks. */
export function countTasks(fleet: Fleet, out: OutWindow | undefined): TaskCounts {
  const seen = seenBy(fleet);
  const starts = seen.filter((output) => output.kind === 'taskStarted');
  const finished = seen
    .filter((output) => output.kind === 'taskEnded' && output.end.kind === 'finished')
    .map(({ id }) => taskKey(id));
  const finishedTasks = new Set(finished);
  const startsWhileOut = starts.filter(
    ({ domain, atMs }) =>
      out !== undefined && domain === out.domain && atMs > out.fromMs && atMs < out.untilMs,
  );
  return {
    startedTasks: new Set(starts.map(({ id }) => taskKey(id))).size,
    starts: starts.length,
    finishedOnce: finishedTasks.size,
    finishedTwice: finished.length - finishedTasks.size,
    overlaps: countOverlaps(seen),
    startsWhileOut: startsWhileOut.length,
    lateStarts: startsWhileOut.filter(({ atMs }) => atMs > (out?.fromMs ?? 0) + START_BOUND_MS)
      .length,
  };
}

/** Prints a line for the time that has passed. */
export function printProgress(startedAtMs: number, text: string): void {
  const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1).padStart(6);
  process.stdout.write(`${seconds} s  ${text}\n`);
}
