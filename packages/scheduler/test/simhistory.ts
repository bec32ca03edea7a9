import type { RunRef } from '@bronzeyoke/wire';
import type { RunEnd } from '@bronzeyoke/workflow';

/** What happened to a run, in the order in which it usually does. */
export type RunStep =
  | { readonly kind: 'ordered' }
  | { readonly kind: 'started' }
  | { readonly kind: 'stopOrdered' }
  /** A run ends as `lost` with its worker, which lists no end. */
  | { readonly kind: 'ended'; readonly end: RunEnd | 'lost' }
  | { readonly kind: 'acknowledged' };

/** Learns of each step of a run on a worker. */
export type RunObserver = (workerKey: string, run: RunRef, step: RunStep) => void;

/** The steps of all runs, with the time of each. */
export interface RunHistory {
  readonly onStep: RunObserver;
  /** Returns a line for each run of a task that began: order, start, stop, end and acknowledgement. */
  readonly describe: (task: string) => readonly string[];
}

const STEPS: readonly RunStep['kind'][] = [
  'ordered',
  'started',
  'stopOrdered',
  'ended',
  'acknowledged',
];

interface RunEntry {
  readonly workerKey: string;
  readonly run: RunRef;
  /** First time of each step. */
  readonly steps: ReadonlyMap<RunStep['kind'], string>;
}

function lineOf({ workerKey, run, steps }: RunEntry): string {
  const parts = STEPS.map((kind) => `${kind} ${steps.get(kind) ?? '-'}`);
  return `run ${run.attempt} of ${run.task} on ${workerKey}: ${parts.join(', ')}`;
}

/** Creates a history without runs. Times are seconds of `nowMs`. */
export function createRunHistory(nowMs: () => number): RunHistory {
  const entries = new Map<string, RunEntry>();
  const orders = new Map<string, string>();
  return {
    onStep: (workerKey, run, step) => {
      const runKey = `${run.task}#${run.attempt}`;
      const key = `${workerKey} ${runKey}`;
      const time = (nowMs() / 1_000).toFixed(3);
      if (step.kind === 'ordered') {
        orders.set(runKey, `${time} to ${workerKey}`);
        return;
      }
      const known = entries.get(key)?.steps ?? new Map<RunStep['kind'], string>();
      if (known.has(step.kind)) return;
      const text = step.kind === 'ended' ? `${time} (${step.end})` : time;
      // A later instance may carry out an order to an earlier one.
      const ordered = orders.get(runKey) ?? '-';
      const steps = new Map([['ordered', ordered], ...known, [step.kind, text]] as const);
      entries.set(key, { workerKey, run, steps });
    },
    describe: (task) => [...entries.values()].filter(({ run }) => run.task === task).map(lineOf),
  };
}
