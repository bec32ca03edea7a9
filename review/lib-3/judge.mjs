// Judges the rule LOST by what clients and workers have seen, and writes the record of a run.
import { writeFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { clientCall } from './site.mjs';

/** Time after the end of the traffic at which jobs are asked for (`finish_s`). */
export const FINISH_MS = 14_000;

/** Time for which a job may have nothing running. */
const IDLE_MS = 3_000;
const SAMPLE_MS = 100;

/** Returns what the workers have run, from the notes of a site. */
export function runsOf(notes) {
  const runs = new Map();
  const keyOf = ({ worker, born, task, attempt }) => `${worker}@${born}#${task}#${attempt}`;
  notes.forEach((note) => {
    if (note.what === 'start') {
      runs.set(keyOf(note), { ...note, fromMs: note.atMs, untilMs: Infinity, how: 'running' });
    }
    const run = note.what === 'end' ? runs.get(keyOf(note)) : undefined;
    if (run !== undefined) {
      run.untilMs = note.atMs;
      run.how = note.how;
    }
    if (note.what === 'crash') {
      [...runs.values()]
        .filter(
          ({ worker, born, how }) =>
            worker === note.worker && born === note.born && how === 'running',
        )
        .forEach((lost) => {
          runs.set(keyOf(lost), { ...lost, untilMs: note.atMs, how: 'crashed' });
        });
    }
  });
  return [...runs.values()];
}

/** Returns the tasks of a job whose turn has come and that are not done, or undefined if all are done. */
function openTasks(job, isDone, wallMs) {
  const { phases, repeats = 0, firstMs = 0, periodMs = 0 } = job.body;
  const occurrences = Array.from({ length: Math.max(1, repeats) }, (_, index) => index);
  const isStepDone = (k, step) => {
    const names = Array.from(
      { length: phases[step].count },
      (_, index) => `${job.id}.${k}.${step}.${index}`,
    );
    return phases[step].gang === true ? names.some(isDone) : names.every(isDone);
  };
  const left = occurrences.flatMap((k) =>
    phases.flatMap((phase, step) => (isStepDone(k, step) ? [] : [{ k, step, phase }])),
  );
  if (left.length === 0) return undefined;
  return left
    .filter(
      ({ k, phase }) =>
        wallMs >= firstMs + k * periodMs &&
        (phase.dependsOn ?? []).every((earlier) => isStepDone(k, earlier)),
    )
    .flatMap(({ k, step, phase }) =>
      Array.from({ length: phase.count }, (_, index) => ({
        name: `${job.id}.${k}.${step}.${index}`,
        phase,
      })).filter(({ name }) => !isDone(name)),
    );
}

/**
 * Watches accepted jobs, from `FINISH_MS` after the end of the traffic on. Returns a line for each job that had
 * nothing running for `IDLE_MS` while the turn of a task had come, there was capacity for its tasks twice over,
 * and under half of the capacity of the service was in use.
 */
export async function watchLost(site, notes, jobs, forMs) {
  const idleSince = new Map();
  const broken = new Map();
  const endMs = site.nowMs() + forMs;
  while (site.nowMs() < endMs) {
    const runs = runsOf(notes);
    const done = new Set(runs.filter(({ how }) => how === 'done').map(({ task }) => task));
    const running = runs.filter(({ how }) => how === 'running');
    const rooms = site.workers.filter(({ isUp }) => isUp).map(({ room }) => room.cpu);
    const cpu = rooms.reduce((sum, room) => sum + room, 0);
    const used = running.reduce((sum, { task }) => sum + site.cpuOf(task), 0);
    jobs.forEach((job) => {
      const tasks = openTasks(job, (name) => done.has(name), Date.now()) ?? [];
      const needed = tasks.reduce((sum, { phase }) => sum + phase.cpu, 0);
      const isIdle =
        tasks.length > 0 &&
        !running.some(({ task }) => task.startsWith(job.id)) &&
        cpu - used >= 2 * needed &&
        used < cpu / 2;
      if (!isIdle) idleSince.delete(job.id);
      else if (!idleSince.has(job.id)) idleSince.set(job.id, site.nowMs());
      const idleMs = site.nowMs() - (idleSince.get(job.id) ?? site.nowMs());
      if (idleMs >= IDLE_MS) {
        const text = `LOST ${job.name} ${job.id}: nothing running for ${idleMs} ms until ${site.nowMs()} ms, ${tasks.length} tasks wait, ${used} of ${cpu} in use`;
        broken.set(job.id, text);
      }
    });
    // eslint-disable-next-line no-await-in-loop -- looks again and again
    await sleep(SAMPLE_MS);
  }
  return [...broken.values()];
}

/** Submits a job and returns it; `isAccepted` tells whether it was accepted. */
export async function submit(site, name, path, id, body, options = {}) {
  const answer = await clientCall(site, 'POST', `${path}${id}`, body, options);
  return { name, id, path, body, isAccepted: answer?.status === 200, atMs: site.nowMs() };
}

/** Asks for jobs, and returns what each is shown as. */
export async function ask(site, jobs, options = {}) {
  return Promise.all(
    jobs.map(async ({ name, id, path }) => {
      const answer = await clientCall(site, 'GET', `${path}${id}`, undefined, options);
      return `${name} ${id}: ${answer === undefined ? 'no answer' : `${answer.status} ${JSON.stringify(answer.body)}`}`;
    }),
  );
}

/** Writes what was sent, answered and run, and the findings. */
export async function writeRecord(file, { title, notes, findings, facts }) {
  const lines = notes.map(({ atMs, what, ...rest }) => {
    const { spec, born, ...shown } = rest;
    return `${String(atMs).padStart(7)} ${what} ${JSON.stringify(shown)}`;
  });
  const text = [
    title,
    '',
    ...facts,
    '',
    'found:',
    ...(findings.length === 0 ? ['nothing'] : findings),
    '',
    ...lines,
    '',
  ];
  await writeFile(file, text.join('\n'));
}
