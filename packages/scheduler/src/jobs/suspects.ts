import type { RecentStart } from '@bronzeyoke/wire';
import { chainAll, unchanged, without } from '@bronzeyoke/types';
import type { CrashRecord, TaskProgress } from '@bronzeyoke/workflow';
import { parseTaskName, slotKey, taskProgress, withTasks } from '@bronzeyoke/workflow';
import { Map } from 'immutable';
import { endJob } from './jobend';
import { putRun, runsOn } from '../runs';
import { putJob, withEffects } from '../state';
import { taskLog } from '../tasklog';
import type { GoneReport, SchedulerState, SchedulerStep } from '../types';
import type { RunView, Suspect, Trial } from '../views';

/** A worker that crashes this soon after a start most likely crashed because of it. */
const PROMPT_MS = 120;

/** Crashes after which a task is suspected that had run for longer each time. */
const SLOW_SUSPECT_CRASHES = 3;

/** Length of a trial, and the same as a multiple of the time that a slower task took to crash workers. */
const MIN_TRIAL_MS = 150;
const SLOW_TRIAL_FACTOR = 1.25;

/**
 * Crashes after which the job of a task is given up. Two under this task alone can hardly be chance; the
 * other limits end what trials cannot separate, within the starts that the users allow.
 */
const LONE_CRASHES = 2;
const PROMPT_CRASHES_WITH_LONE_ONE = 4;
const MAX_PROMPT_CRASHES = 5;

/** Returns whether a task is taken to crash workers until a trial shows otherwise. */
export function isSuspect(crashes: CrashRecord | undefined): crashes is CrashRecord {
  return crashes !== undefined && (crashes.prompt > 0 || crashes.slow >= SLOW_SUSPECT_CRASHES);
}

/** Returns how long a worker has to run a task to show that it does not crash workers. */
function proofMs({ longestAgeMs }: CrashRecord): number {
  return Math.max(MIN_TRIAL_MS, SLOW_TRIAL_FACTOR * longestAgeMs);
}

/** Returns how long a worker has to run a suspect before others may begin beside it. */
export function trialMs(crashes: CrashRecord): number {
  return crashes.slow >= SLOW_SUSPECT_CRASHES ? proofMs(crashes) : MIN_TRIAL_MS;
}

/** Returns whether a crash in a trial came as soon as those before it. Other crashes may be chance. */
function confirms(trial: Trial | undefined, ageMs: number): boolean {
  if (trial === undefined) return false;
  return ageMs <= PROMPT_MS || trial.crashes.slow >= SLOW_SUSPECT_CRASHES;
}

/** Returns whether nothing else was begun so shortly before a crash that it may have caused it. */
function isAlone(start: RecentStart, starts: readonly RecentStart[]): boolean {
  const horizonMs = Math.max(PROMPT_MS, start.ageMs);
  return starts.every((other) => other === start || other.ageMs > horizonMs);
}

const NO_CRASHES: CrashRecord = {
  prompt: 0,
  slow: 0,
  alone: 0,
  attempt: 0,
  longestAgeMs: 0,
  address: '',
};

function addCrash(
  known: CrashRecord,
  { attempt, ageMs }: RecentStart,
  isLone: boolean,
  address: string,
): CrashRecord {
  const isPrompt = ageMs <= PROMPT_MS;
  return {
    prompt: known.prompt + (isPrompt ? 1 : 0),
    slow: known.slow + (isPrompt ? 0 : 1),
    alone: known.alone + (isLone ? 1 : 0),
    attempt,
    longestAgeMs: Math.max(Math.round(ageMs), known.longestAgeMs),
    address,
  };
}

function isGivenUp({ prompt, alone }: CrashRecord): boolean {
  return (
    alone >= LONE_CRASHES ||
    (alone > 0 && prompt >= PROMPT_CRASHES_WITH_LONE_ONE) ||
    prompt >= MAX_PROMPT_CRASHES
  );
}

/** Counts a crash against one task, and gives its job up when the task is shown to be the cause. */
function recordCrash(
  state: SchedulerState,
  start: RecentStart,
  gone: GoneReport,
  address: string,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const { task, attempt, ageMs } = start;
  const ref = parseTaskName(task);
  const open = ref === undefined ? undefined : state.jobs.get(ref.jobId);
  if (ref === undefined || open === undefined) return unchanged(state);
  const { jobId } = ref;
  const slot = slotKey(ref.occurrence, ref.stageIndex, ref.index);
  const known = taskProgress(open.progress, slot);
  // An agent repeats its message until a leader has recorded it.
  const isRecorded = attempt <= (known.crashes?.attempt ?? 0) || attempt > known.attempt;
  const hasEnded = known.phase === 'done' || open.progress.outcome !== undefined;
  const stage = open.job.stages[ref.stageIndex];
  // A lasting task sees many crashes over its life; only those at once after its start say something.
  const isChance = stage?.isLasting === true && ageMs > PROMPT_MS;
  if (isRecorded || hasEnded || isChance) return unchanged(state);
  const trial = state.runs.byTask.get(task)?.trial;
  const isLone = confirms(trial, ageMs) && isAlone(start, gone.recentStarts);
  const crashes = addCrash(known.crashes ?? NO_CRASHES, start, isLone, address);
  const changed: TaskProgress = { ...known, crashes };
  const progress = withTasks(open.progress, [[slot, changed]]);
  const { prompt, slow, alone } = crashes;
  const fields = { job: jobId, task, attempt, worker: gone.workerKey, prompt, slow, alone };
  const log = taskLog(stage, 'taskSuspected', {
    ...fields,
    ageMs: Math.round(ageMs),
    isSuspect: isSuspect(crashes),
  });
  const recorded = putJob(
    {
      ...state,
      suspects: isSuspect(crashes)
        ? state.suspects.set(task, { jobId, slot, crashes, sinceMs: nowMs })
        : state.suspects,
    },
    jobId,
    { ...open, progress },
  );
  if (!isGivenUp(crashes)) return withEffects(recorded, [log]);
  const end = { outcome: 'failed', failure: 'workersCrashed' } as const;
  const step = endJob(recorded, jobId, end, wallMs, { slot, nowMs });
  return withEffects(step.state, [log, ...step.effects]);
}

/** Counts the crash of a worker against the tasks that it had just begun. */
export function recordCrashes(
  state: SchedulerState,
  gone: GoneReport,
  address: string,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  if (gone.cause !== 'crashed') return unchanged(state);
  return chainAll(
    state,
    gone.recentStarts.map(
      (start) => (current: SchedulerState) =>
        recordCrash(current, start, gone, address, nowMs, wallMs),
    ),
  );
}

/** Returns the suspects among the tasks of a new leader's jobs. */
export function findSuspects(state: SchedulerState, nowMs: number): SchedulerState['suspects'] {
  const found = state.jobs
    .valueSeq()
    .toArray()
    .flatMap(({ job: { jobId }, progress }) =>
      [...progress.tasks].flatMap(([slot, { crashes, phase }]): readonly [string, Suspect][] =>
        phase !== 'done' && isSuspect(crashes)
          ? [[`${jobId}.${slot}`, { jobId, slot, crashes, sinceMs: nowMs }]]
          : [],
      ),
    );
  return Map(found);
}

/** Returns the suspects whose jobs are open and whose tasks are not done. */
export function openSuspects({ suspects, jobs }: SchedulerState): SchedulerState['suspects'] {
  if (suspects.isEmpty()) return suspects;
  return suspects.filter(({ jobId, slot }) => {
    const open = jobs.get(jobId);
    return (
      open !== undefined &&
      open.progress.outcome === undefined &&
      taskProgress(open.progress, slot).phase !== 'done'
    );
  });
}

function isProven({ trial, isListed, listedAtMs }: RunView, nowMs: number): boolean {
  return trial !== undefined && isListed && nowMs - listedAtMs >= trial.forMs;
}

/** Returns what remains of a record after a trial that has shown no crash. */
function afterTrial(crashes: CrashRecord, ranMs: number): Pick<TaskProgress, 'crashes'> {
  if (crashes.slow === 0 || ranMs >= proofMs(crashes)) return {};
  return { crashes: { ...crashes, prompt: 0, alone: 0 } };
}

/** Clears a task that its worker has run for long enough. */
function clearSuspect(state: SchedulerState, task: string): SchedulerStep {
  const run = state.runs.byTask.get(task);
  const open = run === undefined ? undefined : state.jobs.get(run.jobId);
  if (run === undefined || open === undefined) return unchanged(state);
  const { jobId, slot, attempt, workerKey, stage } = run;
  const { crashes = NO_CRASHES, ...rest } = taskProgress(open.progress, slot);
  const cleared = { ...rest, ...afterTrial(crashes, run.trial?.forMs ?? 0) };
  const progress = withTasks(open.progress, [[slot, cleared]]);
  return withEffects(
    {
      ...state,
      // The row is written with the next change that has to be durable: a next leader tries once more.
      jobs: state.jobs.set(jobId, { ...open, progress }),
      runs: putRun(state.runs, task, without(run, 'trial')),
      suspects: state.suspects.delete(task),
      needsPlacement: true,
    },
    [taskLog(stage, 'taskCleared', { job: jobId, task, attempt, worker: workerKey })],
  );
}

/** Clears the suspects on a worker that have outlived their trials. */
export function clearProvenRuns(
  state: SchedulerState,
  workerKey: string,
  nowMs: number,
): SchedulerStep {
  if (state.suspects.isEmpty()) return unchanged(state);
  const proven = runsOn(state.runs, workerKey).filter((run) => isProven(run, nowMs));
  return chainAll(
    state,
    [...proven.keys()].map((task) => (current: SchedulerState) => clearSuspect(current, task)),
  );
}
