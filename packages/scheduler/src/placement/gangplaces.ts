import { giveUp, keepKnownPlace, keepNewPlace, settleWait } from './keptplace';
import { giveUpMoves, isMoveDue, movePlace, spendOnMoves } from './movedplace';
import type { PlacementPass } from './pass';
import { isBackingOff, placeGang } from './pass';
import type { WaitingTask } from './waits';

/** Places all members of a gang, or keeps a place for each of them. */
export function placeUnitGang(
  pass: PlacementPass,
  members: readonly WaitingTask[],
  nowMs: number,
): PlacementPass {
  const [first] = members;
  if (first === undefined) return pass;
  const mustWait = members.some(({ task }) => isBackingOff(pass, task, nowMs));
  const placed = mustWait ? pass : placeGang(pass, first.candidate, nowMs);
  if (placed !== pass) {
    return members.reduce((current, member) => settleWait(current, member, 'claim'), placed);
  }
  // Nothing is stopped for a gang while some of its members still run elsewhere.
  const { stage } = first.candidate.ready;
  const mayClear = !mustWait && members.length === stage.taskCount;
  const kept = members.reduce<PlacementPass | undefined>(
    (current, member) =>
      current === undefined
        ? undefined
        : (keepKnownPlace(current, member, mayClear, nowMs) ??
          keepNewPlace(current, member, mayClear, nowMs) ??
          movePlace(current, member, nowMs)),
    pass,
  );
  if (kept !== undefined) return kept;
  // The first member without a place ends the search.
  const sought = members.some((member) => isMoveDue(member, nowMs)) ? spendOnMoves(pass) : pass;
  return members.reduce(
    (current, member) =>
      isMoveDue(member, nowMs) ? giveUpMoves(current, member, nowMs) : giveUp(current, member),
    sought,
  );
}
