import { performance } from 'node:perf_hooks';
import type { WorkflowJob } from '@bronzeyoke/workflow';
import { taskBytes } from './bytes';
import { measureStream } from './stream';
import type { Leader, StoredState } from './fleet';
import {
  apply,
  commitAll,
  createLoading,
  coreStage,
  join,
  loadState,
  priorityJob,
  reportOf,
  submit,
  tick,
} from './fleet';

// Prints what one event costs the leader's core at several fleet sizes, in ms and as a ratio to the
// size before. The core runs in virtual time; encoding and sockets are not part of it. With `--bytes`,
// prints what one task of a job costs on the leader's link instead. With `--stream`, prints what a task
// costs the core from claim to end under a steady stream of jobs; `tick` and the passes above leave out
// what is put off to later events.

const FLEET_SIZES = [11, 70, 160, 630];
const REPEATS = 15;

/** Fleets that get a stream of jobs. */
const STREAM_SIZES = [70, 160, 630];

/** Tasks of a job whose bytes are counted. */
const JOB_SIZES = [1, 39, 200];

/** A watch job has 24 tasks of 7 cores; so many of them take about 65% of a fleet's cores. */
const WATCH_TASKS = 24;
const WATCH_CORES = 7;
const WATCHED_SHARE = 0.65;
const WORKER_CORES = 64;

/** One waiting stage of wide batch tasks for each so many workers. */
const WORKERS_PER_BATCH_JOB = 4;
const BATCH_TASKS = 39;
const BATCH_CORES = 7;

function watchJobs(workers: number): readonly WorkflowJob[] {
  const count = Math.round((workers * WORKER_CORES * WATCHED_SHARE) / (WATCH_TASKS * WATCH_CORES));
  return Array.from({ length: count }, (_, index) =>
    priorityJob(
      `watch${index}`,
      coreStage(WATCH_TASKS, WATCH_CORES, {
        isLasting: true,
        image: `serving${index % 5}`,
        latencyTargetMs: 400,
      }),
    ),
  );
}

function batchJobs(workers: number): readonly WorkflowJob[] {
  return Array.from({ length: Math.floor(workers / WORKERS_PER_BATCH_JOB) }, (_, index) =>
    priorityJob(
      `batch${index}`,
      coreStage(BATCH_TASKS, BATCH_CORES + (index % 3), {
        fillsIdle: true,
        image: `filling${index % 7}`,
        savesCheckpoints: true,
      }),
      2,
    ),
  );
}

function medianMs(samples: readonly number[]): number {
  return samples.toSorted((left, right) => left - right)[Math.floor(samples.length / 2)] ?? 0;
}

/** Measures a step of some leaders, one after the other. */
function timed(leaders: readonly Leader[], step: (leader: Leader) => Leader): number {
  return medianMs(
    leaders.map((leader) => {
      const startMs = performance.now();
      step(leader);
      return performance.now() - startMs;
    }),
  );
}

function repeat(leader: Leader): readonly Leader[] {
  return Array.from({ length: REPEATS }, () => leader);
}

/** Lets all workers list their runs. */
function listAll(leader: Leader, workers: number, load: number): Leader {
  return Array.from({ length: workers }, (_, index) => index).reduce(
    (current, index) => commitAll(apply(current, reportOf(current, index, load))),
    leader,
  );
}

function storedState(leader: Leader): StoredState {
  const rows = [...leader.stored].map(([name, { table, value }]) => ({
    table,
    key: name.slice(table.length + 1),
    value,
  }));
  const jobs = leader.state.jobs
    .valueSeq()
    .map(({ job }) => ({ key: `${job.jobId}/job`, value: job }))
    .toArray();
  return { progress: rows.filter(({ table }) => table === 'progress'), jobs };
}

/** Cost of each event at one fleet size, in ms. */
function measure(workers: number): Readonly<Record<string, number>> {
  const empty = join(loadState(createLoading(), { progress: [], jobs: [] }), workers);
  const watched = listAll(commitAll(submit(empty, watchJobs(workers))), workers, 100);
  const allNew = timed(repeat(tick(watched, 50)), (leader) => submit(leader, batchJobs(workers)));
  const filled = commitAll(submit(watched, batchJobs(workers)));
  const full = listAll(listAll(filled, workers, 120), workers, 130);
  const later = commitAll(tick(full, 100));
  const quick = [priorityJob('quick', coreStage(1, 1, {}))];
  const reports = Array.from({ length: REPEATS }, (_, index) => index % workers);
  return {
    'pass, little new': timed(repeat(later), (leader) => submit(leader, quick)),
    'pass, all new': allNew,
    report: medianMs(
      reports.map((index) => {
        const event = reportOf(later, index, 140);
        const startMs = performance.now();
        apply({ ...later, nowMs: later.nowMs + 1 }, event);
        return performance.now() - startMs;
      }),
    ),
    tick: timed(repeat(later), (leader) => tick(leader, 50)),
    'take-over': timed(repeat(createLoading()), (leader) => loadState(leader, storedState(full))),
  };
}

function printCosts(): void {
  const results = FLEET_SIZES.map((workers) => ({ workers, costs: measure(workers) }));
  const names = Object.keys(results[0]?.costs ?? {});
  const sizes = FLEET_SIZES.map((size) => `${size}`.padStart(16)).join('');
  process.stdout.write(`${'event'.padEnd(18)}${sizes}\n`);
  names.forEach((name) => {
    const cells = results.map(({ costs }, index) => {
      const ms = costs[name] ?? 0;
      const before = results[index - 1]?.costs[name];
      const ratio = before === undefined ? '' : ` (x${(ms / before).toFixed(1)})`;
      return `${ms.toFixed(2)}${ratio}`.padStart(16);
    });
    process.stdout.write(`${name.padEnd(18)}${cells.join('')}\n`);
  });
}

function printBytes(): void {
  JOB_SIZES.forEach((taskCount) => {
    taskBytes(taskCount).forEach(({ name, sent, inFull }) => {
      const ratio = `x${(sent / inFull).toFixed(2)}`;
      const figures = `${sent.toFixed(0)} bytes a task, in full ${inFull.toFixed(0)} (${ratio})`;
      process.stdout.write(`${taskCount} tasks, ${name}: ${figures}\n`);
    });
  });
}

function printStream(): void {
  const costs = STREAM_SIZES.map((workers) => ({ workers, ...measureStream(workers) }));
  costs.forEach(({ workers, starts, passes, ms, msByKind }) => {
    const byKind = [...msByKind]
      .toSorted(([, left], [, right]) => right - left)
      .map(([kind, spentMs]) => `${kind} ${(spentMs / starts).toFixed(2)}`);
    process.stdout.write(
      `${workers} workers: ${(ms / starts).toFixed(2)} ms a task, ${starts} starts, ${passes} passes; ` +
        `${byKind.join(', ')}\n`,
    );
  });
}

if (process.argv.includes('--bytes')) printBytes();
else if (process.argv.includes('--stream')) printStream();
else printCosts();
