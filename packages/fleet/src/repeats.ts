import type { WorkerCallStep } from '@bronzeyoke/standins';
import type { RecordedRun, RepeatedTask } from '@bronzeyoke/runhistory';
import { findRepeatedTasks } from '@bronzeyoke/runhistory';
import { workerKeyOf } from '@bronzeyoke/ports';
import type { RunRecords } from './runrecords';
import type { FleetWorker } from './world';
import { workerClockMs, workerTimeMs } from './world';

interface RunName {
  readonly task: string;
  readonly attempt: number;
}

function keyOf(worker: string, { task, attempt }: RunName): string {
  return `${task}#${attempt} ${worker}`;
}

/** A call that a worker has carried out, with the worker before it. */
export interface RecordedCall {
  readonly worker: FleetWorker;
  readonly step: WorkerCallStep;
  /** The sender had given up on the call. */
  readonly isLate: boolean;
  /** The task that the call began may succeed more than once. */
  readonly isLasting: boolean;
}

function recordLapse(
  lapses: RunRecords['lapses'],
  worker: FleetWorker,
  nowMs: number,
): RunRecords['lapses'] {
  const { leaseUntilMs, bornAtMs } = worker.state;
  if (leaseUntilMs === 0 || workerClockMs(worker, nowMs) < leaseUntilMs) return lapses;
  const key = workerKeyOf({ id: worker.id, bornAtMs });
  const lapse = { worker: key, atMs: workerTimeMs(worker, leaseUntilMs) };
  return lapses.set(`${key} ${leaseUntilMs}`, lapse);
}

/** Records what a call has changed at its worker: a start, ends, their acknowledgement, and a lapse before. */
export function recordCall(
  { runs, lapses }: RunRecords,
  { worker, step, isLate, isLasting }: RecordedCall,
  nowMs: number,
): RunRecords {
  const before = worker.state;
  const { state, started } = step;
  const key = workerKeyOf({ id: worker.id, bornAtMs: state.bornAtMs });
  const change = (
    known: RunRecords['runs'],
    name: RunName,
    changes: Partial<RecordedRun>,
  ): RunRecords['runs'] => {
    const run = known.get(keyOf(key, name));
    return run === undefined ? known : known.set(keyOf(key, name), { ...run, ...changes });
  };
  const ended = state.ends
    .filter(({ sequence }) => sequence > before.lastEndSequence)
    .reduce((known, { task, attempt, end }) => {
      const workEndsAtMs = before.runs.get(task)?.endsAtMs;
      const untilMs =
        end === 'done' && workEndsAtMs !== undefined ? workerTimeMs(worker, workEndsAtMs) : nowMs;
      return change(known, { task, attempt }, { end, untilMs });
    }, runs);
  const acknowledged = before.ends
    .filterNot(({ sequence }) => state.ends.some((end) => end.sequence === sequence))
    .reduce((known, name) => change(known, name, { notedAtMs: nowMs }), ended);
  const begun =
    started === undefined || isLasting
      ? acknowledged
      : acknowledged.set(keyOf(key, started), {
          task: started.task,
          attempt: started.attempt,
          worker: key,
          isOrderLate: isLate,
          fromMs: nowMs,
          untilMs: Infinity,
          end: '',
        });
  return { runs: begun, lapses: recordLapse(lapses, worker, nowMs) };
}

/** Returns the starts of tasks after a success of them, also those that break no rule. */
export function repeatsOf({ runs, lapses }: RunRecords): readonly RepeatedTask[] {
  return findRepeatedTasks([...runs.values()], [...lapses.values()]);
}

/**
 * Returns the repeats that break a rule: the success counts, or it had been acknowledged before the start.
 * A leader that has recorded a success starts its task no more, whether the success counts or not.
 */
export function forbiddenRepeats(records: RunRecords): readonly RepeatedTask[] {
  return repeatsOf(records).filter(
    ({ kind, earlier, later }) =>
      kind === 'counted' || (earlier.notedAtMs ?? Infinity) < later.fromMs,
  );
}
