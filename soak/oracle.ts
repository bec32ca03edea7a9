import { isCrashingJob, isLasting } from './jobs';
import { findRepeats } from './repeats';
import { describeRun, groupBy, ofKind, runsOf } from './runs';
import type { Run } from './runs';
import type { PromiseViolation, SoakObservation } from './types';

/** Time from its acknowledgement until all entries know an accepted job. */
const VISIBILITY_DELAY_MS = 3_000;

/** Longest time without a run of a lasting task while nothing fails. */
const MAX_AWAY_MS = 9_000;

/** Time after a cancellation in which a paused leader and a late order may still start a task. */
const LATE_START_MS = 9_000;

function jobOf(task: string): string {
  return task.slice(0, task.indexOf('.'));
}

function stageOf(task: string): number {
  return Number(task.split('.')[2]);
}

/** Finds runs of a task that overlap. */
export function findOverlaps(runs: readonly Run[]): readonly PromiseViolation[] {
  return [...groupBy(runs, ({ task }) => task).values()].flatMap((runsOfTask) => {
    const ordered = [...runsOfTask].sort((left, right) => left.fromMs - right.fromMs);
    return ordered.flatMap((run, index): PromiseViolation[] => {
      const previous = ordered[index - 1];
      if (previous === undefined || previous.untilMs <= run.fromMs) return [];
      const what = `${run.task}: ${describeRun(previous)}; ${describeRun(run)}`;
      return [{ promise: 'TWICE', atMs: run.fromMs, what }];
    });
  });
}

/** Finds starts of tasks after a success that counts. */
function findCountedRepeats(observations: readonly SoakObservation[]): readonly PromiseViolation[] {
  return findRepeats(observations)
    .filter(({ kind }) => kind === 'counted')
    .map(({ earlier, later }) => ({
      promise: 'TWICE',
      atMs: later.fromMs,
      what: `${later.task} starts after a success: ${describeRun(earlier)}; ${describeRun(later)}`,
    }));
}

/** Finds overlapping runs of a task, and runs that start after their job was shown as complete. */
function findDuplicateRuns(
  runs: readonly Run[],
  completeAtMs: ReadonlyMap<string, number>,
): PromiseViolation[] {
  const afterCompletion = runs
    .filter(({ task, fromMs }) => fromMs > (completeAtMs.get(jobOf(task)) ?? Infinity))
    .map(({ task, fromMs }): PromiseViolation => ({
      promise: 'TWICE',
      atMs: fromMs,
      what: `${task} starts after its job was complete`,
    }));
  return [...findOverlaps(runs), ...afterCompletion];
}

/** Finds tasks that start before all tasks of the previous stage have succeeded. */
function findEarlyStarts(
  runs: readonly Run[],
  stagesOf: ReadonlyMap<string, readonly number[]>,
): PromiseViolation[] {
  const succeeded = runs.filter(({ end }) => end === 'done');
  const byJob = groupBy(succeeded, ({ task }) => jobOf(task));
  return runs.flatMap(({ task, fromMs }): PromiseViolation[] => {
    const stage = stageOf(task);
    const expected = stagesOf.get(jobOf(task))?.[stage - 1] ?? 0;
    const done = new Set(
      (byJob.get(jobOf(task)) ?? [])
        .filter((run) => stageOf(run.task) === stage - 1 && run.untilMs <= fromMs)
        .map((run) => run.task),
    );
    if (stage === 0 || done.size >= expected) return [];
    return [{ promise: 'ORDER', atMs: fromMs, what: `${task} starts before the stage before it` }];
  });
}

/** Finds runs of unknown jobs, and runs that go on after their job was cancelled. */
function findUnwantedRuns(
  runs: readonly Run[],
  observations: readonly SoakObservation[],
  endMs: number,
): PromiseViolation[] {
  const submitted = new Set(ofKind(observations, 'submitted').map(({ job }) => job));
  const cancelled = new Set(ofKind(observations, 'cancelSent').map(({ job }) => job));
  const shown = new Set(
    ofKind(observations, 'shown')
      .filter(({ status }) => status === 'cancelled')
      .map(({ job }) => job),
  );
  return runs.flatMap(({ task, fromMs, untilMs }): PromiseViolation[] => {
    const job = jobOf(task);
    if (!submitted.has(job)) {
      return [{ promise: 'UNASKED', atMs: fromMs, what: `${task} belongs to no job` }];
    }
    const isStillRunning = cancelled.has(job) && shown.has(job) && untilMs > endMs;
    return isStillRunning
      ? [{ promise: 'UNASKED', atMs: endMs, what: `${task} still runs though it was cancelled` }]
      : [];
  });
}

/** Finds jobs that are accepted or run after their cancellation was answered with "no such job". */
function findWithdrawnJobs(
  runs: readonly Run[],
  observations: readonly SoakObservation[],
): PromiseViolation[] {
  const shown = groupBy(ofKind(observations, 'shown'), ({ job }) => job);
  const started = groupBy(runs, ({ task }) => jobOf(task));
  return ofKind(observations, 'withdrawn').flatMap(({ job, atMs }): PromiseViolation[] => {
    const isShown = (shown.get(job) ?? []).some(
      ({ status, atMs: shownAtMs }) => shownAtMs > atMs && !['gone', 'cancelled'].includes(status),
    );
    const isStarted = (started.get(job) ?? []).some(({ fromMs }) => fromMs > atMs + LATE_START_MS);
    if (!isShown && !isStarted) return [];
    return [{ promise: 'UNASKED', atMs, what: `${job} is accepted after "no such job"` }];
  });
}

/** Finds lasting tasks that are away at the end, and lasting jobs that are shown as complete. */
function findLastingTasksAway(
  runs: readonly Run[],
  observations: readonly SoakObservation[],
  endMs: number,
): PromiseViolation[] {
  const cancelled = new Set(ofKind(observations, 'cancelSent').map(({ job }) => job));
  const accepted = new Set(ofKind(observations, 'accepted').map(({ job }) => job));
  const present = new Set(
    runs.filter(({ untilMs }) => untilMs > endMs - MAX_AWAY_MS).map(({ task }) => task),
  );
  const wanted = ofKind(observations, 'submitted').filter(
    ({ job }) => isLasting(job) && accepted.has(job) && !cancelled.has(job),
  );
  return wanted.flatMap(({ job, stages }) =>
    Array.from({ length: stages[0] ?? 0 }, (_, index) => `${job}.0.0.${index}`)
      .filter((task) => !present.has(task))
      .map(
        (task) =>
          ({ promise: 'LOST', atMs: endMs, what: `${task} is to last and is away` }) as const,
      ),
  );
}

/** Finds runs of jobs whose every submission was refused. */
function findRefusedRuns(
  runs: readonly Run[],
  observations: readonly SoakObservation[],
): PromiseViolation[] {
  const started = new Map(runs.map(({ task, fromMs }) => [jobOf(task), fromMs]));
  const possiblyAccepted = new Set(
    [...ofKind(observations, 'accepted'), ...ofKind(observations, 'unknown')].map(({ job }) => job),
  );
  const refused = new Set(ofKind(observations, 'refused').map(({ job }) => job));
  return [...refused].flatMap((job): PromiseViolation[] => {
    const atMs = started.get(job);
    if (possiblyAccepted.has(job) || atMs === undefined) return [];
    return [{ promise: 'REFUSED', atMs, what: `${job} runs though it was refused` }];
  });
}

/** Finds accepted jobs that are gone, failed, cancelled without a request, or not complete. */
function findLostJobs(observations: readonly SoakObservation[], endMs: number): PromiseViolation[] {
  const accepted = new Map(ofKind(observations, 'accepted').map(({ job, atMs }) => [job, atMs]));
  const cancelled = new Set(ofKind(observations, 'cancelSent').map(({ job }) => job));
  const shown = ofKind(observations, 'shown');
  const expected = [...accepted.keys()].filter((job) => !cancelled.has(job) && !isCrashingJob(job));
  const byJob = groupBy(shown, ({ job }) => job);
  return expected.flatMap((job): PromiseViolation[] => {
    const answers = byJob.get(job) ?? [];
    const visibleAtMs = (accepted.get(job) ?? 0) + VISIBILITY_DELAY_MS;
    const gone = answers.find(({ status, atMs }) => status === 'gone' && atMs > visibleAtMs);
    if (gone !== undefined) return [{ promise: 'LOST', atMs: gone.atMs, what: `${job} is gone` }];
    const ended = answers.find(({ status }) => status === 'failed' || status === 'cancelled');
    if (ended !== undefined) {
      return [{ promise: 'LOST', atMs: ended.atMs, what: `${job} is shown as ${ended.status}` }];
    }
    return isLasting(job) || answers.some(({ status }) => status === 'complete')
      ? []
      : [{ promise: 'LOST', atMs: endMs, what: `${job} was accepted and is not complete` }];
  });
}

/** Finds accepted jobs that crash workers and are not given up. */
function findCrashingJobs(
  observations: readonly SoakObservation[],
  endMs: number,
): PromiseViolation[] {
  const cancelled = new Set(ofKind(observations, 'cancelSent').map(({ job }) => job));
  const failed = new Set(
    ofKind(observations, 'shown')
      .filter(({ status }) => status === 'failed')
      .map(({ job }) => job),
  );
  return ofKind(observations, 'accepted')
    .filter(({ job }) => isCrashingJob(job) && !cancelled.has(job) && !failed.has(job))
    .map(({ job }) => ({
      promise: 'BUDGET',
      atMs: endMs,
      what: `${job} crashes workers and is not given up`,
    }));
}

/** Finds jobs that are shown as complete before each of their tasks has succeeded. */
function findEarlyCompletions(
  runs: readonly Run[],
  completeAtMs: ReadonlyMap<string, number>,
  stagesOf: ReadonlyMap<string, readonly number[]>,
): PromiseViolation[] {
  const done = groupBy(
    runs.filter(({ end }) => end === 'done'),
    ({ task }) => jobOf(task),
  );
  return [...completeAtMs].flatMap(([job, atMs]): PromiseViolation[] => {
    const tasks = new Set(
      (done.get(job) ?? []).filter(({ untilMs }) => untilMs <= atMs).map(({ task }) => task),
    );
    const expected = (stagesOf.get(job) ?? []).reduce((sum, count) => sum + count, 0);
    if (tasks.size >= expected && !isLasting(job)) return [];
    return [
      { promise: 'MIXED', atMs, what: `${job} is complete with ${tasks.size} of ${expected}` },
    ];
  });
}

/** Finds programs that ended by themselves. */
function findOwnExits(observations: readonly SoakObservation[]): PromiseViolation[] {
  return ofKind(observations, 'exited').map(({ atMs, program, output }) => ({
    promise: 'ENDED',
    atMs,
    what: `${program} ended by itself: ${output}`,
  }));
}

/**
 * Checks the observations of callers, workers and programs until `endMs`, the end of the time without faults.
 */
export function findViolations(
  observations: readonly SoakObservation[],
  endMs: number,
): readonly PromiseViolation[] {
  const runs = runsOf(observations);
  const stagesOf = new Map(
    ofKind(observations, 'submitted').map(({ job, stages }) => [job, stages]),
  );
  const completeAtMs = new Map(
    ofKind(observations, 'shown')
      .filter(({ status }) => status === 'complete')
      .reverse()
      .map(({ job, atMs }) => [job, atMs]),
  );
  return [
    ...findDuplicateRuns(runs, completeAtMs),
    ...findCountedRepeats(observations),
    ...findEarlyStarts(runs, stagesOf),
    ...findUnwantedRuns(runs, observations, endMs),
    ...findWithdrawnJobs(runs, observations),
    ...findLastingTasksAway(runs, observations, endMs),
    ...findRefusedRuns(runs, observations),
    ...findLostJobs(observations, endMs),
    ...findCrashingJobs(observations, endMs),
    ...findEarlyCompletions(runs, completeAtMs, stagesOf),
    ...findOwnExits(observations),
  ];
}
