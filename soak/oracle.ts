import type { Violation, Observation } from './types';

/** An accepted job is known to all entries this long after its acknowledgement. */
const VISIBLE_MS = 3_000;

type Of<Kind extends Observation['kind']> = Extract<Observation, { kind: Kind }>;

interface Run {
  readonly task: string;
  readonly attempt: number;
  readonly worker: string;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly end: string;
}

function ofKind<Kind extends Observation['kind']>(
  sights: readonly Observation[],
  kind: Kind,
): Of<Kind>[] {
  return sights.filter((sight): sight is Of<Kind> => sight.kind === kind);
}

/** Groups values by a text, keeping their order. */
function groupBy<Value>(
  values: readonly Value[],
  keyOf: (value: Value) => string,
): ReadonlyMap<string, readonly Value[]> {
  return values.reduce((groups, value) => {
    groups.set(keyOf(value), [...(groups.get(keyOf(value)) ?? []), value]);
    return groups;
  }, new Map<string, readonly Value[]>());
}

function jobOf(task: string): string {
  return task.slice(0, task.indexOf('.'));
}

function stageOf(task: string): number {
  return Number(task.split('.')[2]);
}

function runKey(sight: Of<'started'> | Of<'ended'>): string {
  return `${sight.worker} ${sight.task}#${sight.attempt}`;
}

function runsOf(sights: readonly Observation[]): readonly Run[] {
  const ends = new Map(ofKind(sights, 'ended').map((ended) => [runKey(ended), ended]));
  return ofKind(sights, 'started').map((started) => {
    const ended = ends.get(runKey(started));
    const { task, attempt, worker, atMs } = started;
    const untilMs = ended?.atMs ?? Infinity;
    return { task, attempt, worker, fromMs: atMs, untilMs, end: ended?.end ?? 'running' };
  });
}

/** No two runs of a task at a time, and none after one that succeeded and was shown for it. */
function findTwice(runs: readonly Run[], completeAtMs: ReadonlyMap<string, number>): Violation[] {
  const overlaps = [...groupBy(runs, ({ task }) => task).values()].flatMap((same) => {
    const ordered = [...same].sort((left, right) => left.fromMs - right.fromMs);
    return ordered.flatMap((run, index): Violation[] => {
      const before = ordered[index - 1];
      if (before === undefined || before.untilMs <= run.fromMs) return [];
      const what = `${run.task} runs on ${before.worker} and on ${run.worker}`;
      return [{ promise: 'TWICE', atMs: run.fromMs, what }];
    });
  });
  const after = runs
    .filter(({ task, fromMs }) => fromMs > (completeAtMs.get(jobOf(task)) ?? Infinity))
    .map(({ task, fromMs }): Violation => ({
      promise: 'TWICE',
      atMs: fromMs,
      what: `${task} starts after its job was complete`,
    }));
  return [...overlaps, ...after];
}

/** A task starts only when all tasks of the stage before have succeeded. */
function findDisorder(
  runs: readonly Run[],
  stagesOf: ReadonlyMap<string, readonly number[]>,
): Violation[] {
  const succeeded = runs.filter(({ end }) => end === 'done');
  const byJob = groupBy(succeeded, ({ task }) => jobOf(task));
  return runs.flatMap(({ task, fromMs }): Violation[] => {
    const stage = stageOf(task);
    const wanted = stagesOf.get(jobOf(task))?.[stage - 1] ?? 0;
    const done = new Set(
      (byJob.get(jobOf(task)) ?? [])
        .filter((run) => stageOf(run.task) === stage - 1 && run.untilMs <= fromMs)
        .map((run) => run.task),
    );
    if (stage === 0 || done.size >= wanted) return [];
    return [{ promise: 'ORDER', atMs: fromMs, what: `${task} starts before the stage before it` }];
  });
}

function findUnasked(
  runs: readonly Run[],
  sights: readonly Observation[],
  endMs: number,
): Violation[] {
  const submitted = new Set(ofKind(sights, 'submitted').map(({ job }) => job));
  const cancelled = new Set(ofKind(sights, 'cancelSent').map(({ job }) => job));
  const shown = new Set(
    ofKind(sights, 'shown')
      .filter(({ status }) => status === 'cancelled')
      .map(({ job }) => job),
  );
  return runs.flatMap(({ task, fromMs, untilMs }): Violation[] => {
    const job = jobOf(task);
    if (!submitted.has(job)) {
      return [{ promise: 'UNASKED', atMs: fromMs, what: `${task} belongs to no job` }];
    }
    const isLeft = cancelled.has(job) && shown.has(job) && untilMs > endMs;
    return isLeft
      ? [{ promise: 'UNASKED', atMs: endMs, what: `${task} still runs though it was cancelled` }]
      : [];
  });
}

/** A job that every attempt to submit was refused for never runs. */
function findRefused(runs: readonly Run[], sights: readonly Observation[]): Violation[] {
  const started = new Map(runs.map(({ task, fromMs }) => [jobOf(task), fromMs]));
  const taken = new Set(
    [...ofKind(sights, 'accepted'), ...ofKind(sights, 'unknown')].map(({ job }) => job),
  );
  const refused = new Set(ofKind(sights, 'refused').map(({ job }) => job));
  return [...refused].flatMap((job): Violation[] => {
    const atMs = started.get(job);
    if (taken.has(job) || atMs === undefined) return [];
    return [{ promise: 'REFUSED', atMs, what: `${job} runs though it was refused` }];
  });
}

function findLost(sights: readonly Observation[], endMs: number): Violation[] {
  const accepted = new Map(ofKind(sights, 'accepted').map(({ job, atMs }) => [job, atMs]));
  const cancelled = new Set(ofKind(sights, 'cancelSent').map(({ job }) => job));
  const shown = ofKind(sights, 'shown');
  const owed = [...accepted.keys()].filter((job) => !cancelled.has(job));
  const byJob = groupBy(shown, ({ job }) => job);
  return owed.flatMap((job): Violation[] => {
    const answers = byJob.get(job) ?? [];
    const visibleMs = (accepted.get(job) ?? 0) + VISIBLE_MS;
    const gone = answers.find(({ status, atMs }) => status === 'gone' && atMs > visibleMs);
    if (gone !== undefined) return [{ promise: 'LOST', atMs: gone.atMs, what: `${job} is gone` }];
    const wrong = answers.find(({ status }) => status === 'failed' || status === 'cancelled');
    if (wrong !== undefined) {
      return [{ promise: 'LOST', atMs: wrong.atMs, what: `${job} is shown as ${wrong.status}` }];
    }
    return answers.some(({ status }) => status === 'complete')
      ? []
      : [{ promise: 'LOST', atMs: endMs, what: `${job} was accepted and is not complete` }];
  });
}

/** A job is complete only when each of its tasks has succeeded. */
function findMixed(
  runs: readonly Run[],
  completeAtMs: ReadonlyMap<string, number>,
  stagesOf: ReadonlyMap<string, readonly number[]>,
): Violation[] {
  const done = groupBy(
    runs.filter(({ end }) => end === 'done'),
    ({ task }) => jobOf(task),
  );
  return [...completeAtMs].flatMap(([job, atMs]): Violation[] => {
    const tasks = new Set(
      (done.get(job) ?? []).filter(({ untilMs }) => untilMs <= atMs).map(({ task }) => task),
    );
    const wanted = (stagesOf.get(job) ?? []).reduce((sum, count) => sum + count, 0);
    if (tasks.size >= wanted) return [];
    return [{ promise: 'MIXED', atMs, what: `${job} is complete with ${tasks.size} of ${wanted}` }];
  });
}

/** Checks what callers and workers have seen until the end of a calm stretch. */
export function findViolations(
  sights: readonly Observation[],
  endMs: number,
): readonly Violation[] {
  const runs = runsOf(sights);
  const stagesOf = new Map(ofKind(sights, 'submitted').map(({ job, stages }) => [job, stages]));
  const completeAtMs = new Map(
    ofKind(sights, 'shown')
      .filter(({ status }) => status === 'complete')
      .reverse()
      .map(({ job, atMs }) => [job, atMs]),
  );
  return [
    ...findTwice(runs, completeAtMs),
    ...findDisorder(runs, stagesOf),
    ...findUnasked(runs, sights, endMs),
    ...findRefused(runs, sights),
    ...findLost(sights, endMs),
    ...findMixed(runs, completeAtMs, stagesOf),
  ];
}
