import type { RunObservation, SoakObservation } from './types';

/** An observation of a kind. */
export type ObservationOf<Kind extends SoakObservation['kind']> = Extract<
  SoakObservation,
  { readonly kind: Kind }
>;

/** A run of a task on a worker, with what the worker saw of it. */
export interface Run {
  readonly task: string;
  readonly attempt: number;
  readonly worker: string;
  /** Time at which the worker got the order. */
  readonly orderedAtMs: number;
  readonly isOrderLate: boolean;
  readonly fromMs: number;
  /** Time of the first order to stop the run. */
  readonly stopOrderedAtMs?: number;
  readonly untilMs: number;
  readonly end: string;
  /** Time at which the agent acknowledged the end. */
  readonly notedAtMs?: number;
}

/** Returns the observations of a kind. */
export function ofKind<Kind extends SoakObservation['kind']>(
  observations: readonly SoakObservation[],
  kind: Kind,
): ObservationOf<Kind>[] {
  return observations.filter(
    (observation): observation is ObservationOf<Kind> => observation.kind === kind,
  );
}

/** Groups values by a key, keeping their order. */
export function groupBy<Value>(
  values: readonly Value[],
  toKey: (value: Value) => string,
): ReadonlyMap<string, readonly Value[]> {
  return values.reduce((groups, value) => {
    const group = groups.get(toKey(value));
    if (group === undefined) groups.set(toKey(value), [value]);
    else group.push(value);
    return groups;
  }, new Map<string, Value[]>());
}

function isRunObservation(observation: SoakObservation): observation is RunObservation {
  return 'task' in observation;
}

function createRun(started: ObservationOf<'started'>, following: readonly RunObservation[]): Run {
  const { task, attempt, worker, atMs, orderDelayMs } = started;
  // A worker that has crashed may start the same attempt once more.
  const next = following.findIndex(({ kind }) => kind === 'started');
  const own = next === -1 ? following : following.slice(0, next);
  const [ended] = ofKind(own, 'ended');
  const [stopOrdered] = ofKind(own, 'stopOrdered');
  const [noted] = ofKind(own, 'endNoted');
  return {
    task,
    attempt,
    worker,
    orderedAtMs: atMs - orderDelayMs,
    isOrderLate: orderDelayMs > 0,
    fromMs: atMs,
    untilMs: ended?.atMs ?? Infinity,
    end: ended?.end ?? 'running',
    ...(stopOrdered === undefined ? {} : { stopOrderedAtMs: stopOrdered.atMs }),
    ...(noted === undefined ? {} : { notedAtMs: noted.atMs }),
  };
}

/** Returns the runs of all tasks. */
export function runsOf(observations: readonly SoakObservation[]): readonly Run[] {
  const byRun = groupBy(
    observations.filter(isRunObservation),
    ({ worker, task, attempt }) => `${worker} ${task}#${attempt}`,
  );
  return [...byRun.values()].flatMap((seen) =>
    seen.flatMap((observation, index) =>
      observation.kind === 'started' ? [createRun(observation, seen.slice(index + 1))] : [],
    ),
  );
}

/** Describes a run in one line: its order, start, stop and end, and when the end was acknowledged. */
export function describeRun(run: Run): string {
  const { attempt, worker, orderedAtMs, isOrderLate, fromMs, end, untilMs } = run;
  const { stopOrderedAtMs, notedAtMs } = run;
  const ended = untilMs === Infinity ? 'still running' : `${end} at ${untilMs}`;
  return [
    `run ${attempt} on ${worker} ordered at ${orderedAtMs}`,
    ...(isOrderLate ? ['carried out late'] : []),
    `started at ${fromMs}`,
    stopOrderedAtMs === undefined ? 'not told to stop' : `told to stop at ${stopOrderedAtMs}`,
    ended,
    notedAtMs === undefined ? 'end not noted' : `end noted at ${notedAtMs}`,
  ].join(', ');
}
