import type { ListedRun, WorkerCallResult, WorkerReport } from '@bronzeyoke/ports';
import type { RunnerEffect, RunnerEvent, RunnerState } from '@bronzeyoke/runner';
import { createRunner, stepRunner } from '@bronzeyoke/runner';

/** An agent, the effects of its last step and the time of it. */
export interface Fixture {
  readonly state: RunnerState;
  readonly effects: readonly RunnerEffect[];
  readonly nowMs: number;
}

/** Task of the only order. */
export const TASK = 'job1.0.0.0';
/** Key of the worker in `REPORT`. */
export const KEY = 'i-1@5';
/** Address of the leader. */
export const LEADER = { host: 'h1', port: 1 };

/** Longest lease that the worker accepts. */
export const MAX_LEASE_MS = 10_000;

/** First heartbeat of the worker. */
export const REPORT: WorkerReport = {
  id: 'i-1',
  address: 'w:1',
  bornAtMs: 5,
  service: 'quoter',
  domain: 'north',
  version: 'v1',
  isDraining: false,
  capacity: { processorsMilli: 4_000, memoryMb: 8_000, accelerators: 0 },
  labels: ['a', 'r1'],
  rack: 'r1',
  sequence: 1,
};

/** Applies an event after some time. */
export function dispatch(fixture: Fixture, event: RunnerEvent, afterMs = 10): Fixture {
  const nowMs = fixture.nowMs + afterMs;
  const step = stepRunner(fixture.state, event, { nowMs, random: 0 });
  return { state: step.state, effects: step.effects, nowMs };
}

/** Returns the call id of the open hold, or of the first candidate's call without one. */
export function openHoldOf({ state }: Fixture): string {
  const asked = state.candidates.find(({ callId }) => callId !== undefined);
  return state.holdCallId ?? asked?.callId ?? 'none';
}

/** Answers the open hold, or the first candidate's call without one. */
export function answerHold(
  fixture: Fixture,
  changes: Partial<Extract<WorkerCallResult, { kind: 'done' }>> = {},
): Fixture {
  const callId = openHoldOf(fixture);
  const result = {
    kind: 'done' as const,
    clockMs: fixture.nowMs,
    bornAtMs: 5,
    running: [],
    ended: [],
    ...changes,
  };
  return dispatch(fixture, { kind: 'callDone', callId, result });
}

/** Gives the open hold a result. */
export function endHold(fixture: Fixture, result: WorkerCallResult, afterMs = 10): Fixture {
  const callId = openHoldOf(fixture);
  return dispatch(fixture, { kind: 'callDone', callId, result }, afterMs);
}

/** Refuses the connection of the open hold. */
export function refuseHold(fixture: Fixture): Fixture {
  return endHold(fixture, { kind: 'notListening' });
}

/** Loses the open hold or its reply. */
export function loseHold(fixture: Fixture): Fixture {
  return endHold(fixture, { kind: 'lost' });
}

/** Gives a call a result. */
export function answer(fixture: Fixture, callId: string, result: WorkerCallResult): Fixture {
  return dispatch(fixture, { kind: 'callDone', callId, result });
}

/** Delivers a heartbeat. */
export function hear(fixture: Fixture, report: WorkerReport): Fixture {
  return dispatch(fixture, { kind: 'heartbeat', report });
}

/** Interval between two holds that `repeatHolds` answers. */
const HOLD_STEP_MS = 100;

/** Gives every hold of some time the same kind of result, while the leader replies. Returns each step. */
export function repeatHolds(
  fixture: Fixture,
  forMs: number,
  endOf: (current: Fixture) => Fixture,
): readonly Fixture[] {
  return Array.from({ length: forMs / HOLD_STEP_MS }).reduce<readonly Fixture[]>((steps) => {
    const message = { kind: 'leader', term: 1, ...LEADER } as const;
    const led = dispatch(steps.at(-1) ?? fixture, { kind: 'received', message });
    const ticked = dispatch(led, { kind: 'tick' }, HOLD_STEP_MS - 20);
    const isOpen = ticked.state.holdCallId !== undefined;
    return [...steps, ticked, ...(isOpen ? [endOf(ticked)] : [])];
  }, []);
}

/** Longest time after the last reply until the lease of a worker has ended by its clock. */
const LONGEST_LEASE_MS = 11_000;

/** Refuses the connections of the present worker until its lease has ended. */
export function crash(fixture: Fixture): Fixture {
  const first = fixture.state.holdCallId === undefined ? fixture : refuseHold(fixture);
  const steps = repeatHolds(first, LONGEST_LEASE_MS, refuseHold);
  return steps.find(({ state }) => state.worker === undefined) ?? first;
}

/** Creates an agent with a worker that has replied, a leader and a lease. */
export function createLeased(maxLeaseMs = MAX_LEASE_MS): Fixture {
  const settings = { agentId: 'a1', firstToken: 100, seeds: [LEADER], maxLeaseMs };
  const start = { state: createRunner(settings), effects: [], nowMs: 0 };
  const reported = answerHold(dispatch(start, { kind: 'heartbeat', report: REPORT }));
  const led = dispatch(reported, { kind: 'leader', term: 1, address: LEADER });
  const linked = dispatch(led, { kind: 'linkOpened' });
  const message = { kind: 'grant', workerKey: KEY, leaseUntilClockMs: 5_000 } as const;
  return dispatch(linked, { kind: 'received', message }, 60);
}

/** Delivers a start order for the only task. */
export function order(fixture: Fixture): Fixture {
  const message = {
    kind: 'start',
    workerKey: KEY,
    order: 1,
    run: { task: TASK, attempt: 1 },
    payload: 'work',
  } as const;
  return dispatch(fixture, { kind: 'received', message });
}

/** Returns the id of the call of a kind that the last step made. */
export function callIdOf(fixture: Fixture, kind: string): string {
  const call = fixture.effects.find(
    (effect) => effect.kind === 'call' && effect.call.kind === kind,
  );
  return call?.kind === 'call' ? call.callId : 'none';
}

/** Returns the reports that the last step sent. */
export function reportsOf(fixture: Fixture) {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'report' ? [effect.message] : [],
  );
}

/** The only task as its worker lists it. */
export const LISTED: ListedRun = { task: TASK, attempt: 1, checkpoint: '', percent: 1, load: 0 };

/** Returns the keys of the workers that the last step reported as gone. */
export function goneKeysOf(fixture: Fixture): readonly string[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'workerGone'
      ? [effect.message.workerKey]
      : [],
  );
}

/** Returns the causes of the ends of workers that the last step reported. */
export function goneCausesOf(fixture: Fixture): readonly string[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'workerGone' ? [effect.message.cause] : [],
  );
}
