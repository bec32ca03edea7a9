import { HARMED_RATIO } from '@bronzeyoke/interference';
import type { ListedRun } from '@bronzeyoke/ports';
import { chainAll, unchanged, without } from '@bronzeyoke/types';
import { acceptsEvent, advanceRun, taskProgress, withTasks } from '@bronzeyoke/workflow';
import { logListedAfterRelease } from './releasedruns';
import { isWanted, keepUnwanted, STOP_REPEAT_MS, stopUnwanted } from './unwanted';
import { isHeldTask } from '../jobs/held';
import { taskTime } from '../jobs/openjob';
import { putRun } from '../runs';
import { sendToWorker, withEffects } from '../state';
import { taskLog } from '../tasklog';
import type { SchedulerState, SchedulerStep } from '../types';
import { runRef } from '../types';
import type { RunView } from '../views';

/** Updates what is known of a run by its listing: how far it is, its load, and since when it is harmed. */
function applyListing(known: RunView, listed: ListedRun, nowMs: number): RunView {
  const isSame = known.isListed && known.percent === listed.percent && known.load === listed.load;
  if (isSame) return known;
  const hasProgressed = listed.percent !== known.percent || !known.isListed;
  const target = known.stage.latencyTargetMs;
  const isHarmed = target !== undefined && listed.load >= target * HARMED_RATIO;
  return {
    ...(isHarmed || known.harmedSinceMs === undefined ? known : without(known, 'harmedSinceMs')),
    ...(isHarmed ? { harmedSinceMs: known.harmedSinceMs ?? nowMs } : {}),
    isListed: true,
    listedAtMs: known.isListed ? known.listedAtMs : nowMs,
    percent: listed.percent,
    percentAtMs: hasProgressed ? nowMs : known.percentAtMs,
    load: listed.load,
  };
}

/** Records a listed run that is not wanted, and stops it unless its job is held. */
function handleUnwanted(
  state: SchedulerState,
  workerKey: string,
  { task, attempt }: ListedRun,
  nowMs: number,
): SchedulerStep {
  const unwanted = runRef(task, attempt);
  const kept = keepUnwanted(state, workerKey, unwanted);
  if (isHeldTask(state, task)) return unchanged(kept);
  return chainAll(kept, [
    (current) => logListedAfterRelease(current, workerKey, unwanted, 'running', nowMs),
    (current) => stopUnwanted(current, workerKey, unwanted, nowMs),
  ]);
}

/** Updates a run that a worker lists as running, or stops one that is not wanted. */
export function updateListed(
  state: SchedulerState,
  workerKey: string,
  listed: ListedRun,
  nowMs: number,
): SchedulerStep {
  const { task, attempt, checkpoint } = listed;
  const run = state.runs.byTask.get(task);
  const open = run === undefined ? undefined : state.jobs.get(run.jobId);
  if (run === undefined || open === undefined || !isWanted(state, workerKey, listed)) {
    return handleUnwanted(state, workerKey, listed, nowMs);
  }
  const isStopDue = run.stopSentAtMs !== undefined && nowMs - run.stopSentAtMs > STOP_REPEAT_MS;
  const view = applyListing(isStopDue ? { ...run, stopSentAtMs: nowMs } : run, listed, nowMs);
  const { slot, jobId } = run;
  const stored = taskProgress(open.progress, slot);
  const isNew = acceptsEvent(stored, 'started');
  const savesNow =
    checkpoint !== '' && checkpoint !== stored.checkpoint && run.stage.savesCheckpoints;
  if (view === run && !isNew && !savesNow) return unchanged(state);
  const runs = view === run ? state.runs : putRun(state.runs, task, view);
  const stops = isStopDue
    ? sendToWorker(state, workerKey, { kind: 'stop', workerKey, run: runRef(task, attempt) })
    : [];
  if (!isNew && !savesNow) return withEffects({ ...state, runs }, stops);
  const moved = { ...advanceRun(stored, 'started'), ...(savesNow ? { checkpoint } : {}) };
  const progress = withTasks(open.progress, [[slot, moved]]);
  // The change stays in memory; the row is written with the next change that has to be durable.
  const time = isNew ? taskTime(open, slot, { kind: 'started' }, nowMs) : {};
  const jobs = state.jobs.set(jobId, { ...open, progress, ...time });
  const startedAfterMs = Math.round(nowMs - run.claimedAtMs);
  const fields = { job: jobId, task, attempt, worker: workerKey, startedAfterMs };
  return withEffects({ ...state, jobs, runs }, [
    ...stops,
    ...(isNew ? [taskLog(run.stage, 'taskStarted', fields)] : []),
  ]);
}
