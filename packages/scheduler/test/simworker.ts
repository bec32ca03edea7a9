import type { WorkerCall, WorkerCallResult, WorkerReport } from '@bronzeyoke/ports';
import { workerKeyOf } from '@bronzeyoke/ports';
import type { TaskWorkerState } from '@bronzeyoke/standins';
import { advanceTaskWorker, callTaskWorker, createTaskWorker } from '@bronzeyoke/standins';
import type { Stage } from '@bronzeyoke/workflow';
import type { Clock } from './simclock';
import type { RunHistory } from './simhistory';

/** Duration of a run of a task that lasts. */
const LASTING_MS = 1e9;
const LONG_MS = 60_000;
const SHORT_MS = 700;
const BRIEF_MS = 200;

/** Returns how long a task works, by the kind of its job. */
function workMsOf(task: string): number {
  if (task.startsWith('lasting')) return LASTING_MS;
  if (task.startsWith('long')) return LONG_MS;
  return task.startsWith('brief') ? BRIEF_MS : SHORT_MS;
}

/** A worker process of a simulation. */
export interface SimWorker {
  readonly id: string;
  readonly key: string;
  readonly state: () => TaskWorkerState;
  readonly report: () => WorkerReport;
  readonly isUp: () => boolean;
  readonly isDraining: () => boolean;
  readonly drain: () => void;
  /** Ends the runs of lasting tasks as done. */
  readonly endLastingRuns: () => void;
  /** Ends the process with all of its runs. */
  readonly end: () => void;
  /** Carries a call out. `isLate` says that its sender has given up on it. */
  readonly call: (
    call: WorkerCall,
    reply: (result: WorkerCallResult) => void,
    isLate?: boolean,
  ) => void;
  /** Ends runs that are due, and replies to the hold that waits for them. */
  readonly update: () => void;
}

/** Lasting tasks of one job that fit on a worker. */
export const LASTING_PER_WORKER = 2;

/** Tasks of all jobs that fit on a worker, for each lasting one of a job. */
const TASKS_PER_LASTING = 2;

/** Processors of a worker, in thousandths. */
const WORKER_MILLI = 4_000;

/** Returns what a stage of lasting tasks asks for, of which so many fit on a worker. */
export function lastingStage(
  perWorker: number,
): Pick<Stage, 'isLasting' | 'maxPerWorker' | 'needs'> {
  const processorsMilli = WORKER_MILLI / TASKS_PER_LASTING / perWorker;
  const needs = { processorsMilli, memoryMb: 100, accelerators: 0 };
  return { isLasting: true, maxPerWorker: perWorker, needs };
}

/** Returns whether a worker has room for another lasting task. */
export function hasRoomOn(worker: SimWorker, perWorker: number): boolean {
  const { runs } = worker.state();
  const lasting = runs.filter((_, task) => task.startsWith('lasting'));
  return runs.size < TASKS_PER_LASTING * perWorker && lasting.size < perWorker;
}

/** Time of a worker's clock at its start. */
const CLOCK_START_MS = 500;

/** Learns of the runs and leases of a worker. */
export type WorkerObserver = Pick<RunHistory, 'onStep' | 'onLapse'>;

const NO_OBSERVER: WorkerObserver = { onStep: () => {}, onLapse: () => {} };

/** Creates an instance of a worker whose clock has the given rate. */
export function createWorker(
  clock: Clock,
  { id, address, bornAtMs }: Pick<WorkerReport, 'id' | 'address' | 'bornAtMs'>,
  rate: number,
  { onStep, onLapse }: WorkerObserver = NO_OBSERVER,
): SimWorker {
  const startMs = clock.now();
  const clockMs = (): number => CLOCK_START_MS + Math.floor((clock.now() - startMs) * rate);
  /** Returns the time at which the worker's clock shows a value. */
  const timeOf = (valueMs: number): number => startMs + (valueMs - CLOCK_START_MS) / rate;
  const known: {
    state: TaskWorkerState;
    sequence: number;
    isUp: boolean;
    isDraining: boolean;
    wake?: (() => void) | undefined;
  } = { state: createTaskWorker(bornAtMs), sequence: 0, isUp: true, isDraining: false };
  const key = workerKeyOf({ id, bornAtMs });

  const due: { state: TaskWorkerState; atMs: number } = { state: known.state, atMs: Infinity };
  /** Returns whether the work of a run is done or the lease is over; looks at the runs once a state. */
  const isEndDue = (): boolean => {
    const { state } = known;
    if (due.state !== state) {
      due.state = state;
      due.atMs = state.runs.reduce(
        (atMs, { endsAtMs }) => Math.min(atMs, endsAtMs),
        state.leaseUntilMs,
      );
    }
    return state.runs.size > 0 && clockMs() >= due.atMs;
  };

  const lapsed = { leaseUntilMs: 0 };
  /** Records that the lease has ended, once for each end. */
  const recordLapse = (): void => {
    const { leaseUntilMs } = known.state;
    if (!known.isUp || leaseUntilMs === lapsed.leaseUntilMs || clockMs() < leaseUntilMs) return;
    lapsed.leaseUntilMs = leaseUntilMs;
    onLapse({ worker: key, atMs: timeOf(leaseUntilMs) });
  };

  /** Records the ends that a state lists and the one before did not, and those that it forgets. */
  const recordEnds = (before: TaskWorkerState): void => {
    const { ends } = known.state;
    const nowMs = clock.now();
    ends
      .filter(({ sequence }) => sequence > before.lastEndSequence)
      .forEach((ended) => {
        const workEndsAtMs = timeOf(before.runs.get(ended.task)?.endsAtMs ?? Infinity);
        const atMs = ended.end === 'done' ? Math.min(nowMs, workEndsAtMs) : nowMs;
        onStep(key, ended, { kind: 'ended', end: ended.end }, atMs);
      });
    const firstSequence = ends.first()?.sequence ?? Infinity;
    before.ends
      .filter(({ sequence }) => sequence < firstSequence)
      .forEach((ended) => onStep(key, ended, { kind: 'acknowledged' }, nowMs));
  };

  const run = (call: WorkerCall, isOrderLate = false): WorkerCallResult => {
    recordLapse();
    const before = known.state;
    const nowMs = clock.now();
    const workMs = 'task' in call ? workMsOf(call.task) : 0;
    const step = callTaskWorker(before, call, clockMs(), workMs);
    known.state = step.state;
    if (step.started !== undefined)
      onStep(key, step.started, { kind: 'started', isOrderLate }, nowMs);
    if (call.kind === 'stop' && step.result.kind === 'done') {
      onStep(key, call, { kind: 'stopOrdered' }, nowMs);
    }
    recordEnds(before);
    return step.result;
  };

  const call: SimWorker['call'] = (order, reply, isLate) => {
    const result = run(order, isLate);
    const hasEnds = result.kind === 'done' && (result.ended?.length ?? 0) > 0;
    if (order.kind !== 'hold' || result.kind !== 'done' || hasEnds || order.waitMs === 0) {
      reply(result);
      return;
    }
    const wake = (): void => {
      if (known.wake !== wake) return;
      known.wake = undefined;
      if (!known.isUp) reply({ kind: 'lost' });
      else reply(run({ ...order, fencingToken: known.state.fencingToken }));
    };
    known.wake = wake;
    clock.schedule(order.waitMs, wake);
  };

  return {
    id,
    key,
    state: () => known.state,
    isUp: () => known.isUp,
    isDraining: () => known.isDraining,
    report: () => {
      known.sequence += 1;
      return {
        id,
        address,
        bornAtMs,
        service: 'quoter',
        domain: 'north',
        version: 'v1',
        isDraining: known.isDraining,
        capacity: { processorsMilli: WORKER_MILLI, memoryMb: 8_000, accelerators: 0 },
        labels: ['a'],
        rack: 'r1',
        sequence: known.sequence,
      };
    },
    drain: () => {
      known.isDraining = true;
    },
    endLastingRuns: () => {
      const endsAtMs = clockMs();
      const runs = known.state.runs.map((lasting) =>
        lasting.task.startsWith('lasting') ? { ...lasting, endsAtMs } : lasting,
      );
      known.state = { ...known.state, runs };
    },
    end: () => {
      recordLapse();
      if (known.isUp) {
        const nowMs = clock.now();
        known.state.runs.forEach((lost) =>
          onStep(key, lost, { kind: 'ended', end: 'lost' }, nowMs),
        );
      }
      known.isUp = false;
      known.wake?.();
    },
    call,
    update: () => {
      recordLapse();
      if (!known.isUp || !isEndDue()) return;
      const before = known.state;
      known.state = advanceTaskWorker(before, clockMs());
      recordEnds(before);
      if (known.state.lastEndSequence !== before.lastEndSequence) known.wake?.();
    },
  };
}
