import type { WorkerLoad } from '@bronzeyoke/placement';
import type { Resources } from '@bronzeyoke/types';
import { addResources, fitsIn, memoize, NO_RESOURCES, subtractResources } from '@bronzeyoke/types';
import { parseTaskName, stageSlots } from '@bronzeyoke/workflow';
import type { PlacementPass } from './pass';
import { chooseWorkerFor } from './pass';
import type { PlannedMove } from './placewait';
import type { PlacedSlot } from './reserve';
import {
  clearVacancy,
  createAllowance,
  findVacancy,
  isEnding,
  keptVacancy,
  lastingRoom,
  reserveRoom,
} from './reserve';
import { runsOn } from '../runs';
import type { RunView } from '../views';

/** A lasting run that may be moved to another worker. */
interface MovableRun {
  readonly task: string;
  readonly run: RunView;
  readonly placed: PlacedSlot;
}

function isAtWork(pass: PlacementPass, task: string): boolean {
  const run = pass.state.runs.byTask.get(task);
  if (run === undefined || isEnding(pass, task)) return false;
  const isConnected = pass.state.workers.get(run.workerKey)?.linkId !== undefined;
  return isConnected && run.isListed && run.percent === 100;
}

/** Returns how many tasks of a run's stage are not at work, the run itself left out. */
function countAway(pass: PlacementPass, task: string, { stage, jobId }: RunView): number {
  const ref = parseTaskName(task);
  if (ref === undefined) return Infinity;
  return stageSlots(stage, ref.occurrence, ref.stageIndex)
    .map((slot) => `${jobId}.${slot}`)
    .filter((other) => other !== task && !isAtWork(pass, other)).length;
}

/** Returns whether so few other tasks of a run's stage are away that one more may be. */
function mayBeAway(pass: PlacementPass, task: string, run: RunView): boolean {
  return countAway(pass, task, run) < (run.stage.maxUnavailable ?? 0);
}

/** A worker with its room beside its lasting tasks. */
interface RoomyLoad {
  readonly load: WorkerLoad;
  readonly room: Resources;
}

/** Returns the workers that have room for a run, or will have it once their short runs have ended. */
function placesFor(
  pass: PlacementPass,
  slot: PlacedSlot,
  byRoom: readonly RoomyLoad[],
): readonly string[] {
  const { needs } = slot.ready.stage;
  const end = byRoom.findIndex(({ room }) => room.processorsMilli < needs.processorsMilli);
  const isAllowed = createAllowance(pass, slot);
  return (end === -1 ? byRoom : byRoom.slice(0, end)).flatMap(({ load, room }) =>
    fitsIn(needs, room) && isAllowed(load) ? [load.workerKey] : [],
  );
}

/** What a search for moves knows about the runs of one stage. */
interface StageOutlook {
  /** Whether one of its tasks that are at work may be away. */
  readonly mayBeAway: boolean;
  /** Workers with a place. */
  readonly places: readonly string[];
}

type StageOutlooks = (movable: MovableRun) => StageOutlook;

/**
 * Returns the outlooks of stages in one search for moves. The runs of a stage have the same one, and
 * each stage looks at the whole fleet once, not for each of its runs.
 */
function createOutlooks(pass: PlacementPass, rooms: readonly RoomyLoad[]): StageOutlooks {
  const byRoom = rooms.toSorted(
    (left, right) => right.room.processorsMilli - left.room.processorsMilli,
  );
  return memoize(
    ({ run, placed }) => `${run.jobId}.${placed.ready.occurrence}.${placed.ready.stageIndex}`,
    ({ task, run, placed }) => {
      const isAllowed = mayBeAway(pass, task, run);
      return { mayBeAway: isAllowed, places: isAllowed ? placesFor(pass, placed, byRoom) : [] };
    },
  );
}

/** Returns whether a run is one that a move may stop, as far as its stage and its state tell. */
function isMovableKind(pass: PlacementPass, task: string, { stage }: RunView): boolean {
  return (
    stage.isLasting && !stage.isGang && (stage.maxUnavailable ?? 0) > 0 && isAtWork(pass, task)
  );
}

function movableRuns(
  pass: PlacementPass,
  workerKey: string,
  missing: Resources,
  outlookOf: StageOutlooks,
): readonly MovableRun[] {
  const { runs, jobs } = pass.state;
  const movable = [...runsOn(runs, workerKey)].filter(([task, run]) =>
    isMovableKind(pass, task, run),
  );
  const needed = movable.reduce((sum, [, run]) => addResources(sum, run.stage.needs), NO_RESOURCES);
  if (!fitsIn(missing, needed)) return [];
  return movable.flatMap(([task, run]): readonly MovableRun[] => {
    const { stage, jobId, slot } = run;
    const open = jobs.get(jobId);
    const ref = parseTaskName(task);
    if (open === undefined || ref === undefined) return [];
    const { occurrence, stageIndex } = ref;
    const ready = { occurrence, stageIndex, stage, slots: [slot] };
    const placed = { open, ready, slot, priority: open.job.policy.priority };
    const found = { task, run, placed };
    const outlook = outlookOf(found);
    const hasOtherPlace = outlook.places.some((other) => other !== workerKey);
    return outlook.mayBeAway && hasOtherPlace ? [found] : [];
  });
}

/** Picks the smallest run that makes the room, or else the largest ones; undefined if all do not. */
function pickRuns(
  ascending: readonly MovableRun[],
  missing: Resources,
): readonly MovableRun[] | undefined {
  const single = ascending.find(({ run }) => fitsIn(missing, run.stage.needs));
  if (single !== undefined) return [single];
  const largest = ascending.at(-1);
  if (largest === undefined) return undefined;
  const rest = subtractResources(missing, largest.run.stage.needs);
  const others = pickRuns(ascending.slice(0, -1), rest);
  return others === undefined ? undefined : [largest, ...others];
}

/** A pass in which runs have a place to move to. They are stopped once all of them have room there. */
interface MovePlan {
  readonly pass: PlacementPass;
  readonly moves: readonly PlannedMove[];
  readonly isReady: boolean;
}

/** A pass that makes room by moves, with the moves that it starts or prepares. */
type RoomByMoves = Pick<MovePlan, 'pass' | 'moves'>;

/** A search for a plan: what waits, for which worker, and what an earlier pass has planned. */
interface MoveSearch {
  readonly task: string;
  readonly target: PlacedSlot;
  readonly plannedKey: string | undefined;
  readonly planned: readonly PlannedMove[];
  /** Whether runs that keep a moved task from its new place are stopped. */
  readonly isOverdue: boolean;
}

/** Keeps a place for a run on another worker; undefined if there is none. */
function planMove(
  plan: MovePlan,
  { task, placed }: MovableRun,
  fromKey: string,
  { planned, isOverdue }: MoveSearch,
): MovePlan | undefined {
  const { open, ready, slot } = placed;
  const { stage } = ready;
  const others = { ...plan.pass, loads: plan.pass.loads.delete(fromKey) };
  const free = chooseWorkerFor(others, open, ready, slot, others.loads, false);
  if (free !== undefined) {
    const pass = reserveRoom(plan.pass, task, free, stage);
    return { ...plan, pass, moves: [...plan.moves, { task, workerKey: free.workerKey }] };
  }
  const preferredKey = planned.find((move) => move.task === task)?.workerKey;
  const vacancy =
    keptVacancy(others, placed, preferredKey) ?? findVacancy(others, placed, undefined);
  if (vacancy === undefined) return undefined;
  const cleared = isOverdue ? clearVacancy(plan.pass, vacancy, stage.needs, 'all') : plan.pass;
  const { load } = vacancy;
  return {
    pass: reserveRoom(cleared, task, load, stage),
    moves: [...plan.moves, { task, workerKey: load.workerKey }],
    isReady: false,
  };
}

/** Adds the stops of the moved runs to the pass. */
function withStops({ pass, moves }: MovePlan): PlacementPass {
  const stops = moves.reduce((known, { task }) => known.set(task, 'moved'), pass.stops);
  return { ...pass, stops };
}

/** Plans the moves of some runs; undefined if one of them may not be away, or has no other place. */
function planMoves(
  pass: PlacementPass,
  runs: readonly MovableRun[],
  fromKey: string,
  search: MoveSearch,
): MovePlan | undefined {
  return runs.reduce<MovePlan | undefined>(
    (plan, movable) => {
      if (plan === undefined) return undefined;
      const after = withStops(plan);
      return mayBeAway(after, movable.task, movable.run)
        ? planMove(plan, movable, fromKey, search)
        : undefined;
    },
    { pass, moves: [], isReady: true },
  );
}

/**
 * Makes room for a task on a worker by moving lasting tasks of other jobs to workers that have room
 * for them, as far as their stages allow tasks to be unavailable. Undefined if no move makes room.
 */
export function makeRoomByMoves(pass: PlacementPass, search: MoveSearch): RoomByMoves | undefined {
  const { task, target, plannedKey } = search;
  const { stage } = target.ready;
  const rooms = [...pass.loads.values()].map((load) => ({ load, room: lastingRoom(pass, load) }));
  const outlookOf = createOutlooks(pass, rooms);
  const isAllowed = createAllowance(pass, target);
  const shortages = rooms
    .filter(({ load }) => isAllowed(load))
    .map(({ load, room }) => ({ load, missing: subtractResources(stage.needs, room) }))
    .toSorted(
      (left, right) =>
        Number(right.load.workerKey === plannedKey) - Number(left.load.workerKey === plannedKey) ||
        left.missing.processorsMilli - right.missing.processorsMilli,
    );
  return shortages.reduce<RoomByMoves | undefined>((found, { load, missing }) => {
    if (found !== undefined) return found;
    const { workerKey } = load;
    const ascending = movableRuns(pass, workerKey, missing, outlookOf).toSorted(
      (left, right) => left.run.stage.needs.processorsMilli - right.run.stage.needs.processorsMilli,
    );
    const runs = pickRuns(ascending, missing);
    const plan = runs === undefined ? undefined : planMoves(pass, runs, workerKey, search);
    return plan === undefined
      ? undefined
      : {
          pass: reserveRoom(plan.isReady ? withStops(plan) : plan.pass, task, load, stage),
          moves: plan.moves,
        };
  }, undefined);
}
