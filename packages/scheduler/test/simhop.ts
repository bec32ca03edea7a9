import type { WorkerCallResult } from '@bronzeyoke/ports';
import type { RunnerEffect } from '@bronzeyoke/runner';
import { assertNever } from '@bronzeyoke/types';
import type { World } from './simnodes';

/** Duration of a call to the worker, and of its reply. */
const CALL_MS = 1;

/** What becomes of an agent's calls to its worker, which goes on with its runs. */
export type HopCalls =
  | 'answered'
  /** Connections are refused, by the worker or on the way. */
  | 'refused'
  /** Calls get lost. */
  | 'lost'
  /** Calls are carried out, and their replies get lost. */
  | 'unanswered';

/** State of the way between an agent and its worker. */
export interface Hop {
  readonly calls: HopCalls;
  readonly hasHeartbeats: boolean;
}

/** State of a hop without faults. */
export const OPEN_HOP: Hop = { calls: 'answered', hasHeartbeats: true };

type CallEffect = Extract<RunnerEffect, { kind: 'call' }>;

/** Carries a call out at the worker that is up when it arrives, also when its agent has ended. */
export function callOverHop(
  world: World,
  machine: string,
  { call, worker, timeoutMs }: CallEffect,
  onResult: (result: WorkerCallResult) => void,
): void {
  const { clock, history } = world;
  const pending = { isDone: false };
  const settle = (result: WorkerCallResult): void => {
    if (pending.isDone) return;
    pending.isDone = true;
    onResult(result);
  };
  const callsNow = (): HopCalls => world.hopOf(machine, worker.address).calls;
  const answer = (result: WorkerCallResult): void =>
    clock.schedule(CALL_MS, () => {
      if (callsNow() === 'answered') settle(result);
    });
  const deliver = (): void => {
    const target = world.workerAt(machine, worker.address);
    if (target?.isUp() !== true) settle({ kind: 'notListening' });
    else if (target.id !== worker.id) settle({ kind: 'otherWorker' });
    else target.call(call, answer, pending.isDone);
  };
  const arrive = (): void => {
    const calls = callsNow();
    switch (calls) {
      case 'answered':
      case 'unanswered':
        deliver();
        return;
      case 'refused':
        settle({ kind: 'notListening' });
        return;
      case 'lost':
        return;
      default:
        assertNever(calls);
    }
  };
  if (call.kind === 'start') {
    const { task, attempt } = call;
    const workerKey = `${worker.id}@${worker.bornAtMs}`;
    history.onStep(workerKey, { task, attempt }, { kind: 'ordered' }, clock.now());
  }
  clock.schedule(timeoutMs, () => settle({ kind: 'lost' }));
  const delayMs = call.kind === 'hold' ? CALL_MS : clock.within(world.orderDelayMs(machine));
  clock.schedule(delayMs, arrive);
}
