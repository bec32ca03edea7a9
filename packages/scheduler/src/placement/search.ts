import type { Candidate, WorkerLoad } from '@bronzeyoke/placement';
import { bestCandidate, findCandidates, updateCandidate } from '@bronzeyoke/placement';
import { taskProgress } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import { searchKey } from './candidates';
import type { PlacementPass } from './pass';
import {
  claimOn,
  effectsOf,
  foresightOf,
  isSpent,
  loadsOfService,
  siblingCounter,
  spend,
} from './pass';
import { FILL_WORK } from './passbudget';

/** A search of workers for the tasks of one stage. */
export interface StageSearch {
  readonly pass: PlacementPass;
  /** Tasks that have found no worker. */
  readonly left: readonly string[];
}

/** A search that may have ended before all tasks had their turn, because the work of the pass was done. */
interface CutSearch extends StageSearch {
  readonly isCut: boolean;
}

interface OpenSearch extends CutSearch {
  readonly candidates: readonly Candidate[];
}

/**
 * Claims workers for tasks of a stage, the best ones of those given. The tasks have equal needs: each
 * worker is ranked once, and again after it got a task; when one task finds none, the next finds none
 * either.
 */
export function placeOn(
  pass: PlacementPass,
  { jobId, ready }: StageCandidate,
  slots: readonly string[],
  loads: readonly WorkerLoad[],
  nowMs: number,
): CutSearch {
  const open = pass.state.jobs.get(jobId);
  if (open === undefined) return { pass, left: slots, isCut: false };
  const { stage } = ready;
  const effects = effectsOf(pass);
  const foresight = foresightOf(pass, open, stage);
  const constraints = { siblingCount: siblingCounter(pass, open, ready), foresight };
  const first: OpenSearch = {
    pass: spend(pass, loads.length * (stage.fillsIdle ? FILL_WORK : 1)),
    left: [],
    isCut: false,
    candidates: findCandidates(stage, loads, effects, constraints),
  };
  return slots.reduce((current, slot, index): OpenSearch => {
    if (current.left.length > 0 || current.isCut) return current;
    if (index > 0 && isSpent(current.pass, 'others')) return { ...current, isCut: true };
    const known = current.pass.state.jobs.get(jobId) ?? open;
    const { attempt, failedOn } = taskProgress(known.progress, slot);
    const best = bestCandidate(current.candidates, failedOn);
    if (best === undefined) return { ...current, left: slots.slice(index) };
    const task = { open: known, ready, slot, attempt: attempt + 1 };
    const placed = claimOn(current.pass, best.load, task, false, nowMs);
    const after = placed.state.jobs.get(jobId) ?? known;
    const load = placed.loads.get(best.load.workerKey);
    if (load === undefined) {
      const candidates = current.candidates.filter((other) => other !== best);
      return { ...current, pass: placed, candidates };
    }
    const siblingCount = siblingCounter(placed, after, ready);
    return {
      ...current,
      pass: placed,
      candidates: updateCandidate(current.candidates, stage, load, effects, {
        siblingCount,
        foresight,
      }),
    };
  }, first);
}

/** Time after which a stage that found no worker looks at all of them again. */
const FULL_SEARCH_MS = 500;

/** Workers to look at for a stage, and whether these are all of its service. */
export interface SearchScope {
  readonly loads: readonly WorkerLoad[];
  readonly isFull: boolean;
}

/**
 * Returns the workers to look at for a stage. A filling stage that found none looks only at those whose
 * load has changed since, and at all of them from time to time: what it may harm is learned meanwhile.
 */
export function searchScope(
  pass: PlacementPass,
  candidate: StageCandidate,
  nowMs: number,
): SearchScope {
  const { state } = pass;
  const open = state.jobs.get(candidate.jobId);
  if (open === undefined) return { loads: [], isFull: true };
  const loads = loadsOfService(pass, open);
  const failed = state.failedSearches.get(searchKey(candidate));
  const isFull = failed === undefined || nowMs - failed.fullAtMs >= FULL_SEARCH_MS;
  if (isFull || !candidate.ready.stage.fillsIdle) return { loads, isFull: true };
  const hasChanged = ({ workerKey }: WorkerLoad): boolean =>
    (state.loads.get(workerKey)?.sincePass ?? 0) > failed.passNumber;
  return { loads: loads.filter(hasChanged), isFull: false };
}
