import type { ListedEnd, ListedRun, WorkerReport } from '@bronzeyoke/ports';
import { workerKeyOf } from '@bronzeyoke/ports';
import type { Resources } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import type { LeaderMessage, RunnerMessage } from '@bronzeyoke/wire';
import type { RunEnd, Stage } from '@bronzeyoke/workflow';
import type { Clock, Span } from './simclock';

const REPORT_MS = 350;

/** Time from a stop order to the end of the run. */
const STOP_MS: Span = [100, 900];

/** Time from the start of a lasting task until it is working. */
const WARM_UP_MS = 400;

/** Progress of a run that has not ended. */
const MAX_PERCENT = 99;

/** A run on a modelled worker. */
export interface FleetRun {
  readonly task: string;
  readonly attempt: number;
  readonly stage: Stage;
  readonly startedAtMs: number;
  readonly durationMs: number;
  readonly isStopping: boolean;
}

/** How a run ended; `lost` with its worker, which lists no end. */
export type FleetRunEnd = RunEnd | 'lost';

/** What a worker calls in the fleet. */
export interface FleetWorkerHooks {
  readonly stageOf: (task: string) => Stage;
  /** Actual duration of a task's run. */
  readonly durationMs: (task: string) => number;
  readonly send: (message: RunnerMessage) => void;
  readonly onStart: (worker: FleetWorker, run: FleetRun) => void;
  readonly onEnd: (run: FleetRun, end: FleetRunEnd) => void;
  readonly onAcknowledged: (end: ListedEnd) => void;
}

/** A worker and its agent in virtual time. */
export interface FleetWorker {
  readonly site: string;
  readonly key: string;
  readonly capacity: Resources;
  readonly runs: () => ReadonlyMap<string, FleetRun>;
  readonly isUp: () => boolean;
  readonly isDraining: () => boolean;
  readonly drain: () => void;
  /** Ends the process with all of its runs. */
  readonly end: () => void;
  /** Ends one run. */
  readonly finish: (task: string, end: RunEnd) => void;
  readonly receive: (message: LeaderMessage) => void;
}

/** Creates a worker that reports at once. */
export function createFleetWorker(
  clock: Clock,
  site: string,
  capacity: Resources,
  hooks: FleetWorkerHooks,
): FleetWorker {
  const bornAtMs = clock.now();
  const key = workerKeyOf({ id: site, bornAtMs });
  const runs = new Map<string, FleetRun>();
  const known: {
    isUp: boolean;
    isDraining: boolean;
    ends: readonly ListedEnd[];
    endSequence: number;
    lastOrder: number;
    reports: number;
  } = { isUp: true, isDraining: false, ends: [], endSequence: 0, lastOrder: 0, reports: 0 };

  const workerReport = (): WorkerReport => ({
    id: site,
    address: `${site}:1`,
    bornAtMs,
    service: 'quoter',
    domain: 'north',
    version: 'v1',
    isDraining: known.isDraining,
    capacity,
    labels: ['a'],
    rack: 'r1',
    sequence: known.reports,
  });

  const listed = ({ task, attempt, stage, startedAtMs, durationMs }: FleetRun): ListedRun => {
    const share = (clock.now() - startedAtMs) / (stage.isLasting ? WARM_UP_MS : durationMs);
    const percent = Math.min(stage.isLasting ? 100 : MAX_PERCENT, Math.floor(100 * share));
    const load = stage.latencyTargetMs === undefined ? stage.needs.processorsMilli : 1;
    return { task, attempt, checkpoint: '', percent, load };
  };

  const report = (): void => {
    if (!known.isUp) return;
    known.reports += 1;
    hooks.send({
      kind: 'report',
      agentId: `agent-${site}`,
      term: 1,
      workerKey: key,
      worker: workerReport(),
      clockMs: clock.now(),
      running: [...runs.values()].map(listed),
      ended: known.ends,
      pending: [],
      lastOrder: known.lastOrder,
    });
  };

  const finish = (task: string, end: RunEnd): void => {
    const run = runs.get(task);
    if (run === undefined) return;
    runs.delete(task);
    known.endSequence += 1;
    const { attempt } = run;
    const sequence = known.endSequence;
    known.ends = [...known.ends, { sequence, task, attempt, end, checkpoint: '' }];
    hooks.onEnd(run, end);
    report();
  };

  /** Ends an attempt later, unless it has ended before. */
  const finishAfter = ({ task, attempt }: FleetRun, afterMs: number, end: RunEnd): void =>
    clock.schedule(afterMs, () => {
      if (known.isUp && runs.get(task)?.attempt === attempt) finish(task, end);
    });

  const start = (message: Extract<LeaderMessage, { kind: 'start' }>): void => {
    const { task, attempt } = message.run;
    known.lastOrder = message.order;
    if (known.isDraining) {
      hooks.send({ kind: 'refused', workerKey: key, run: message.run, reason: 'draining' });
      return;
    }
    const run: FleetRun = {
      task,
      attempt,
      stage: hooks.stageOf(task),
      startedAtMs: clock.now(),
      durationMs: hooks.durationMs(task),
      isStopping: false,
    };
    runs.set(task, run);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- orders arrive after the creation
    hooks.onStart(worker, run);
    if (!run.stage.isLasting) finishAfter(run, run.durationMs, 'done');
  };

  const stop = ({ task, attempt }: { readonly task: string; readonly attempt: number }): void => {
    const run = runs.get(task);
    if (run?.attempt !== attempt || run.isStopping) return;
    runs.set(task, { ...run, isStopping: true });
    finishAfter(run, clock.within(STOP_MS), 'stopped');
  };

  const acknowledge = (sequence: number): void => {
    known.ends.filter((end) => end.sequence <= sequence).forEach(hooks.onAcknowledged);
    known.ends = known.ends.filter((end) => end.sequence > sequence);
  };

  const worker: FleetWorker = {
    site,
    key,
    capacity,
    runs: () => runs,
    isUp: () => known.isUp,
    isDraining: () => known.isDraining,
    drain: () => {
      known.isDraining = true;
      report();
    },
    end: () => {
      known.isUp = false;
      const lost = [...runs.values()];
      runs.clear();
      lost.forEach((run) => hooks.onEnd(run, 'lost'));
    },
    finish,
    receive: (message) => {
      if (!known.isUp) return;
      switch (message.kind) {
        case 'start':
          start(message);
          return;
        case 'stop':
          stop(message.run);
          return;
        case 'acknowledge':
          acknowledge(message.sequence);
          return;
        case 'leader':
        case 'grant':
        case 'pace':
        case 'goneRecorded':
          return;
        default:
          assertNever(message);
      }
    },
  };

  const repeatReport = (): void => {
    if (!known.isUp) return;
    report();
    clock.schedule(REPORT_MS, repeatReport);
  };
  clock.schedule(0, repeatReport);
  return worker;
}
