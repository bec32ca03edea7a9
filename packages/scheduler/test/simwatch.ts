import type { LastRun, Violation } from './siminvariants';
import { runViolations } from './siminvariants';
import type { SimWorker } from './simworker';

/** Follows which tasks run, and when lasting tasks last did. */
export interface RunWatch {
  /** Follows a lasting task that is due now. */
  readonly follow: (task: string, nowMs: number) => void;
  /** Ends the watch over the tasks of a job. */
  readonly forget: (jobId: string) => void;
  /** Returns the rules that the runs of the workers break, if these have changed. */
  readonly observe: (workers: readonly SimWorker[], nowMs: number) => readonly Violation[];
  /** Lasting tasks that do not run, as of the last look. */
  readonly away: () => readonly LastRun[];
}

type Runs = ReturnType<SimWorker['state']>['runs'];

/** Creates a watch without tasks. */
export function createRunWatch(): RunWatch {
  const followed = new Map<string, number>();
  const away = new Map<string, number>();
  const known: { runs: readonly (Runs | undefined)[]; running: ReadonlySet<string>; atMs: number } =
    { runs: [], running: new Set(), atMs: 0 };

  const update = (running: ReadonlySet<string>): void => {
    followed.forEach((dueMs, task) => {
      if (running.has(task)) away.delete(task);
      else if (known.running.has(task)) away.set(task, known.atMs);
      else if (!away.has(task)) away.set(task, dueMs);
    });
    known.running = running;
  };

  return {
    follow: (task, nowMs) => {
      followed.set(task, nowMs);
      away.set(task, nowMs);
    },
    forget: (jobId) =>
      [...followed.keys()]
        .filter((task) => task.startsWith(`${jobId}.`))
        .forEach((task) => {
          followed.delete(task);
          away.delete(task);
        }),
    observe: (workers, nowMs) => {
      const runs = workers.map((worker) => (worker.isUp() ? worker.state().runs : undefined));
      const isSame =
        runs.length === known.runs.length && runs.every((run, index) => run === known.runs[index]);
      if (!isSame) {
        known.runs = runs;
        update(new Set(runs.flatMap((table) => (table === undefined ? [] : [...table.keys()]))));
      }
      known.atMs = nowMs;
      return isSame ? [] : runViolations(workers);
    },
    away: () => [...away].map(([task, atMs]) => ({ task, atMs })),
  };
}
