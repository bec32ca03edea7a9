import { HARMED_RATIO } from '@bronzeyoke/interference';
import type { ListedRun } from '@bronzeyoke/ports';
import { assertNever, chainAll, unchanged, without } from '@bronzeyoke/types';
import { acceptsEvent, advanceRun, taskProgress, withTasks } from '@bronzeyoke/workflow';
import { logListedAfterRelease } from './releasedruns';
import { keepUnwanted, STOP_REPEAT_MS, stopUnwanted } from './unwanted';
import { isHeldTask } from '../jobs/held';
import { taskTime } from '../jobs/openjob';
import { putRun, runsOn, updateRuns } from '../runs';
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

/** What a listed run leads to. */
type Listing =
  | { readonly kind: 'unwanted'; readonly listed: ListedRun }
  /** It tells nothing new. */
  | { readonly kind: 'same' }
  /** It tells only how far the run is, and its load. */
  | { readonly kind: 'measured'; readonly task: string; readonly view: RunView }
  | Progressed;

/** A run that has started, that saves a checkpoint, or that ignores its stop order. */
interface Progressed {
  readonly kind: 'progressed';
  readonly listed: ListedRun;
  readonly view: RunView;
  readonly isNew: boolean;
  readonly savesNow: boolean;
  readonly isStopDue: boolean;
}

/** Compares a listed run with what is known of it. */
function compareListed(
  state: SchedulerState,
  workerKey: string,
  listed: ListedRun,
  nowMs: number,
): Listing {
  const { task, attempt, checkpoint } = listed;
  const run = runsOn(state.runs, workerKey).get(task);
  const open = run?.attempt === attempt ? state.jobs.get(run.jobId) : undefined;
  if (run === undefined || open === undefined) return { kind: 'unwanted', listed };
  const isStopDue = run.stopSentAtMs !== undefined && nowMs - run.stopSentAtMs > STOP_REPEAT_MS;
  const view = applyListing(isStopDue ? { ...run, stopSentAtMs: nowMs } : run, listed, nowMs);
  const stored = taskProgress(open.progress, run.slot);
  const isNew = acceptsEvent(stored, 'started');
  const savesNow =
    checkpoint !== '' && checkpoint !== stored.checkpoint && run.stage.savesCheckpoints;
  if (isNew || savesNow || isStopDue) {
    return { kind: 'progressed', listed, view, isNew, savesNow, isStopDue };
  }
  return view === run ? { kind: 'same' } : { kind: 'measured', task, view };
}

/** Records the start or the checkpoint of a listed run, and repeats its stop order if that is due. */
function recordProgress(
  state: SchedulerState,
  { listed, view, isNew, savesNow, isStopDue }: Progressed,
  nowMs: number,
): SchedulerStep {
  const { task, attempt, checkpoint } = listed;
  const { jobId, slot, workerKey, stage, claimedAtMs } = view;
  const runs = putRun(state.runs, task, view);
  const stops = isStopDue
    ? sendToWorker(state, workerKey, { kind: 'stop', workerKey, run: runRef(task, attempt) })
    : [];
  const open = state.jobs.get(jobId);
  if (open === undefined || (!isNew && !savesNow)) return withEffects({ ...state, runs }, stops);
  const stored = taskProgress(open.progress, slot);
  const moved = { ...advanceRun(stored, 'started'), ...(savesNow ? { checkpoint } : {}) };
  const progress = withTasks(open.progress, [[slot, moved]]);
  // The change stays in memory; the row is written with the next change that has to be durable.
  const time = isNew ? taskTime(open, slot, { kind: 'started' }, nowMs) : {};
  const jobs = state.jobs.set(jobId, { ...open, progress, ...time });
  const startedAfterMs = Math.round(nowMs - claimedAtMs);
  const fields = { job: jobId, task, attempt, worker: workerKey, startedAfterMs };
  return withEffects({ ...state, jobs, runs }, [
    ...stops,
    ...(isNew ? [taskLog(stage, 'taskStarted', fields)] : []),
  ]);
}

/**
 * Updates the runs that a worker lists as running, and stops those that are not wanted. Most listed runs
 * tell only their loads, so these are written to the table of runs together.
 */
export function updateListed(
  state: SchedulerState,
  workerKey: string,
  running: readonly ListedRun[],
  nowMs: number,
): SchedulerStep {
  const listings = running.map((listed) => compareListed(state, workerKey, listed, nowMs));
  const measured = listings.flatMap((listing): readonly (readonly [string, RunView])[] =>
    listing.kind === 'measured' ? [[listing.task, listing.view]] : [],
  );
  const updated = { ...state, runs: updateRuns(state.runs, workerKey, measured) };
  return chainAll(
    updated,
    listings.flatMap((listing) => {
      switch (listing.kind) {
        case 'same':
        case 'measured':
          return [];
        case 'unwanted':
          return [
            (current: SchedulerState) => handleUnwanted(current, workerKey, listing.listed, nowMs),
          ];
        case 'progressed':
          return [(current: SchedulerState) => recordProgress(current, listing, nowMs)];
        default:
          return assertNever(listing);
      }
    }),
  );
}
