import { z } from 'zod';
import { listOf } from '@bronzeyoke/decoding';
import type { ListedEnd, ListedRun, WorkerReport } from '@bronzeyoke/ports';
import type { Result } from '@bronzeyoke/types';
import { fail, isSameAmount, succeed, without } from '@bronzeyoke/types';
import type { Report, RunRef } from './runner';
import { endSchema, runSchema, workerSchema } from './runnerschema';

/** A run of the report before: its position there, checkpoint, progress and load. */
type ChangedRun = readonly [position: number, checkpoint: string, percent: number, load: number];

/** A run that the report before did not list. */
type NewRun = readonly [
  task: string,
  attempt: number,
  checkpoint: string,
  percent: number,
  load: number,
];

/** A run in a change of a report; the position of a run in the report before, if it is unchanged. */
type RunChange = number | ChangedRun | NewRun;

/** What differs from the report before on the same connection. */
export interface ReportChange {
  readonly kind: 'reportChange';
  readonly term: number;
  readonly clockMs: number;
  readonly lastOrder: number;
  readonly running: readonly RunChange[];
  /** Absent if it is the same as before. */
  readonly worker?: WorkerReport;
  /** Absent if there are none. */
  readonly ended?: readonly ListedEnd[];
  readonly lapsedSequence?: number;
  readonly pending?: readonly RunRef[];
}

const position = z.int().nonnegative();

/** Schema of a change of a report. */
export const reportChangeSchema = z.object({
  kind: z.literal('reportChange'),
  term: z.int(),
  clockMs: z.number(),
  lastOrder: z.int(),
  running: listOf(
    z.union([
      position,
      z.tuple([position, z.string(), z.number(), z.number()]),
      z.tuple([z.string(), z.int(), z.string(), z.number(), z.number()]),
    ]),
  ),
  worker: workerSchema.optional(),
  ended: listOf(endSchema).optional(),
  lapsedSequence: z.int().optional(),
  pending: listOf(runSchema).optional(),
});

function isSameRun(left: ListedRun, right: ListedRun): boolean {
  return (
    left.checkpoint === right.checkpoint &&
    left.percent === right.percent &&
    left.load === right.load
  );
}

function encodeRun(run: ListedRun, index: number, known: ListedRun | undefined): RunChange {
  const { task, attempt, checkpoint, percent, load } = run;
  if (known === undefined) return [task, attempt, checkpoint, percent, load];
  return isSameRun(run, known) ? index : [index, checkpoint, percent, load];
}

/** Returns whether a worker's state is the same apart from the number of its heartbeat. */
function isSameWorker(left: WorkerReport, right: WorkerReport): boolean {
  return (
    left.address === right.address &&
    left.bornAtMs === right.bornAtMs &&
    left.isDraining === right.isDraining &&
    left.version === right.version &&
    left.service === right.service &&
    left.domain === right.domain &&
    left.rack === right.rack &&
    isSameAmount(left.capacity, right.capacity) &&
    left.labels.length === right.labels.length &&
    left.labels.every((label, index) => label === right.labels[index])
  );
}

/** Returns what differs between two reports; undefined if they are not of one worker instance. */
export function changeOfReport(previous: Report, report: Report): ReportChange | undefined {
  const isSameSource =
    previous.workerKey === report.workerKey && previous.agentId === report.agentId;
  if (!isSameSource) return undefined;
  const { term, clockMs, lastOrder, running, worker, ended, lapsedSequence, pending } = report;
  const positions = new Map(
    previous.running.map(({ task, attempt }, index) => [`${task}#${attempt}`, index]),
  );
  const changes = running.map((run) => {
    const index = positions.get(`${run.task}#${run.attempt}`);
    return encodeRun(run, index ?? 0, index === undefined ? undefined : previous.running[index]);
  });
  return {
    kind: 'reportChange',
    term,
    clockMs,
    lastOrder,
    running: changes,
    ...(isSameWorker(previous.worker, worker) ? {} : { worker }),
    ...(ended.length === 0 ? {} : { ended }),
    ...(lapsedSequence === undefined ? {} : { lapsedSequence }),
    ...(pending.length === 0 ? {} : { pending }),
  };
}

function isNewRun(change: ChangedRun | NewRun): change is NewRun {
  return typeof change[0] === 'string';
}

function decodeRun(change: RunChange, known: readonly ListedRun[]): ListedRun | undefined {
  if (typeof change === 'number') return known[change];
  if (isNewRun(change)) {
    const [task, attempt, checkpoint, percent, load] = change;
    return { task, attempt, checkpoint, percent, load };
  }
  const [index, checkpoint, percent, load] = change;
  const run = known[index];
  return run === undefined ? undefined : { ...run, checkpoint, percent, load };
}

/** Returns the report that a change makes of the one before. */
export function applyReportChange(
  previous: Report | undefined,
  change: ReportChange,
): Result<Report> {
  if (previous === undefined) {
    return fail({ kind: 'malformedFrame', problem: 'reportChange: no report before' });
  }
  const { term, clockMs, lastOrder, worker, ended = [], lapsedSequence, pending = [] } = change;
  const running = change.running.flatMap((run) => decodeRun(run, previous.running) ?? []);
  if (running.length !== change.running.length) {
    return fail({ kind: 'malformedFrame', problem: 'reportChange: unknown run' });
  }
  return succeed({
    ...without(previous, 'lapsedSequence'),
    term,
    clockMs,
    lastOrder,
    running,
    ended,
    pending,
    ...(lapsedSequence === undefined ? {} : { lapsedSequence }),
    ...(worker === undefined ? {} : { worker }),
  });
}
