// Judges the rule TWICE by what the workers have seen.
import { runsOf } from './judge.mjs';

function describe({ worker, born, attempt, fromMs, untilMs, how }) {
  return `attempt ${attempt} on ${worker} (born ${born}) from ${fromMs} to ${untilMs} ms, ${how}`;
}

/** Returns when each end was taken note of, by worker, birth, task and attempt. */
function notedAtMs(notes) {
  const keyOf = ({ worker, born, task, attempt }) => `${worker}@${born}#${task}#${attempt}`;
  const noted = new Map(
    notes.filter(({ what }) => what === 'noted').map((note) => [keyOf(note), note.atMs]),
  );
  return (run) => noted.get(keyOf(run));
}

/**
 * Returns the tasks that ran twice at the same time on workers that were up, and those that were started after
 * a run had ended as done whose end is taken note of, unless the lease of its worker lapsed between the two.
 */
export function findTwice(notes) {
  const byTask = new Map();
  runsOf(notes).forEach((run) => {
    byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
  });
  const noted = notedAtMs(notes);
  const hasLapsed = ({ worker, born, untilMs }, atMs) =>
    notes.some(
      (note) =>
        note.what === 'lapse' &&
        note.worker === worker &&
        note.born === born &&
        note.atMs >= untilMs &&
        note.atMs <= atMs,
    );
  return [...byTask].flatMap(([task, runs]) =>
    runs.flatMap((earlier) =>
      runs.flatMap((later) => {
        if (later === earlier || later.fromMs <= earlier.fromMs) return [];
        const both = `${describe(earlier)}; ${describe(later)}`;
        if (later.fromMs < earlier.untilMs) return [`TWICE ${task} ran twice at once: ${both}`];
        const atMs = noted(earlier);
        const counts = earlier.how === 'done' && atMs !== undefined && !hasLapsed(earlier, atMs);
        return counts
          ? [`TWICE ${task} started after it was done (noted at ${atMs} ms): ${both}`]
          : [];
      }),
    ),
  );
}
