import type { Mailbox } from '@bronzeyoke/actors';
import { createMailbox } from '@bronzeyoke/actors';
import type { SchedulerEvent, SchedulerState, SchedulerStep } from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';
import type { Clock } from './simclock';

/** Processor time of an entry's work, in ms of a whole core. */
export interface CpuCosts {
  /** Every event, with the call or message that brought it. */
  readonly eventMs: number;
  readonly reportMs: number;
  /** Each run or end that a report lists. */
  readonly listedRunMs: number;
  /** Each row that is read or written. */
  readonly rowMs: number;
  /** Each start order. */
  readonly orderMs: number;
  /** A placement pass, for each worker. */
  readonly passWorkerMs: number;
  /** A placement pass, for each worker and each task that it claims or finds no place for. */
  readonly placeMs: number;
  /** A claim at the former address of a task, which looks at no other worker. */
  readonly restoreMs: number;
}

/** Work takes no time. */
export const NO_COSTS: CpuCosts = {
  eventMs: 0,
  reportMs: 0,
  listedRunMs: 0,
  rowMs: 0,
  orderMs: 0,
  passWorkerMs: 0,
  placeMs: 0,
  restoreMs: 0,
};

/**
 * Costs that were measured. Reports: `REPORT_COST_MS` of the scheduler's budget. Passes and listed runs:
 * docs/CAPACITY.md, from 6.5 ms for 70 workers, 27 ms with 2,000 places looked at, and 0.37 ms for ten
 * runs. Rows and orders: its 0.94 cores for 440 starts a second, without the above. Restored claims: 354
 * in a pass of 75 to 110 ms, in a process that has just started (arm64, 4 runs beside other load).
 */
export const MEASURED_COSTS: CpuCosts = {
  eventMs: 0.05,
  reportMs: 0.5,
  listedRunMs: 0.03,
  rowMs: 0.3,
  orderMs: 0.3,
  passWorkerMs: 0.09,
  placeMs: 0.01,
  restoreMs: 0.25,
};

/** Returns the processor time of what an event itself carries. */
function eventMs(costs: CpuCosts, event: SchedulerEvent): number {
  switch (event.kind) {
    case 'received': {
      const { message } = event;
      if (message.kind !== 'report') return costs.eventMs;
      return costs.reportMs + (message.running.length + message.ended.length) * costs.listedRunMs;
    }
    case 'jobRows':
      return costs.eventMs + event.rows.length * costs.rowMs;
    case 'rangeDone': {
      const rows = event.result.kind === 'rows' ? event.result.rows.length : 0;
      return costs.eventMs + rows * costs.rowMs;
    }
    case 'tick':
    case 'passTook':
    case 'loadMeasured':
    case 'clockGap':
    case 'configChanged':
    case 'timesChanged':
    case 'domainsOut':
    case 'leaderRow':
    case 'holderAnswered':
    case 'commitDone':
    case 'linkOpened':
    case 'linkClosed':
    case 'stop':
      return costs.eventMs;
    default:
      return assertNever(event);
  }
}

/** Returns the processor time of the placement pass of a step; 0 if it made none. */
export function passMs(
  { passWorkerMs, placeMs, restoreMs }: CpuCosts,
  before: SchedulerState,
  { passCount, restoredCount, runs, waits, unplacedSince, leftOut, workers }: SchedulerState,
  nowMs: number,
): number {
  if (passCount === before.passCount) return 0;
  const claimed = runs.byTask.count(
    ({ claimedAtMs, isOrdered }) => claimedAtMs === nowMs && !isOrdered,
  );
  const searched = waits.count(
    ({ phase, leftOutSinceMs }) => phase !== 'claimed' && leftOutSinceMs === undefined,
  );
  const unplaced = unplacedSince.count((_, key) => !leftOut.has(key));
  const restored = Math.max(0, restoredCount - before.restoredCount);
  const places = claimed - restored + searched + unplaced;
  return workers.size * (passWorkerMs + places * placeMs) + restored * restoreMs;
}

/** Returns the processor time of a step, in ms of a whole core. */
export function stepMs(
  costs: CpuCosts,
  before: SchedulerState,
  event: SchedulerEvent,
  { state, effects }: SchedulerStep,
  nowMs: number,
): number {
  const effectMs = effects.map((effect) => {
    if (effect.kind === 'commit') return effect.transaction.writes.length * costs.rowMs;
    return effect.kind === 'send' && effect.message.kind === 'start' ? costs.orderMs : 0;
  });
  const sumMs = effectMs.reduce((sum, ms) => sum + ms, 0);
  return eventMs(costs, event) + passMs(costs, before, state, nowMs) + sumMs;
}

/** What an event leads to, once the time that it takes has passed. */
export interface Work {
  readonly durationMs: number;
  readonly finish: () => void;
}

/** Time in which events are handled in a turn of the event loop, also of one that has accepted a connection. */
const TURN_MS = 50;
const ACCEPTING_TURN_MS = 2;

/** Handles one event at a time; the others wait in order. A turn of events begins with one connection. */
export interface Processor<Event> {
  readonly submit: (event: Event) => void;
  /** Adds a connection that waits for its turn, which returns the events that it has brought until then. */
  readonly connect: (accept: () => readonly Event[]) => void;
  /** Stops and continues the process between two events. */
  readonly setPaused: (isPaused: boolean) => void;
}

/** Creates a processor. `begin` decides on an event when its turn has come. */
export function createProcessor<Event>(
  clock: Clock,
  begin: (event: Event) => Work,
  waiting: Mailbox<Event> = createMailbox<Event>(),
): Processor<Event> {
  const known: {
    connections: (() => readonly Event[])[];
    /** What is left of the turn. */
    turnMs: number;
    isBusy: boolean;
    isPaused: boolean;
    /** Part of a ms that the clock does not show. */
    owedMs: number;
  } = { connections: [], turnMs: 0, isBusy: false, isPaused: false, owedMs: 0 };

  const beginTurn = (): void => {
    const accept = known.connections.shift();
    known.turnMs = accept === undefined ? TURN_MS : ACCEPTING_TURN_MS;
    accept?.().forEach(waiting.push);
  };

  const handle = (event: Event): void => {
    const { durationMs, finish } = begin(event);
    known.turnMs -= durationMs;
    const owedMs = known.owedMs + durationMs;
    const wholeMs = Math.floor(owedMs);
    known.owedMs = owedMs - wholeMs;
    if (wholeMs === 0) {
      finish();
      return;
    }
    known.isBusy = true;
    clock.schedule(wholeMs, () => {
      known.isBusy = false;
      finish();
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the next event follows
      run();
    });
  };

  function run(): void {
    while (!known.isBusy && !known.isPaused) {
      if (known.turnMs <= 0 || waiting.size() === 0) beginTurn();
      const event = waiting.take();
      if (event === undefined) return;
      handle(event);
    }
  }

  return {
    submit: (event) => {
      waiting.push(event);
      run();
    },
    connect: (accept) => {
      known.connections.push(accept);
      run();
    },
    setPaused: (isPaused) => {
      known.isPaused = isPaused;
      run();
    },
  };
}
