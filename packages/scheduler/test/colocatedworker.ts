import type { ListedEnd, ListedRun } from '@bronzeyoke/ports';
import { assertNever } from '@bronzeyoke/types';
import type { LeaderMessage } from '@bronzeyoke/wire';
import type { RunEnd, Stage } from '@bronzeyoke/workflow';
import type { ReportFields } from './fixture';
import type { Clock } from './simclock';

/** Time between two steps of a worker. */
export const STEP_MS = 50;

const REPORT_MS = 350;
const STOP_MS = 400;
const CORES = 64;

/** Tail latency of a serving task without load, as a share of its target. */
const IDLE_RATIO = 0.28;

/** Load at which a modelled serving task is saturated. */
const MAX_SERVING_LOAD = 0.985;

/** Load of a serving task of its own, and how far and how often it swings. */
const OWN_LOAD = 0.28;
const OWN_SWING = 0.5;
const SWING_MS = 10_000;

/** Share of its reserved processors that a serving task uses. */
const SERVING_USE = 0.4;

/** Time over which workers average what they list. */
const AVERAGE_MS = 500;

/** Progress of a run that has not ended. */
const MAX_PERCENT = 99;

/** Load that a filling image puts on a serving image, for each share of the worker's processors. */
export type Influence = (serving: string, fill: string) => number;

/** A run on a worker whose tasks disturb each other. */
export interface ColocatedRun {
  readonly task: string;
  readonly attempt: number;
  readonly stage: Stage;
  readonly durationMs: number;
  readonly phaseMs: number;
  readonly doneMs: number;
  readonly pacePercent: number;
  readonly load: number;
  readonly isStopping: boolean;
  /** Work after which the run fails; infinite if it does not. */
  readonly failsAtMs: number;
}

/** What a worker calls in its fleet. */
export interface ColocatedHooks {
  readonly stageOf: (task: string) => Stage;
  readonly durationMs: (task: string) => number;
  readonly influence: Influence;
  readonly failedShare: number;
  readonly report: (fields: ReportFields) => void;
  /** A serving task has worked for a step, over its target or not. */
  readonly onServed: (isHarmed: boolean) => void;
}

/** A worker on which filling tasks slow serving tasks down, and its agent. */
export interface ColocatedWorker {
  readonly receive: (message: LeaderMessage) => void;
  /** Works for one step. */
  readonly work: () => void;
}

function fillShare({ stage, pacePercent }: ColocatedRun): number {
  return (stage.needs.processorsMilli * pacePercent) / 100 / (CORES * 1_000);
}

/** Returns the part of the processors that filling tasks ask for which the others leave idle. */
function idlePart(runs: readonly ColocatedRun[], fills: readonly ColocatedRun[]): number {
  const usedMilli = runs
    .filter(({ stage }) => stage.latencyTargetMs !== undefined)
    .reduce((sum, { stage }) => sum + stage.needs.processorsMilli * SERVING_USE, 0);
  const idleShare = 1 - usedMilli / (CORES * 1_000);
  const askedShare = fills.reduce((sum, fill) => sum + fillShare(fill), 0);
  return Math.min(1, idleShare / Math.max(askedShare, idleShare));
}

/** Returns the next value of an average; the first sample is taken as it is. */
function average(before: number, sample: number): number {
  return before === 0 ? sample : before + ((sample - before) * STEP_MS) / AVERAGE_MS;
}

function listed({ task, attempt, doneMs, durationMs, load, stage }: ColocatedRun): ListedRun {
  const percent = stage.isLasting
    ? 100
    : Math.min(MAX_PERCENT, Math.floor((100 * doneMs) / durationMs));
  return { task, attempt, checkpoint: '', percent, load: Math.round(load) };
}

/** Creates a worker that reports from time to time, and at each end of a run. */
export function createColocatedWorker(clock: Clock, hooks: ColocatedHooks): ColocatedWorker {
  const runs = new Map<string, ColocatedRun>();
  const known: { ends: readonly ListedEnd[]; endCount: number; lastOrder: number } = {
    ends: [],
    endCount: 0,
    lastOrder: 0,
  };

  const report = (): void =>
    hooks.report({
      running: [...runs.values()].map(listed),
      ended: known.ends,
      lastOrder: known.lastOrder,
      processorsMilli: CORES * 1_000,
      memoryMb: CORES * 4_000,
    });

  const finish = ({ task, attempt }: ColocatedRun, end: RunEnd): void => {
    const run = runs.get(task);
    if (run?.attempt !== attempt) return;
    runs.delete(task);
    known.endCount += 1;
    const checkpoint = run.stage.savesCheckpoints ? `${Math.max(1, run.doneMs)}` : '';
    known.ends = [...known.ends, { sequence: known.endCount, task, attempt, end, checkpoint }];
    report();
  };

  const failsAtMs = (task: string): number => {
    if (hooks.failedShare === 0 || clock.random() >= hooks.failedShare) return Infinity;
    return hooks.durationMs(task) / 2;
  };

  const start = ({ run, order, checkpoint }: Extract<LeaderMessage, { kind: 'start' }>): void => {
    const { task, attempt } = run;
    known.lastOrder = order;
    runs.set(task, {
      task,
      attempt,
      stage: hooks.stageOf(task),
      durationMs: hooks.durationMs(task),
      phaseMs: clock.random() * SWING_MS,
      doneMs: Number(checkpoint ?? 0),
      pacePercent: 100,
      load: 0,
      isStopping: false,
      failsAtMs: failsAtMs(run.task),
    });
  };

  const receive = (message: LeaderMessage): void => {
    switch (message.kind) {
      case 'start':
        start(message);
        return;
      case 'pace': {
        const run = runs.get(message.run.task);
        if (run?.attempt !== message.run.attempt || run.isStopping) return;
        runs.set(run.task, { ...run, pacePercent: message.percent });
        return;
      }
      case 'stop': {
        const run = runs.get(message.run.task);
        if (run?.attempt !== message.run.attempt || run.isStopping) return;
        runs.set(run.task, { ...run, isStopping: true, pacePercent: 0 });
        clock.schedule(STOP_MS, () => finish(run, 'stopped'));
        return;
      }
      case 'acknowledge':
        known.ends = known.ends.filter(({ sequence }) => sequence > message.sequence);
        return;
      case 'leader':
      case 'grant':
      case 'goneRecorded':
        return;
      default:
        assertNever(message);
    }
  };

  /** Returns the tail latency of a serving task over its target. */
  const ratioOf = ({ stage, phaseMs }: ColocatedRun, fills: readonly ColocatedRun[]): number => {
    const angle = (2 * Math.PI * (clock.now() + phaseMs)) / SWING_MS;
    const own = OWN_LOAD * (1 + OWN_SWING * Math.sin(angle));
    const added = fills.reduce(
      (sum, fill) =>
        sum + hooks.influence(stage.image ?? '', fill.stage.image ?? '') * fillShare(fill),
      0,
    );
    return IDLE_RATIO / (1 - Math.min(MAX_SERVING_LOAD, own + added));
  };

  const serve = (run: ColocatedRun, targetMs: number, fills: readonly ColocatedRun[]): void => {
    const ratio = ratioOf(run, fills);
    hooks.onServed(ratio >= 1);
    runs.set(run.task, { ...run, load: average(run.load, ratio * targetMs) });
  };

  const fill = (run: ColocatedRun, part: number): void => {
    const speed = (part * run.pacePercent) / 100;
    const doneMs = run.doneMs + STEP_MS * speed;
    const load = average(run.load, run.stage.needs.processorsMilli * speed);
    runs.set(run.task, { ...run, doneMs, load });
    if (run.isStopping) return;
    if (doneMs >= run.failsAtMs) finish(run, 'failed');
    else if (doneMs >= run.durationMs) finish(run, 'done');
  };

  const work = (): void => {
    const present = [...runs.values()];
    const fills = present.filter(({ stage }) => stage.fillsIdle);
    const part = idlePart(present, fills);
    present.forEach((run) => {
      const { latencyTargetMs } = run.stage;
      if (latencyTargetMs === undefined) fill(run, part);
      else serve(run, latencyTargetMs, fills);
    });
  };

  const repeatReport = (): void => {
    report();
    clock.schedule(REPORT_MS, repeatReport);
  };
  clock.schedule(clock.random() * REPORT_MS, repeatReport);
  return { receive, work };
}
