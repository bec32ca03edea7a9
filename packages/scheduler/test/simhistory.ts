import type { LeaseLapse, RecordedRun, RepeatedTask } from '@bronzeyoke/runhistory';
import { findRepeatedTasks } from '@bronzeyoke/runhistory';
import type { RunRef } from '@bronzeyoke/wire';
import type { RunEnd } from '@bronzeyoke/workflow';
import type { Violation } from './siminvariants';

/** What happened to a run, in the order in which it usually does. */
export type RunStep =
  | { readonly kind: 'ordered' }
  /** `isOrderLate` says that the sender of the order had given up on the call. */
  | { readonly kind: 'started'; readonly isOrderLate: boolean }
  | { readonly kind: 'stopOrdered' }
  /** A run ends as `lost` with its worker, which lists no end. */
  | { readonly kind: 'ended'; readonly end: RunEnd | 'lost' }
  | { readonly kind: 'acknowledged' };

/** Learns of each step of a run on a worker, at the time at which it happened. */
export type RunObserver = (workerKey: string, run: RunRef, step: RunStep, atMs: number) => void;

/** The steps of all runs, with the time of each, and the leases that have ended. */
export interface RunHistory {
  readonly onStep: RunObserver;
  readonly onLapse: (lapse: LeaseLapse) => void;
  /** Returns a line for each run of a task that began: order, start, stop, end and acknowledgement. */
  readonly describe: (task: string) => readonly string[];
  /** Returns the starts of tasks after a success of them. Lasting tasks have none. */
  readonly repeats: () => readonly RepeatedTask[];
}

const STEPS: readonly RunStep['kind'][] = [
  'ordered',
  'started',
  'stopOrdered',
  'ended',
  'acknowledged',
];

interface TimedStep {
  readonly step: RunStep;
  readonly atMs: number;
}

interface RunEntry {
  readonly workerKey: string;
  readonly run: RunRef;
  /** The order that the worker carried out, which may name an earlier instance. */
  readonly ordered: string;
  /** First occurrence of each step. */
  readonly steps: ReadonlyMap<RunStep['kind'], TimedStep>;
}

function textOf({ step, atMs }: TimedStep, startMs: number): string {
  const seconds = ((atMs - startMs) / 1_000).toFixed(3);
  return step.kind === 'ended' ? `${seconds} (${step.end})` : seconds;
}

function lineOf({ workerKey, run, ordered, steps }: RunEntry, startMs: number): string {
  const parts = STEPS.map((kind) => {
    const known = steps.get(kind);
    if (kind === 'ordered') return `ordered ${ordered}`;
    return `${kind} ${known === undefined ? '-' : textOf(known, startMs)}`;
  });
  return `run ${run.attempt} of ${run.task} on ${workerKey}: ${parts.join(', ')}`;
}

/** Returns a run as its worker saw it, if it has begun there. */
function recordedRun({ workerKey, run, steps }: RunEntry): readonly RecordedRun[] {
  const started = steps.get('started');
  const ended = steps.get('ended');
  const notedAtMs = steps.get('acknowledged')?.atMs;
  if (started?.step.kind !== 'started') return [];
  return [
    {
      task: run.task,
      attempt: run.attempt,
      worker: workerKey,
      isOrderLate: started.step.isOrderLate,
      fromMs: started.atMs,
      untilMs: ended?.atMs ?? Infinity,
      end: ended?.step.kind === 'ended' ? ended.step.end : '',
      ...(notedAtMs === undefined ? {} : { notedAtMs }),
    },
  ];
}

/** Creates a history without runs, whose lines tell seconds since `startMs`. */
export function createRunHistory(startMs = 0): RunHistory {
  const entries = new Map<string, RunEntry>();
  const orders = new Map<string, string>();
  const lapses: LeaseLapse[] = [];
  return {
    onStep: (workerKey, run, step, atMs) => {
      const runKey = `${run.task}#${run.attempt}`;
      const key = `${workerKey} ${runKey}`;
      if (step.kind === 'ordered') {
        orders.set(runKey, `${textOf({ step, atMs }, startMs)} to ${workerKey}`);
        return;
      }
      const known = entries.get(key);
      const steps = known?.steps ?? new Map<RunStep['kind'], TimedStep>();
      if (steps.has(step.kind)) return;
      const ordered = known?.ordered ?? orders.get(runKey) ?? '-';
      const next = new Map([...steps, [step.kind, { step, atMs }] as const]);
      entries.set(key, { workerKey, run, ordered, steps: next });
    },
    onLapse: (lapse) => {
      lapses.push(lapse);
    },
    describe: (task) =>
      [...entries.values()]
        .filter(({ run }) => run.task === task)
        .map((entry) => lineOf(entry, startMs)),
    repeats: () => {
      const counted = [...entries.values()].filter(({ run }) => !run.task.startsWith('lasting'));
      return findRepeatedTasks(counted.flatMap(recordedRun), lapses);
    },
  };
}

/** A task does not start again after a success of it that counts. */
export function repeatViolations({ repeats, describe }: RunHistory): readonly Violation[] {
  const counted = repeats().filter(({ kind }) => kind === 'counted');
  const tasks = new Set(counted.map(({ later }) => later.task));
  return [...tasks].map((task) => ({ kind: 'repeatedTask', task, runs: describe(task) }));
}
