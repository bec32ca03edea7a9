import { performance } from 'node:perf_hooks';
import type { WorkerOutput } from '@bronzeyoke/standins';
import { taskKey } from '@bronzeyoke/types';
import type { DemoFleet } from './fleet';

/** Promise P4: no start in a failure domain later than this after it was taken out. */
const START_BOUND_MS = 5_000;

/** Counts of the callers' requests by outcome. */
export interface CallerCounts {
  readonly sent: number;
  readonly right: number;
  readonly wrong: number;
  readonly refused: number;
  readonly unknown: number;
}

/** Period in which a failure domain was out of service. */
export interface OutWindow {
  readonly domain: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Counts of starts and ends of tasks, from the outputs of the workers. */
export interface TaskCounts {
  readonly startedTasks: number;
  readonly starts: number;
  readonly finishedOnce: number;
  readonly finishedTwice: number;
  readonly overlaps: number;
  readonly lateStarts: number;
  readonly startsWhileOut: number;
}

type TaskEvent = Exclude<WorkerOutput, { readonly kind: 'reply' }> & { readonly domain: string };

function listTaskEvents(fleet: DemoFleet): readonly TaskEvent[] {
  return fleet.workers
    .flatMap(({ domain, workerService }) =>
      workerService
        .outputs()
        .flatMap((output) => (output.kind === 'reply' ? [] : [{ ...output, domain }])),
    )
    .toSorted((one, other) => one.atMs - other.atMs);
}

function countOverlaps(events: readonly TaskEvent[]): number {
  const counted = events.reduce<{
    readonly running: ReadonlySet<string>;
    readonly overlaps: number;
  }>(
    ({ running, overlaps }, event) => {
      const key = taskKey(event.id);
      const next = new Set(running);
      if (event.kind === 'taskEnded') {
        next.delete(key);
        return { running: next, overlaps };
      }
      next.add(key);
      return { running: next, overlaps: overlaps + Number(running.has(key)) };
    },
    { running: new Set(), overlaps: 0 },
  );
  return counted.overlaps;
}

/** Counts the starts and ends of tasks in the outputs of the workers. */
export function countTaskRuns(fleet: DemoFleet, outWindow: OutWindow | undefined): TaskCounts {
  const events = listTaskEvents(fleet);
  const starts = events.filter((event) => event.kind === 'taskStarted');
  const finished = events
    .filter((event) => event.kind === 'taskEnded' && event.end.kind === 'finished')
    .map(({ id }) => taskKey(id));
  const finishedTasks = new Set(finished);
  const startsWhileOut = starts.filter(
    ({ domain, atMs }) =>
      outWindow !== undefined &&
      domain === outWindow.domain &&
      atMs > outWindow.fromMs &&
      atMs < outWindow.untilMs,
  );
  return {
    startedTasks: new Set(starts.map(({ id }) => taskKey(id))).size,
    starts: starts.length,
    finishedOnce: finishedTasks.size,
    finishedTwice: finished.length - finishedTasks.size,
    overlaps: countOverlaps(events),
    startsWhileOut: startsWhileOut.length,
    lateStarts: startsWhileOut.filter(
      ({ atMs }) => atMs > (outWindow?.fromMs ?? 0) + START_BOUND_MS,
    ).length,
  };
}

/** Prints a progress line with the time since the start. */
export function printProgress(startedAtMs: number, text: string): void {
  const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1).padStart(6);
  process.stdout.write(`${seconds} s  ${text}\n`);
}
