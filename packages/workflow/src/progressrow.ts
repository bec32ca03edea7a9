import { z } from 'zod';
import { acceptValue, listOf, recordOf } from '@bronzeyoke/decoding';
import type { JobProgress } from './job';
import type { RunPhase, TaskProgress } from './run';

/** Phases of tasks by their position in a row value. */
const PHASES = ['waiting', 'claimed', 'running', 'stopping', 'done'] as const;

/** Returns the position of a phase in a row value. */
function phaseIndex(phase: RunPhase): number {
  return PHASES.indexOf(phase);
}

/** Worker of a run, and its address if the claim has stored it. */
const workerSchema = z.tuple([z.string()], z.string());

/** Index of a task, phase, attempt, failures, position of the worker, checkpoint, where it failed. */
const taskSchema = z.tuple(
  [
    z.int(),
    z
      .int()
      .min(0)
      .max(PHASES.length - 1),
    z.int(),
    z.int(),
    z.int(),
  ],
  z.string(),
);

const countSchema = z.int().nonnegative();

/** Index of a task, its prompt, slow and lone crashes, last attempt, longest age, last address. */
const crashesSchema = z.tuple([
  z.int(),
  countSchema,
  countSchema,
  countSchema,
  countSchema,
  z.number().nonnegative(),
  z.string(),
]);

/** Ranges of indexes of tasks that are done, and the other tasks that were claimed. */
const stageSchema = z.object({
  done: listOf(z.tuple([z.int().nonnegative(), z.int().nonnegative()])),
  tasks: listOf(taskSchema),
  /** Of the tasks that may have crashed workers; absent if there are none. */
  crashes: listOf(crashesSchema).optional(),
});

const outcomeFields = {
  outcome: z.enum(['complete', 'failed', 'cancelled']).optional(),
  failure: z.enum(['attemptsUsed', 'workersCrashed']).optional(),
  endedAtMs: z.number().optional(),
};

const compactSchema = z.object({
  workers: listOf(workerSchema),
  /** Stages by occurrence and index, as in the slots of their tasks. */
  stages: recordOf(stageSchema),
  ...outcomeFields,
});

/** Rows of builds that stored each task under its slot. */
const plainSchema = z.object({
  tasks: recordOf(
    z.object({
      phase: z.enum(PHASES),
      attempt: z.int(),
      failures: z.int(),
      workerKey: z.string().optional(),
      workerAddress: z.string().optional(),
      checkpoint: z.string().optional(),
      failedOn: z.string().optional(),
    }),
  ),
  ...outcomeFields,
});

type CompactTask = z.infer<typeof taskSchema>;
type CompactCrashes = z.infer<typeof crashesSchema>;

/** First and last index of tasks that are done. */
type Range = readonly [first: number, last: number];

interface CompactStage {
  readonly done: readonly Range[];
  readonly tasks: readonly CompactTask[];
  readonly crashes?: readonly CompactCrashes[] | undefined;
}

type StoredWorker = readonly [workerKey: string, workerAddress?: string, ...rest: string[]];

interface CompactRow {
  readonly workers: readonly StoredWorker[];
  readonly stages: Readonly<Record<string, CompactStage>>;
}

/** Most done tasks of a stage; a row that names more was not written by this program. */
const MAX_DONE_TASKS = 100_000;

/** Position of the worker of a task without one. */
const NO_WORKER = -1;

function splitSlot(slot: string): { readonly stage: string; readonly index: number } {
  const dot = slot.lastIndexOf('.');
  return { stage: slot.slice(0, dot), index: Number(slot.slice(dot + 1)) };
}

function workerName({ workerKey = '', workerAddress = '' }: TaskProgress): string {
  return `${workerKey} ${workerAddress}`;
}

/** Joins ascending indexes to ranges. */
function rangesOf(indexes: readonly number[]): readonly Range[] {
  const starts = indexes.filter((index, position) => indexes[position - 1] !== index - 1);
  const ends = indexes.filter((index, position) => indexes[position + 1] !== index + 1);
  return starts.map((first, position) => [first, ends[position] ?? first]);
}

function encodeTask(index: number, task: TaskProgress, worker: number): CompactTask {
  const { phase, attempt, failures, checkpoint = '', failedOn = '' } = task;
  const texts = [checkpoint, failedOn];
  const usedTexts = texts.slice(0, 1 + texts.findLastIndex((text) => text !== ''));
  return [index, phaseIndex(phase), attempt, failures, worker, ...usedTexts];
}

function encodeCrashes(index: number, { crashes }: TaskProgress): readonly CompactCrashes[] {
  if (crashes === undefined) return [];
  const { prompt, slow, alone, attempt, longestAgeMs, address } = crashes;
  return [[index, prompt, slow, alone, attempt, longestAgeMs, address]];
}

/** Groups the tasks of a job by stage. */
function tasksByStage(
  tasks: JobProgress['tasks'],
): Map<string, readonly (readonly [index: number, task: TaskProgress])[]> {
  const stages = new Map<string, [number, TaskProgress][]>();
  tasks.forEach((task, slot) => {
    const { stage, index } = splitSlot(slot);
    const known = stages.get(stage);
    if (known === undefined) stages.set(stage, [[index, task]]);
    else known.push([index, task]);
  });
  return stages;
}

/** Returns the workers of the tasks that are not done, by name. */
function workersOf(tasks: JobProgress['tasks']): ReadonlyMap<string, StoredWorker> {
  const workers = new Map<string, StoredWorker>();
  tasks.forEach((task) => {
    const { phase, workerKey, workerAddress } = task;
    if (phase === 'done' || workerKey === undefined) return;
    const stored: StoredWorker =
      workerAddress === undefined ? [workerKey] : [workerKey, workerAddress];
    workers.set(workerName(task), stored);
  });
  return workers;
}

function encodeTasks(tasks: JobProgress['tasks']): CompactRow {
  const workers = workersOf(tasks);
  const positions = new Map([...workers.keys()].map((name, position) => [name, position]));
  const positionOf = (task: TaskProgress): number =>
    task.workerKey === undefined ? NO_WORKER : (positions.get(workerName(task)) ?? NO_WORKER);
  const stages = [...tasksByStage(tasks)].map(([name, entries]): [string, CompactStage] => {
    const done = entries.flatMap(([index, { phase }]) => (phase === 'done' ? [index] : []));
    const others = entries.filter(([, { phase }]) => phase !== 'done');
    const crashes = others.flatMap(([index, task]) => encodeCrashes(index, task));
    return [
      name,
      {
        done: rangesOf(done.toSorted((left, right) => left - right)),
        tasks: others.map(([index, task]) => encodeTask(index, task, positionOf(task))),
        ...(crashes.length === 0 ? {} : { crashes }),
      },
    ];
  });
  return { workers: [...workers.values()], stages: Object.fromEntries(stages) };
}

/**
 * Returns the row value of a job's progress. Tasks are left out once the job has an outcome, and of a
 * done task only its index is kept, so that the row of a wide stage stays small while its tasks end.
 */
export function encodeProgress({ outcome, failure, endedAtMs, tasks }: JobProgress): unknown {
  if (outcome === undefined) return encodeTasks(tasks);
  const ended = { workers: [], stages: {}, outcome, endedAtMs };
  return failure === undefined ? ended : { ...ended, failure };
}

/** Bytes of a row value, and of each task in it, in the encoding of the store. */
const ROW_BYTES = 100;
const DONE_TASK_BYTES = 2;
const TASK_BYTES = 110;

/** Estimates the size of the row value of a job's progress. */
export function progressBytes({ outcome, tasks }: JobProgress): number {
  if (outcome !== undefined) return ROW_BYTES;
  return [...tasks.values()].reduce(
    (sum, { phase }) => sum + (phase === 'done' ? DONE_TASK_BYTES : TASK_BYTES),
    ROW_BYTES,
  );
}

function decodeCrashes(stored: CompactCrashes | undefined): Pick<TaskProgress, 'crashes'> {
  if (stored === undefined) return {};
  const [, prompt, slow, alone, attempt, longestAgeMs, address] = stored;
  return { crashes: { prompt, slow, alone, attempt, longestAgeMs, address } };
}

function decodeTask(
  [index, phase, attempt, failures, worker, checkpoint = '', failedOn = '']: CompactTask,
  stage: string,
  workers: CompactRow['workers'],
  crashes: CompactStage['crashes'] = [],
): readonly [string, TaskProgress] {
  const [workerKey, workerAddress] = workers[worker] ?? [];
  const progress: TaskProgress = {
    phase: PHASES[phase] ?? 'waiting',
    attempt,
    failures,
    ...(workerKey === undefined ? {} : { workerKey }),
    ...(workerAddress === undefined ? {} : { workerAddress }),
    ...(checkpoint === '' ? {} : { checkpoint }),
    ...(failedOn === '' ? {} : { failedOn }),
    ...decodeCrashes(crashes.find(([task]) => task === index)),
  };
  return [`${stage}.${index}`, progress];
}

const DONE_TASK: TaskProgress = { phase: 'done', attempt: 1, failures: 0 };

function decodeStage(
  name: string,
  { done, tasks, crashes }: CompactStage,
  workers: CompactRow['workers'],
): readonly (readonly [string, TaskProgress])[] {
  const doneTasks = done.flatMap(([first, last]) =>
    Array.from(
      { length: last - first + 1 },
      (_, offset) => [`${name}.${first + offset}`, DONE_TASK] as const,
    ),
  );
  return [...doneTasks, ...tasks.map((task) => decodeTask(task, name, workers, crashes))];
}

function isPlausible({ workers, stages }: CompactRow): boolean {
  return Object.values(stages).every(
    ({ done, tasks }) =>
      done.every(([first, last]) => last >= first) &&
      done.reduce((sum, [first, last]) => sum + last - first + 1, 0) <= MAX_DONE_TASKS &&
      tasks.every(([, , , , worker]) => worker >= NO_WORKER && worker < workers.length),
  );
}

/** Decodes stored progress; undefined when it is malformed. */
export function decodeProgress(value: unknown): JobProgress | undefined {
  const compact = acceptValue(compactSchema, value);
  if (compact !== undefined) {
    const { workers, stages, ...rest } = compact;
    if (!isPlausible(compact)) return undefined;
    const tasks = Object.entries(stages).flatMap(([name, stage]) =>
      decodeStage(name, stage, workers),
    );
    return { ...rest, tasks: new Map(tasks) } as JobProgress;
  }
  const plain = acceptValue(plainSchema, value);
  if (plain === undefined) return undefined;
  const { tasks, ...rest } = plain;
  return {
    ...rest,
    tasks: new Map(Object.entries(tasks) as [string, TaskProgress][]),
  } as JobProgress;
}
