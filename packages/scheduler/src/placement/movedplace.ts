import { CLEAR_AFTER_MS, giveUp, MAX_DRAIN_MS, putWait, settleWait } from './keptplace';
import type { PlacementPass } from './pass';
import { spend } from './pass';
import { MOVES_WORK } from './passbudget';
import { startMove } from './placewait';
import { makeRoomByMoves } from './relocate';
import { reserveRoom, slotOf } from './reserve';
import type { WaitingTask } from './waits';

/** Time between two searches for moves. */
const MOVE_SEARCH_MS = 500;

/**
 * Returns whether moves are sought for a task. Nothing that runs makes way for one that has not run
 * yet.
 */
export function isMoveDue({ wait }: WaitingTask, nowMs: number): boolean {
  const { cause, sinceMs, movesSoughtAtMs = -Infinity, moves = [] } = wait;
  if (cause === 'starved' || nowMs - sinceMs < CLEAR_AFTER_MS) return false;
  return moves.length > 0 || nowMs - movesSoughtAtMs >= MOVE_SEARCH_MS;
}

/** Adds the work of a search for moves. */
export function spendOnMoves(pass: PlacementPass): PlacementPass {
  return spend(pass, pass.loads.size * MOVES_WORK);
}

/** Moves tasks of other jobs to make room for one that has waited; undefined if no move does. */
export function movePlace(
  pass: PlacementPass,
  waiting: WaitingTask,
  nowMs: number,
): PlacementPass | undefined {
  const { task, wait } = waiting;
  const { sinceMs, moves: planned = [], workerKey } = wait;
  const target = slotOf(pass, waiting);
  if (target === undefined || !isMoveDue(waiting, nowMs)) return undefined;
  const awayMs = nowMs - sinceMs;
  const isOverdue = awayMs > CLEAR_AFTER_MS + MAX_DRAIN_MS;
  const search = { task, target, plannedKey: workerKey, planned, isOverdue };
  const found = makeRoomByMoves(spendOnMoves(pass), search);
  if (found === undefined) return undefined;
  const settled = settleWait(found.pass, waiting, 'clear');
  const cleared = settled.state.waits.get(task) ?? wait;
  return putWait(settled, task, { ...cleared, moves: found.moves });
}

/** Gives up after moves were sought in vain. */
export function giveUpMoves(
  pass: PlacementPass,
  waiting: WaitingTask,
  nowMs: number,
): PlacementPass {
  return giveUp(pass, { ...waiting, wait: { ...waiting.wait, movesSoughtAtMs: nowMs } });
}

/** Keeps the room for tasks whose runs are being stopped in order to move them. */
export function reserveForMoves(pass: PlacementPass): PlacementPass {
  return pass.state.waits.reduce((current, { phase, workerKey = '' }, task) => {
    const load = current.loads.get(workerKey);
    const run = current.state.runs.byTask.get(task);
    return phase !== 'moving' || load === undefined || run === undefined
      ? current
      : reserveRoom(current, task, load, run.stage);
  }, pass);
}

/** Starts the waits of tasks that the pass moves. */
export function startMoves(pass: PlacementPass, nowMs: number): PlacementPass {
  return pass.stops
    .filter((reason) => reason === 'moved')
    .reduce((current, _, task) => {
      const workerKey = current.reservations.get(task);
      const wait = startMove(nowMs);
      return putWait(current, task, workerKey === undefined ? wait : { ...wait, workerKey });
    }, pass);
}
