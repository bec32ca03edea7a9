import type { TaskEnd, WorkerCommand, WorkerReply, WorkerResult } from '@bronzeyoke/ports';
import type { Resources, Step, TaskId, TaskSpec } from '@bronzeyoke/types';
import { assertNever, taskKey } from '@bronzeyoke/types';
import type { Machine, MachineTask, TaskBehaviour, WorkerFaults } from './machine';
import {
  NO_WORKER_FAULTS,
  updateTask,
  checkpointTask,
  createMachine,
  hasRoom,
  laggedUsage,
  nextEndAtMs,
  advanceMachine,
  listRunning,
  setSpeed,
  startTask,
  stopTask,
  throttleTask,
} from './machine';

/** A command that has arrived and not yet taken effect. */
interface PendingCommand {
  readonly callId: string;
  readonly incarnation: number;
  readonly command: WorkerCommand;
  readonly arrivedAtMs: number;
  readonly dueAtMs: number;
}

/** State of a modelled worker. */
export interface WorkerState {
  readonly machine: Machine;
  /** The highest incarnation seen. */
  readonly incarnation: number;
  readonly faults: WorkerFaults;
  readonly pending: readonly PendingCommand[];
  readonly behaviourOf: (task: TaskSpec) => TaskBehaviour;
}

/** What happens to a modelled worker. `advance` lets time pass. */
export type WorkerInput =
  | {
      readonly kind: 'command';
      readonly callId: string;
      readonly incarnation: number;
      readonly command: WorkerCommand;
    }
  | { readonly kind: 'faults'; readonly faults: WorkerFaults }
  | { readonly kind: 'advance' };

/** What a modelled worker does: replies, and what an oracle may look at. */
export type WorkerOutput =
  | { readonly kind: 'reply'; readonly callId: string; readonly reply: WorkerReply }
  | {
      readonly kind: 'taskStarted';
      readonly id: TaskId;
      readonly epoch: number;
      readonly incarnation: number;
      readonly atMs: number;
      readonly reserved: Resources;
    }
  | {
      readonly kind: 'taskEnded';
      readonly id: TaskId;
      readonly epoch: number;
      readonly atMs: number;
      readonly end: TaskEnd | { readonly kind: 'stopped' };
    };

type WorkerStep = Step<WorkerState, WorkerOutput>;

/** A worker without tasks. `truthOf` says what a task really does. */
export function createWorker(
  total: Resources,
  truthOf: (task: TaskSpec) => TaskBehaviour,
  usageLagMs = 1_000,
): WorkerState {
  return {
    machine: createMachine(total, usageLagMs),
    incarnation: 0,
    faults: NO_WORKER_FAULTS,
    pending: [],
    behaviourOf: truthOf,
  };
}

function failedReply(
  command: WorkerCommand,
  result: Extract<WorkerResult<never>, { readonly kind: 'fenced' | 'unavailable' }>,
): WorkerReply {
  return { kind: command.kind, result };
}

type Act = Step<WorkerState, WorkerOutput> & { readonly reply: WorkerReply };

const UNKNOWN_TASK = { kind: 'refused', problem: 'unknownTask' } as const;
const DONE = { kind: 'done', value: undefined } as const;

function withMachine(state: WorkerState, machine: Machine, reply: WorkerReply): Act {
  return { state: { ...state, machine }, effects: [], reply };
}

function onStart(
  state: WorkerState,
  { command, incarnation, arrivedAtMs }: PendingCommand,
  start: Extract<WorkerCommand, { readonly kind: 'start' }>,
  nowMs: number,
): Act {
  const { task, epoch, leaseMs, startWithinMs } = start.command;
  const { machine } = state;
  const refuse = (problem: 'tooLate' | 'alreadyRunning' | 'noRoom'): Act =>
    withMachine(state, machine, { kind: start.kind, result: { kind: 'refused', problem } });
  if (command.kind !== 'start' || nowMs - arrivedAtMs >= startWithinMs) return refuse('tooLate');
  if (machine.tasks.has(taskKey(task.id))) return refuse('alreadyRunning');
  if (!hasRoom(machine, task)) return refuse('noRoom');
  const truth = state.behaviourOf(task);
  const endless = { ...truth, runMs: task.role === 'watcher' ? Infinity : truth.runMs };
  const real = { ...endless, fails: truth.fails || state.faults.failsEveryTask };
  // Leases count from the arrival of the command, so a slow worker does not lengthen them.
  const started = startTask(machine, task, epoch, real, arrivedAtMs + leaseMs, nowMs);
  const { id, reserved } = task;
  return {
    state: { ...state, machine: started },
    effects: [{ kind: 'taskStarted', id, epoch, incarnation, atMs: nowMs, reserved }],
    reply: { kind: 'start', result: DONE },
  };
}

function renewed(machine: Machine, ids: readonly TaskId[], leaseUntilMs: number): Machine {
  return ids.reduce((current, id) => {
    const task = current.tasks.get(taskKey(id));
    return task === undefined ? current : updateTask(current, { ...task, leaseUntilMs });
  }, machine);
}

function onTask(
  state: WorkerState,
  command: Extract<WorkerCommand, { readonly kind: 'checkpoint' | 'throttle' | 'stop' }>,
  task: MachineTask,
  nowMs: number,
): Act {
  const { machine } = state;
  switch (command.kind) {
    case 'checkpoint': {
      const saved = checkpointTask(machine, task, nowMs);
      const value = saved.checkpointRef ?? '';
      const result = { kind: 'done', value } as const;
      return withMachine(state, updateTask(machine, saved), { kind: 'checkpoint', result });
    }
    case 'throttle': {
      const throttled = throttleTask(machine, task, command.share, nowMs);
      return withMachine(state, updateTask(machine, throttled), { kind: 'throttle', result: DONE });
    }
    case 'stop':
      return {
        state: { ...state, machine: stopTask(machine, task, nowMs) },
        effects: [
          {
            kind: 'taskEnded',
            id: command.id,
            epoch: task.epoch,
            atMs: nowMs,
            end: { kind: 'stopped' },
          },
        ],
        reply: { kind: 'stop', result: DONE },
      };
    default:
      return assertNever(command);
  }
}

function act(state: WorkerState, pending: PendingCommand, nowMs: number): Act {
  const { command, arrivedAtMs } = pending;
  const { machine } = state;
  switch (command.kind) {
    case 'attach': {
      const value = listRunning(machine);
      return withMachine(state, machine, { kind: 'attach', result: { kind: 'done', value } });
    }
    case 'start':
      return onStart(state, pending, command, nowMs);
    case 'renew': {
      const isKnown = command.ids.every((id) => machine.tasks.has(taskKey(id)));
      return withMachine(state, renewed(machine, command.ids, arrivedAtMs + command.leaseMs), {
        kind: 'renew',
        result: isKnown ? DONE : UNKNOWN_TASK,
      });
    }
    case 'checkpoint':
    case 'throttle':
    case 'stop': {
      const task = machine.tasks.get(taskKey(command.id));
      return task === undefined
        ? withMachine(state, machine, { kind: command.kind, result: UNKNOWN_TASK })
        : onTask(state, command, task, nowMs);
    }
    case 'usage': {
      const value = laggedUsage(machine, nowMs);
      return withMachine(state, machine, { kind: 'usage', result: { kind: 'done', value } });
    }
    case 'notices': {
      const value = machine.notices;
      const taken = { ...machine, notices: [] };
      return withMachine(state, taken, { kind: 'notices', result: { kind: 'done', value } });
    }
    default:
      return assertNever(command);
  }
}

function carryOut(step: WorkerStep, pending: PendingCommand, nowMs: number): WorkerStep {
  const { state } = step;
  const { callId, command } = pending;
  const { incarnation: seen } = state;
  if (pending.incarnation < seen) {
    const reply = failedReply(command, { kind: 'fenced', incarnation: seen });
    return { state, effects: [...step.effects, { kind: 'reply', callId, reply }] };
  }
  const done = act({ ...state, incarnation: pending.incarnation }, pending, nowMs);
  const effects = [...step.effects, ...done.effects];
  return state.faults.losesReplies
    ? { state: done.state, effects }
    : { state: done.state, effects: [...effects, { kind: 'reply', callId, reply: done.reply }] };
}

function passUntil(state: WorkerState, nowMs: number): WorkerStep {
  const { machine, ended } = advanceMachine(state.machine, nowMs);
  return {
    state: { ...state, machine },
    effects: ended.map(({ task, atMs, end }) => ({
      kind: 'taskEnded',
      id: task.task.id,
      epoch: task.epoch,
      atMs,
      end,
    })),
  };
}

/** Lets time pass and carries out the commands that are due, each at its own time. */
function settle(state: WorkerState, nowMs: number): WorkerStep {
  const due = state.pending
    .filter((pending) => pending.dueAtMs <= nowMs)
    .toSorted((left, right) => left.dueAtMs - right.dueAtMs);
  const later = state.pending.filter((pending) => pending.dueAtMs > nowMs);
  const acted = due.reduce<WorkerStep>(
    (step, pending) => {
      const passed = passUntil(step.state, pending.dueAtMs);
      const base = { state: passed.state, effects: [...step.effects, ...passed.effects] };
      return carryOut(base, pending, pending.dueAtMs);
    },
    { state: { ...state, pending: later }, effects: [] },
  );
  const passed = passUntil(acted.state, nowMs);
  return { state: passed.state, effects: [...acted.effects, ...passed.effects] };
}

/** When the worker has to be stepped next if no command arrives, or Infinity. */
export function nextWorkerAtMs(state: WorkerState): number {
  return state.pending.reduce(
    (soonest, { dueAtMs }) => Math.min(soonest, dueAtMs),
    nextEndAtMs(state.machine),
  );
}

/** One step of a modelled worker at an explicit time. Call it again at `nextWorkerAtMs`. */
export function stepWorker(state: WorkerState, input: WorkerInput, nowMs: number): WorkerStep {
  const passed = settle(state, nowMs);
  switch (input.kind) {
    case 'advance':
      return passed;
    case 'faults': {
      const machine = setSpeed(passed.state.machine, input.faults.speed, nowMs);
      return {
        state: { ...passed.state, machine, faults: input.faults },
        effects: passed.effects,
      };
    }
    case 'command': {
      const { callId, incarnation, command } = input;
      const { faults } = passed.state;
      if (faults.isUnavailable) {
        const reply = failedReply(command, { kind: 'unavailable' });
        return { ...passed, effects: [...passed.effects, { kind: 'reply', callId, reply }] };
      }
      const dueAtMs = nowMs + faults.delayMs;
      const pending = { callId, incarnation, command, arrivedAtMs: nowMs, dueAtMs };
      const queued = { ...passed.state, pending: [...passed.state.pending, pending] };
      const settled = settle(queued, nowMs);
      return { state: settled.state, effects: [...passed.effects, ...settled.effects] };
    }
    default:
      return assertNever(input);
  }
}
