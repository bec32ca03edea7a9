import type { WorkerLoad } from '@bronzeyoke/placement';
import { fitsEmptyWorker, withTask } from '@bronzeyoke/placement';
import { NO_RESOURCES, subtractResources } from '@bronzeyoke/types';
import type { ReadyStage } from '@bronzeyoke/workflow';
import { taskProgress } from '@bronzeyoke/workflow';
import { Map } from 'immutable';
import type { StageCandidate } from './candidates';
import type { PlacementPass } from './pass';
import { chooseWorkerFor, claimOn, isBackingOff, loadsOfService, spend } from './pass';
import { TRIAL_WORK } from './passbudget';
import { runsOn } from '../runs';
import type { OpenJob, Suspect } from '../views';

/** Time after the last start on a worker from which a crash is not held against that start. */
const QUIET_MS = 250;

/**
 * A suspect that finds no worker for a trial is placed like other tasks after this time; one that has
 * crashed a worker alone waits longer.
 */
const MAX_TRIAL_WAIT_MS = 3_000;
const MAX_REPEATED_TRIAL_WAIT_MS = 8_000;

/**
 * Trials at the same time. Of the tasks that shared one crash most are innocent; one that has crashed
 * workers again is not, and its trials cost a worker each.
 */
const TRIAL_SHARE = 1 / 2;
const MIN_TRIALS = 2;
const REPEATED_TRIAL_SHARE = 1 / 10;

/** Searches for a trial in one pass. Each looks at all workers, and a pass must stay short. */
const MAX_SEARCHES = 8;

/** A suspect that waits for a trial. */
interface WaitingSuspect {
  readonly task: string;
  readonly suspect: Suspect;
  readonly ready: ReadyStage;
}

/** A pass that places trials, with how many more may begin. */
interface Trials {
  readonly pass: PlacementPass;
  readonly left: number;
  readonly repeatedLeft: number;
  /** Tasks that wait for their trials or begin them, and that the pass must not place otherwise. */
  readonly held: ReadonlySet<string>;
}

function isRepeated({ crashes }: Pick<Suspect, 'crashes'>): boolean {
  return crashes.alone > 0 || crashes.prompt > 1;
}

function maxWaitMs(suspect: Suspect): number {
  return isRepeated(suspect) ? MAX_REPEATED_TRIAL_WAIT_MS : MAX_TRIAL_WAIT_MS;
}

/** Returns the suspects to try. Lasting tasks and gangs keep their own order of placement. */
function waitingSuspects(
  pass: PlacementPass,
  candidates: readonly StageCandidate[],
  nowMs: number,
): readonly WaitingSuspect[] {
  return candidates.flatMap(({ jobId, ready }) => {
    if (ready.stage.isLasting || ready.stage.isGang) return [];
    return ready.slots.flatMap((slot): readonly WaitingSuspect[] => {
      const task = `${jobId}.${slot}`;
      const suspect = pass.state.suspects.get(task);
      const isDue = suspect !== undefined && nowMs - suspect.sinceMs < maxWaitMs(suspect);
      return isDue ? [{ task, suspect, ready }] : [];
    });
  });
}

/** Returns the time of the last claim on a worker. */
function lastClaimAtMs({ state }: PlacementPass, workerKey: string): number {
  return runsOn(state.runs, workerKey).reduce(
    (latest, { claimedAtMs }) => Math.max(latest, claimedAtMs),
    -Infinity,
  );
}

/** Weight of a lasting task among what a crash would end. */
const LASTING_WEIGHT = 10;

/** Returns what a crash of a worker would end. */
function lossOn({ state }: PlacementPass, workerKey: string): number {
  return runsOn(state.runs, workerKey).reduce(
    (sum, { stage }) => sum + (stage.isLasting ? LASTING_WEIGHT : 1),
    0,
  );
}

/** Returns the worker for a trial: one that has begun nothing lately, with the least to lose. */
function findTrialWorker(
  pass: PlacementPass,
  open: OpenJob,
  { ready, suspect }: WaitingSuspect,
  nowMs: number,
): WorkerLoad | undefined {
  const { slot, crashes } = suspect;
  const quiet = loadsOfService(pass, open)
    .filter(({ workerKey }) => nowMs - lastClaimAtMs(pass, workerKey) >= QUIET_MS)
    .map((load) => {
      const { report } = pass.state.workers.get(load.workerKey) ?? {};
      // A machine that crashes by itself must not be the only witness.
      const isSameMachine = crashes.address !== '' && report?.address === crashes.address;
      return { load, isSameMachine, loss: lossOn(pass, load.workerKey) };
    })
    .toSorted(
      (left, right) =>
        Number(left.isSameMachine) - Number(right.isSameMachine) || left.loss - right.loss,
    );
  return quiet.find(({ load }) => {
    const only = Map([[load.workerKey, load]]);
    return chooseWorkerFor(pass, open, ready, slot, only, false) !== undefined;
  })?.load;
}

/** Returns whether a task fits beside the lasting tasks of a worker, once its other runs have ended. */
function fitsBesideLasting(pass: PlacementPass, { stage }: ReadyStage, load: WorkerLoad): boolean {
  const empty = { ...load, reserved: NO_RESOURCES };
  const { reserved } = runsOn(pass.state.runs, load.workerKey)
    .filter((run) => run.stage.isLasting)
    .reduce((sum, run) => withTask(sum, run.stage), empty);
  return fitsEmptyWorker(stage, { ...load, capacity: subtractResources(load.capacity, reserved) });
}

/**
 * Keeps a worker free of other starts for a trial. The one that has begun nothing for longest stays the
 * first choice in the next passes.
 */
function reserveWorker(
  pass: PlacementPass,
  open: OpenJob,
  { ready }: WaitingSuspect,
): PlacementPass {
  const [first] = loadsOfService(pass, open)
    .filter((load) => fitsBesideLasting(pass, ready, load))
    .map(({ workerKey }) => ({ workerKey, claimedAtMs: lastClaimAtMs(pass, workerKey) }))
    .toSorted((left, right) => left.claimedAtMs - right.claimedAtMs);
  return first === undefined ? pass : { ...pass, loads: pass.loads.delete(first.workerKey) };
}

function placeTrial(trials: Trials, waiting: WaitingSuspect, nowMs: number): Trials {
  const { pass, left, repeatedLeft } = trials;
  const { task, suspect, ready } = waiting;
  const { jobId, slot } = suspect;
  const held = { ...trials, held: new Set([...trials.held, task]) };
  const open = pass.state.jobs.get(jobId);
  const mayBegin = left > 0 && (!isRepeated(suspect) || repeatedLeft > 0);
  if (open === undefined || !mayBegin || isBackingOff(pass, task, nowMs)) return held;
  const load = findTrialWorker(pass, open, waiting, nowMs);
  const attempt = 1 + taskProgress(open.progress, slot).attempt;
  const taken = {
    left: left - 1,
    repeatedLeft: repeatedLeft - (isRepeated(suspect) ? 1 : 0),
  };
  const searched = spend(pass, pass.loads.size * TRIAL_WORK);
  return load === undefined
    ? { ...held, ...taken, pass: reserveWorker(searched, open, waiting) }
    : {
        ...held,
        ...taken,
        pass: claimOn(searched, load, { open, ready, slot, attempt }, false, nowMs),
      };
}

/**
 * Places the suspects that wait, each on a worker of its own. Returns the pass with the tasks that it must
 * not place otherwise.
 */
export function placeTrials(
  pass: PlacementPass,
  candidates: readonly StageCandidate[],
  nowMs: number,
): PlacementPass {
  const { suspects, loads, runs } = pass.state;
  if (suspects.isEmpty()) return pass;
  const waiting = waitingSuspects(pass, candidates, nowMs);
  if (waiting.length === 0) return pass;
  const running = [...suspects].flatMap(([task]) => runs.byTask.get(task)?.trial ?? []);
  const repeated = running.filter(isRepeated);
  const limit = Math.max(MIN_TRIALS, Math.ceil(loads.size * TRIAL_SHARE));
  const repeatedLimit = Math.max(1, Math.floor(loads.size * REPEATED_TRIAL_SHARE));
  const placed = waiting
    .toSorted((left, right) => left.suspect.crashes.prompt - right.suspect.crashes.prompt)
    .reduce<Trials>((current, task) => placeTrial(current, task, nowMs), {
      pass,
      left: Math.min(limit - running.length, MAX_SEARCHES),
      repeatedLeft: repeatedLimit - repeated.length,
      held: new Set<string>(),
    });
  return { ...placed.pass, held: placed.held };
}
