import { expect } from 'chai';
import fc from 'fast-check';
import type { WorkerCallResult, WorkerReport } from '@bronzeyoke/ports';
import { workerKeyOf } from '@bronzeyoke/ports';
import type { RunnerEffect, RunnerEvent, RunnerState } from '@bronzeyoke/runner';
import { createRunner, stepRunner } from '@bronzeyoke/runner';
import type { TaskWorkerState } from '@bronzeyoke/standins';
import { advanceTaskWorker, callTaskWorker, createTaskWorker } from '@bronzeyoke/standins';
import { assertNever, without } from '@bronzeyoke/types';
import type { LeaderMessage, RunnerMessage, RunRef } from '@bronzeyoke/wire';
import { createLeased, LEADER, REPORT } from './fixture';

/** Lease that the leader grants from the worker's clock of each report. */
const GRANT_MS = 5_000;
const WORK_MS = 4_000;
const TICK_MS = 100;

/** A late call is carried out within this time. */
const MAX_LATE_MS = 12_000;
/** A worker's clock starts here with each instance, and is this much slow. */
const CLOCK_START_MS = 500;
const CLOCK_RATE = 0.98;

type CallEffect = Extract<RunnerEffect, { kind: 'call' }>;

/** A call that has no result yet, or whose result was lost before it was carried out. */
interface SentCall {
  readonly effect: CallEffect;
  readonly sentAtMs: number;
}

/** A worker that really runs tasks under its lease. */
interface ReferenceWorker {
  readonly report: WorkerReport;
  readonly startedAtMs: number;
  readonly state: TaskWorkerState;
}

/** An order of the leader, and whether the agent's messages let the leader release its run. */
interface LeaderRun {
  readonly run: RunRef;
  readonly workerKey: string;
  readonly order: number;
  readonly releasedBy?: string;
}

interface World {
  readonly nowMs: number;
  readonly agent: RunnerState;
  /** Workers that are up, by address. */
  readonly workers: Readonly<Record<string, ReferenceWorker>>;
  readonly births: number;
  readonly calls: readonly SentCall[];
  readonly late: readonly SentCall[];
  readonly runs: readonly LeaderRun[];
  /** Messages of the leader that the agent has not received yet. */
  readonly replies: readonly LeaderMessage[];
  readonly trace: readonly string[];
  readonly problems: readonly string[];
}

const duration = fc.oneof(fc.nat(400), fc.nat(400), fc.nat(400), fc.nat(4_000));
const command = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('pass' as const), forMs: duration }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('answer' as const), pick: fc.nat(3) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('refuse' as const), pick: fc.nat(3) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('loseReply' as const), pick: fc.nat(3) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('delay' as const), pick: fc.nat(3) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('deliver' as const), pick: fc.nat(3) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('order' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('stopRun' as const), pick: fc.nat(3) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('heartbeat' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('odd' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('twin' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('draining' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const) }) },
);

const end = fc.oneof(
  fc.record({ kind: fc.constant('crash' as const) }),
  fc.record({ kind: fc.constant('start' as const), hasSameId: fc.boolean() }),
);

type Command =
  | (typeof command extends fc.Arbitrary<infer Value> ? Value : never)
  | (typeof end extends fc.Arbitrary<infer Value> ? Value : never);

function clockOf(worker: ReferenceWorker, nowMs: number): number {
  return CLOCK_START_MS + Math.floor((nowMs - worker.startedAtMs) * CLOCK_RATE);
}

function runName({ task, attempt }: RunRef): string {
  return `${task}#${attempt}`;
}

function note(world: World, text: string): World {
  return { ...world, trace: [...world.trace, `${world.nowMs} ${text}`] };
}

/** Returns the runs of all workers at the present time. */
function runningIn({ workers, nowMs }: World): readonly string[] {
  return Object.values(workers).flatMap((worker) =>
    advanceTaskWorker(worker.state, clockOf(worker, nowMs)).runs.valueSeq().map(runName).toArray(),
  );
}

/** Notes the runs that workers run although a message of the agent let the leader release them. */
function checkRuns(world: World): World {
  const running = runningIn(world);
  const problems = world.runs.flatMap(({ run, releasedBy }) =>
    releasedBy !== undefined && running.includes(runName(run))
      ? [`${runName(run)} runs at ${world.nowMs}, released by ${releasedBy}`]
      : [],
  );
  return { ...world, problems: [...world.problems, ...problems] };
}

/** Lets the leader release runs. */
function release(world: World, by: string, isReleased: (run: LeaderRun) => boolean): World {
  const runs = world.runs.map((run) =>
    run.releasedBy === undefined && isReleased(run)
      ? { ...run, releasedBy: `${by} at ${world.nowMs}` }
      : run,
  );
  return { ...world, runs };
}

/** Applies a message of the agent as the leader does. */
function onMessage(before: World, message: RunnerMessage): World {
  const world = note(before, JSON.stringify(message));
  switch (message.kind) {
    case 'workerGone':
      return release(world, 'workerGone', ({ workerKey }) => workerKey === message.workerKey);
    case 'workerEnded': {
      const open = new Set(message.openRuns.map(runName));
      return release(
        world,
        'workerEnded',
        ({ workerKey, run }) => workerKey === message.workerKey && !open.has(runName(run)),
      );
    }
    case 'refused':
      return release(
        world,
        `refused ${message.reason}`,
        ({ workerKey, run }) =>
          workerKey === message.workerKey && runName(run) === runName(message.run),
      );
    case 'report': {
      const { workerKey, clockMs, running, ended, pending, lastOrder } = message;
      const known = new Set([...running, ...ended, ...pending].map(runName));
      const reported = release(
        world,
        'report without the run',
        (run) =>
          run.workerKey === workerKey && run.order <= lastOrder && !known.has(runName(run.run)),
      );
      const sequence = Math.max(0, ...ended.map((listed) => listed.sequence));
      const leaseUntilClockMs = clockMs + GRANT_MS;
      const replies = [
        { kind: 'grant', workerKey, leaseUntilClockMs },
        { kind: 'acknowledge', workerKey, sequence },
      ] as const;
      return { ...reported, replies: [...reported.replies, ...replies] };
    }
    case 'leaderChanged':
      return world;
    default:
      return assertNever(message);
  }
}

function dispatch(world: World, event: RunnerEvent): World {
  const step = stepRunner(world.agent, event, { nowMs: world.nowMs, random: 0 });
  const stepped = step.effects.reduce<World>(
    (current, effect) => {
      switch (effect.kind) {
        case 'call': {
          const sent = { effect, sentAtMs: current.nowMs };
          return { ...current, calls: [...current.calls, sent] };
        }
        case 'send':
          return onMessage(current, effect.message);
        case 'connect':
        case 'askSeed':
        case 'endLookup':
        case 'settled':
        case 'log':
          return current;
        default:
          return assertNever(effect);
      }
    },
    { ...world, agent: step.state },
  );
  const [message, ...replies] = stepped.replies;
  return message === undefined
    ? checkRuns(stepped)
    : dispatch({ ...stepped, replies }, { kind: 'received', message });
}

function receive(world: World, message: LeaderMessage): World {
  return dispatch(world, { kind: 'received', message });
}

function reply(world: World, { effect }: SentCall, result: WorkerCallResult): World {
  const calls = world.calls.filter((call) => call.effect !== effect);
  const known = note({ ...world, calls }, `${effect.callId} ${result.kind}`);
  return dispatch(known, { kind: 'callDone', callId: effect.callId, result });
}

/** Carries a call out at the worker that is up at its address, and returns the result. */
function carryOut(
  world: World,
  { worker: { id, address }, call }: CallEffect,
): { readonly world: World; readonly result: WorkerCallResult } {
  const worker = world.workers[address];
  if (worker === undefined) return { world, result: { kind: 'notListening' } };
  if (worker.report.id !== id) return { world, result: { kind: 'otherWorker' } };
  const { state, result } = callTaskWorker(
    worker.state,
    call,
    clockOf(worker, world.nowMs),
    WORK_MS,
  );
  const workers = { ...world.workers, [address]: { ...worker, state } };
  return { world: checkRuns({ ...world, workers }), result };
}

/** Loses the result of a call that is carried out later, if at all. */
function delay(world: World, call: SentCall): World {
  return reply({ ...world, late: [...world.late, call] }, call, { kind: 'lost' });
}

/** Lets time pass. Calls time out meanwhile, and the agent gets its ticks. */
function pass(world: World, forMs: number): World {
  const steps = Array.from({ length: Math.ceil(forMs / TICK_MS) });
  return steps.reduce<World>((current) => {
    const nowMs = current.nowMs + TICK_MS;
    const late = current.late.filter(({ sentAtMs }) => nowMs - sentAtMs < MAX_LATE_MS);
    const later = { ...current, nowMs, late };
    const overdue = later.calls.filter(
      ({ effect, sentAtMs }) => nowMs - sentAtMs >= effect.timeoutMs,
    );
    return dispatch(overdue.reduce(delay, later), { kind: 'tick' });
  }, world);
}

/** Orders another task at the agent's present worker, as the leader does while it knows it. */
function orderRun(world: World): World {
  const workerKey = world.agent.worker?.workerKey;
  if (workerKey === undefined) return world;
  const order = world.runs.length + 1;
  const run = { task: `job1.0.0.${order}`, attempt: 1 };
  const runs = [...world.runs, { run, workerKey, order }];
  return receive(note({ ...world, runs }, `order ${runName(run)}`), {
    kind: 'start',
    workerKey,
    order,
    run,
    payload: 'work',
  });
}

function stopRun(world: World, pick: number): World {
  const run = world.runs.at(-1 - (pick % Math.max(1, world.runs.length)));
  if (run === undefined) return world;
  return receive(world, { kind: 'stop', workerKey: run.workerKey, run: run.run });
}

function hear(world: World, address: string, changes: Partial<WorkerReport> = {}): World {
  const worker = world.workers[address];
  if (worker === undefined) return world;
  const report = { ...worker.report, sequence: world.nowMs, ...changes };
  return dispatch(note(world, `heartbeat ${workerKeyOf(report)}`), { kind: 'heartbeat', report });
}

function startWorker(world: World, id: string, address: string): World {
  const births = world.births + 1;
  const bornAtMs = REPORT.bornAtMs + births;
  const report = { ...REPORT, id, address, bornAtMs };
  const worker = { report, startedAtMs: world.nowMs, state: createTaskWorker(bornAtMs) };
  const workers = { ...world.workers, [address]: worker };
  return note({ ...world, births, workers }, `start ${workerKeyOf(report)}`);
}

/** Decides what becomes of a call that has no result yet. */
function onCall(
  world: World,
  kind: 'answer' | 'refuse' | 'loseReply' | 'delay',
  pick: number,
): World {
  const call = world.calls[pick % Math.max(1, world.calls.length)];
  if (call === undefined) return world;
  switch (kind) {
    case 'answer': {
      const done = carryOut(world, call.effect);
      return reply(done.world, call, done.result);
    }
    case 'refuse':
      return reply(world, call, { kind: 'notListening' });
    case 'loseReply':
      return reply(carryOut(world, call.effect).world, call, { kind: 'lost' });
    case 'delay':
      return delay(world, call);
    default:
      return assertNever(kind);
  }
}

const ADDRESS = 'w:1';
const TWIN_ADDRESS = 'w:2';

function apply(world: World, step: Command): World {
  switch (step.kind) {
    case 'pass':
      return pass(world, step.forMs);
    case 'order':
      return orderRun(world);
    case 'stopRun':
      return stopRun(world, step.pick);
    case 'heartbeat':
      return hear(world, ADDRESS);
    case 'twin':
      return hear(world, TWIN_ADDRESS);
    case 'odd':
      return hear(world, ADDRESS, { id: 'odd', address: 'w:9', bornAtMs: REPORT.bornAtMs + 99 });
    case 'draining':
      return hear(world, ADDRESS, { isDraining: true });
    case 'leave': {
      const id = world.workers[ADDRESS]?.report.id ?? '';
      return dispatch(note(world, `leave ${id}`), { kind: 'workerLeft', id });
    }
    case 'crash':
      return note({ ...world, workers: without(world.workers, ADDRESS) }, 'crash');
    case 'start':
      return world.workers[ADDRESS] === undefined
        ? startWorker(world, step.hasSameId ? REPORT.id : `i-${world.births + 1}`, ADDRESS)
        : world;
    case 'deliver': {
      const call = world.late[step.pick % Math.max(1, world.late.length)];
      if (call === undefined) return world;
      const late = world.late.filter((other) => other !== call);
      return carryOut(note({ ...world, late }, `late ${call.effect.callId}`), call.effect).world;
    }
    case 'answer':
    case 'refuse':
    case 'loseReply':
    case 'delay':
      return onCall(world, step.kind, step.pick);
    default:
      return assertNever(step);
  }
}

/** Creates an agent with a leader and a worker that has a lease, beside a worker at another address. */
function createWorld(): World {
  const empty: World = {
    nowMs: 1_000,
    agent: createRunner(createLeased().state.settings),
    workers: {},
    births: 0,
    calls: [],
    late: [],
    runs: [],
    replies: [],
    trace: [],
    problems: [],
  };
  const started = startWorker(startWorker(empty, 'i-1', ADDRESS), 'i-2', TWIN_ADDRESS);
  const led = dispatch(started, { kind: 'leader', term: 1, address: LEADER });
  const heard = hear(dispatch(led, { kind: 'linkOpened' }), ADDRESS);
  return pass(onCall(heard, 'answer', 0), TICK_MS);
}

function expectNoneRuns(steps: readonly Command[]): void {
  const world = steps.reduce(apply, createWorld());
  expect(world.problems, world.trace.join('\n')).to.deep.equal([]);
}

const RUNS = { seed: 41, numRuns: 400 };
const MAX_STEPS = 60;

// Guards against signs that a worker can't be reached as proofs that its runs have ended.
it('released runs: no run of a worker that goes on is released while it runs', () => {
  fc.assert(
    fc.property(fc.array(command, { maxLength: MAX_STEPS, size: 'max' }), expectNoneRuns),
    RUNS,
  );
});

// Guards against a run that is released before the end of its worker, or that a later instance begins
// after that.
it('released runs: no run of a worker that ends is released while it runs or may begin', () => {
  const step = fc.oneof({ weight: 12, arbitrary: command }, { weight: 1, arbitrary: end });
  fc.assert(
    fc.property(fc.array(step, { maxLength: MAX_STEPS, size: 'max' }), expectNoneRuns),
    RUNS,
  );
});
