import type { TaskEnd, WorkerCommand, WorkerReply, WorkerResult } from '@bronzeyoke/ports';
import type { Resources, Step, TaskId, TaskSpec } from '@bronzeyoke/types';
import { assertNever, taskKey } from '@bronzeyoke/types';
import type { Machine, MachineTask, TaskBehaviour, WorkerFaults } from './machine';
import {
  NO_WORKER_FAULTS,
  updateTask,
  checkpointTask,
  createMachine,
  fitsOnMachine,
  laggedUsage,
  nextEndAtMs,
  advanceMachine,
  listRunning,
  setSpeed,
  startTask,
  stopMachineTask,
  throttleTask,
} from './machine';

/** A command that has arrived and has not yet taken effect. */
interface PendingCommand {
  readonly callId: string;
  readonly incarnation: number;
  readonly command: WorkerCommand;
  readonly arrivedAtMs: number;
  readonly dueAtMs: number;
}

/** State of a modelled worker. */
export interface WorkerModel {
  readonly machine: Machine;
  /** The highest incarnation seen. */
  readonly incarnation: number;
  readonly faults: WorkerFaults;
  readonly pending: readonly PendingCommand[];
  readonly behaviourOf: (task: TaskSpec) => TaskBehaviour;
}

/** Inputs of a modelled worker. `advance` only advances time. */
export type WorkerInput =
  | {
      readonly kind: 'command';
      readonly callId: string;
      readonly incarnation: number;
      readonly command: WorkerCommand;
    }
  | { readonly kind: 'faults'; readonly faults: WorkerFaults }
  | { readonly kind: 'advance' };

/** Outputs of a modelled worker: replies, and starts and ends of tasks for test oracles. */
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

type WorkerStep = Step<WorkerModel, WorkerOutput>;

/** Creates a worker without tasks. `behaviourOf` gives the actual behaviour of a task. */
export function createWorkerModel(
  total: Resources,
  behaviourOf: (task: TaskSpec) => TaskBehaviour,
  usageLagMs = 1_000,
): WorkerModel {
  return {
    machine: createMachine(total, usageLagMs),
    incarnation: 0,
    faults: NO_WORKER_FAULTS,
    pending: [],
    behaviourOf,
  };
}

function errorReply(
  command: WorkerCommand,
  result: Extract<WorkerResult<never>, { readonly kind: 'fenced' | 'unavailable' }>,
): WorkerReply {
  return { kind: command.kind, result };
}

type CommandOutcome = Step<WorkerModel, WorkerOutput> & { readonly reply: WorkerReply };

const UNKNOWN_TASK = { kind: 'refused', problem: 'unknownTask' } as const;
const DONE = { kind: 'done', value: undefined } as const;

function createOutcome(state: WorkerModel, machine: Machine, reply: WorkerReply): CommandOutcome {
  return { state: { ...state, machine }, effects: [], reply };
}

function executeStart(
  state: WorkerModel,
  { command, incarnation, arrivedAtMs }: PendingCommand,
  start: Extract<WorkerCommand, { readonly kind: 'start' }>,
  nowMs: number,
): CommandOutcome {
  const { task, epoch, leaseMs, startWithinMs } = start.command;
  const { machine } = state;
  const refuse = (problem: 'tooLate' | 'alreadyRunning' | 'noRoom'): CommandOutcome =>
    createOutcome(state, machine, { kind: start.kind, result: { kind: 'refused', problem } });
  if (command.kind !== 'start' || nowMs - arrivedAtMs >= startWithinMs) return refuse('tooLate');
  if (machine.tasks.has(taskKey(task.id))) return refuse('alreadyRunning');
  if (!fitsOnMachine(machine, task)) return refuse('noRoom');
  const behaviour = state.behaviourOf(task);
  const withRunMs = { ...behaviour, runMs: task.role === 'watcher' ? Infinity : behaviour.runMs };
  const actual = { ...withRunMs, fails: behaviour.fails || state.faults.failsEveryTask };
  // Leases count from the arrival of the command, so that a slow worker does not lengthen them.
  const started = startTask(machine, task, epoch, actual, arrivedAtMs + leaseMs, nowMs);
  const { id, reserved } = task;
  return {
    state: { ...state, machine: started },
    effects: [{ kind: 'taskStarted', id, epoch, incarnation, atMs: nowMs, reserved }],
    reply: { kind: 'start', result: DONE },
  };
}

function renewLeases(machine: Machine, ids: readonly TaskId[], leaseUntilMs: number): Machine {
  return ids.reduce((current, id) => {
    const task = current.tasks.get(taskKey(id));
    return task === undefined ? current : updateTask(current, { ...task, leaseUntilMs });
  }, machine);
}

function executeTaskCommand(
  state: WorkerModel,
  command: Extract<WorkerCommand, { readonly kind: 'checkpoint' | 'throttle' | 'stop' }>,
  task: MachineTask,
  nowMs: number,
): CommandOutcome {
  const { machine } = state;
  switch (command.kind) {
    case 'checkpoint': {
      const saved = checkpointTask(machine, task, nowMs);
      const value = saved.checkpointRef ?? '';
      const result = { kind: 'done', value } as const;
      return createOutcome(state, updateTask(machine, saved), { kind: 'checkpoint', result });
    }
    case 'throttle': {
      const throttled = throttleTask(machine, task, command.share, nowMs);
      return createOutcome(state, updateTask(machine, throttled), {
        kind: 'throttle',
        result: DONE,
      });
    }
    case 'stop':
      return {
        state: { ...state, machine: stopMachineTask(machine, task, nowMs) },
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

function executeCommand(
  state: WorkerModel,
  pending: PendingCommand,
  nowMs: number,
): CommandOutcome {
  const { command, arrivedAtMs } = pending;
  const { machine } = state;
  switch (command.kind) {
    case 'attach': {
      const value = listRunning(machine);
      return createOutcome(state, machine, { kind: 'attach', result: { kind: 'done', value } });
    }
    case 'start':
      return executeStart(state, pending, command, nowMs);
    case 'renew': {
      const isKnown = command.ids.every((id) => machine.tasks.has(taskKey(id)));
      return createOutcome(
        state,
        renewLeases(machine, command.ids, arrivedAtMs + command.leaseMs),
        {
          kind: 'renew',
          result: isKnown ? DONE : UNKNOWN_TASK,
        },
      );
    }
    case 'checkpoint':
    case 'throttle':
    case 'stop': {
      const task = machine.tasks.get(taskKey(command.id));
      return task === undefined
        ? createOutcome(state, machine, { kind: command.kind, result: UNKNOWN_TASK })
        : executeTaskCommand(state, command, task, nowMs);
    }
    case 'usage': {
      const value = laggedUsage(machine, nowMs);
      return createOutcome(state, machine, { kind: 'usage', result: { kind: 'done', value } });
    }
    case 'notices': {
      const value = machine.notices;
      const cleared = { ...machine, notices: [] };
      return createOutcome(state, cleared, { kind: 'notices', result: { kind: 'done', value } });
    }
    default:
      return assertNever(command);
  }
}

function executePending(step: WorkerStep, pending: PendingCommand, nowMs: number): WorkerStep {
  const { state } = step;
  const { callId, command } = pending;
  const { incarnation: highest } = state;
  if (pending.incarnation < highest) {
    const reply = errorReply(command, { kind: 'fenced', incarnation: highest });
    return { state, effects: [...step.effects, { kind: 'reply', callId, reply }] };
  }
  const executed = executeCommand({ ...state, incarnation: pending.incarnation }, pending, nowMs);
  const effects = [...step.effects, ...executed.effects];
  return state.faults.losesReplies
    ? { state: executed.state, effects }
    : {
        state: executed.state,
        effects: [...effects, { kind: 'reply', callId, reply: executed.reply }],
      };
}

function advanceTo(state: WorkerModel, nowMs: number): WorkerStep {
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

/** Advances time and executes the commands that are due, each at its own time. */
function executeDue(state: WorkerModel, nowMs: number): WorkerStep {
  const due = state.pending
    .filter((pending) => pending.dueAtMs <= nowMs)
    .toSorted((left, right) => left.dueAtMs - right.dueAtMs);
  const later = state.pending.filter((pending) => pending.dueAtMs > nowMs);
  const executed = due.reduce<WorkerStep>(
    (step, pending) => {
      const advanced = advanceTo(step.state, pending.dueAtMs);
      const base = { state: advanced.state, effects: [...step.effects, ...advanced.effects] };
      return executePending(base, pending, pending.dueAtMs);
    },
    { state: { ...state, pending: later }, effects: [] },
  );
  const advanced = advanceTo(executed.state, nowMs);
  return { state: advanced.state, effects: [...executed.effects, ...advanced.effects] };
}

/** Returns the time of the worker's next step if no command arrives, or Infinity. */
export function nextWorkerAtMs(state: WorkerModel): number {
  return state.pending.reduce(
    (soonest, { dueAtMs }) => Math.min(soonest, dueAtMs),
    nextEndAtMs(state.machine),
  );
}

/** Steps a modelled worker at an explicit time. Call it again at `nextWorkerAtMs`. */
export function stepWorker(state: WorkerModel, input: WorkerInput, nowMs: number): WorkerStep {
  const advanced = executeDue(state, nowMs);
  switch (input.kind) {
    case 'advance':
      return advanced;
    case 'faults': {
      const machine = setSpeed(advanced.state.machine, input.faults.speed, nowMs);
      return {
        state: { ...advanced.state, machine, faults: input.faults },
        effects: advanced.effects,
      };
    }
    case 'command': {
      const { callId, incarnation, command } = input;
      const { faults } = advanced.state;
      if (faults.isUnavailable) {
        const reply = errorReply(command, { kind: 'unavailable' });
        return { ...advanced, effects: [...advanced.effects, { kind: 'reply', callId, reply }] };
      }
      const dueAtMs = nowMs + faults.delayMs;
      const pending = { callId, incarnation, command, arrivedAtMs: nowMs, dueAtMs };
      const queued = { ...advanced.state, pending: [...advanced.state.pending, pending] };
      const executed = executeDue(queued, nowMs);
      return { state: executed.state, effects: [...advanced.effects, ...executed.effects] };
    }
    default:
      return assertNever(input);
  }
}
