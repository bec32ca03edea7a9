import type { Sight } from './record';

/** A run on a worker, as the worker saw it. */
export interface SeenRun {
  readonly worker: string;
  readonly task: string;
  readonly attempt: number;
  readonly fromMs: number;
  /** Infinite while it runs. */
  readonly untilMs: number;
  readonly how: string;
  /** Whether the end was taken note of before the worker's lease lapsed. */
  readonly isNoted: boolean;
}

/** Returns the runs that the workers saw. */
export function runsOf(sights: readonly Sight[]): readonly SeenRun[] {
  const keyOf = ({ worker, task, attempt }: Sight['fields']): string =>
    `${String(worker)} ${String(task)} ${String(attempt)}`;
  const noted = new Set(
    sights.filter(({ kind }) => kind === 'noted').map(({ fields }) => keyOf(fields)),
  );
  const ends = sights.filter(({ kind }) => kind === 'end');
  return sights
    .filter(({ kind }) => kind === 'start')
    .map(({ atMs, fields }) => {
      const end = ends.find((other) => other.atMs >= atMs && keyOf(other.fields) === keyOf(fields));
      return {
        worker: String(fields.worker),
        task: String(fields.task),
        attempt: Number(fields.attempt),
        fromMs: atMs,
        untilMs: end?.atMs ?? Infinity,
        how: String(end?.fields.how ?? ''),
        isNoted: noted.has(keyOf(fields)),
      };
    });
}

/** Returns TWICE: two runs of a task at the same time, or a start after a `done` that is taken note of. */
export function findTwice(runs: readonly SeenRun[]): readonly string[] {
  return runs.flatMap((later, index) =>
    runs.flatMap((earlier, other) => {
      if (other === index || earlier.task !== later.task) return [];
      if (later.fromMs < earlier.fromMs || (later.fromMs === earlier.fromMs && index < other)) {
        return [];
      }
      const isBeside = later.fromMs < earlier.untilMs;
      const isAfterDone = earlier.how === 'done' && earlier.isNoted;
      if (!isBeside && !isAfterDone) return [];
      const what = isBeside ? 'starts while it runs' : 'starts after it was done';
      const text = `TWICE: ${later.task} ${what} on ${earlier.worker} (attempt ${earlier.attempt})`;
      return [`${text}, at ${later.fromMs} ms on ${later.worker} (attempt ${later.attempt})`];
    }),
  );
}
