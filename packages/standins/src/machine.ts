import { Map } from 'immutable';
import type { RunningTask, TaskEnd, UsageSample, WorkerNotice } from '@bronzeyoke/ports';
import type { Resources, TaskSpec } from '@bronzeyoke/types';
import { NO_RESOURCES, addResources, fitsIn, taskKey } from '@bronzeyoke/types';

/** What a task really does, whatever was declared of it. */
export interface TaskBehaviour {
  /** Time at full share and normal speed. Watchers have no end. */
  readonly runMs: number;
  readonly used: Resources;
  readonly fails: boolean;
}

/** How a modelled worker misbehaves. */
export interface WorkerFaults {
  /** Time between the arrival of a command and its effect. */
  readonly delayMs: number;
  readonly isUnavailable: boolean;
  /** Commands take effect, but their replies do not arrive. */
  readonly losesReplies: boolean;
  readonly failsEveryTask: boolean;
  /** Work done in a millisecond at full share; 1 is normal. */
  readonly speed: number;
}

/** A worker that behaves. */
export const NO_WORKER_FAULTS: WorkerFaults = {
  delayMs: 0,
  isUnavailable: false,
  losesReplies: false,
  failsEveryTask: false,
  speed: 1,
};

/** A task on a modelled worker. */
export interface MachineTask {
  readonly task: TaskSpec;
  readonly epoch: number;
  readonly behaviour: TaskBehaviour;
  readonly startedAtMs: number;
  /** Work done until `countedAtMs`. */
  readonly workDoneMs: number;
  readonly countedAtMs: number;
  readonly share: number;
  /** The share before the last change, which lagged samples still show. */
  readonly previousShare: number;
  readonly shareChangedAtMs: number;
  readonly leaseUntilMs: number;
  /** Set when the task has ended; it is kept for lagged samples. */
  readonly endedAtMs?: number;
  readonly checkpointRef?: string;
}

/** The tasks of a modelled worker and what it has to tell of them. */
export interface Machine {
  readonly total: Resources;
  readonly speed: number;
  readonly usageLagMs: number;
  readonly tasks: Map<string, MachineTask>;
  readonly ended: readonly MachineTask[];
  readonly notices: readonly WorkerNotice[];
}

/** How long a task that is told to fail runs before it does. */
const FAIL_AFTER_MS = 100;

/** A machine without tasks. */
export function createMachine(total: Resources, usageLagMs: number): Machine {
  return { total, speed: 1, usageLagMs, tasks: Map(), ended: [], notices: [] };
}

function workUntil(task: MachineTask, speed: number, atMs: number): number {
  return task.workDoneMs + Math.max(0, atMs - task.countedAtMs) * task.share * speed;
}

/** When the task ends by itself or by its lease, if nothing changes. */
function endAtMs(task: MachineTask, speed: number): number {
  const rate = task.share * speed;
  const limitMs = task.behaviour.fails
    ? Math.min(FAIL_AFTER_MS, task.behaviour.runMs)
    : task.behaviour.runMs;
  const leftMs = Math.max(0, limitMs - task.workDoneMs);
  const ownEndMs = rate > 0 ? task.countedAtMs + leftMs / rate : Infinity;
  return Math.min(ownEndMs, task.leaseUntilMs);
}

/** When the next task ends if no command arrives. */
export function nextEndAtMs(machine: Machine): number {
  return machine.tasks
    .valueSeq()
    .reduce((soonest, task) => Math.min(soonest, endAtMs(task, machine.speed)), Infinity);
}

function endOf(task: MachineTask, atMs: number): TaskEnd {
  const { checkpointRef, behaviour: truth } = task;
  const kept = checkpointRef === undefined ? {} : { checkpointRef };
  if (atMs >= task.leaseUntilMs) return { kind: 'leaseExpired', ...kept };
  if (truth.fails) return { kind: 'failed', ...kept, peak: truth.used };
  return {
    kind: 'finished',
    resultRef: `result/${taskKey(task.task.id)}/${task.epoch}`,
    runMs: atMs - task.startedAtMs,
    peak: truth.used,
  };
}

function remove(machine: Machine, task: MachineTask, atMs: number): Machine {
  const gone = { ...task, endedAtMs: atMs };
  const recent = machine.ended.filter((old) => (old.endedAtMs ?? 0) + machine.usageLagMs > atMs);
  return {
    ...machine,
    tasks: machine.tasks.delete(taskKey(task.task.id)),
    ended: [...recent, gone],
  };
}

/** A task that ended, as an oracle wants to see it. */
export interface EndedTask {
  readonly task: MachineTask;
  readonly atMs: number;
  readonly end: TaskEnd;
}

/** Lets time pass: ends tasks in the order in which they end. */
export function advanceMachine(
  machine: Machine,
  nowMs: number,
): { readonly machine: Machine; readonly ended: readonly EndedTask[] } {
  const due = machine.tasks
    .valueSeq()
    .map((task) => ({ task, atMs: endAtMs(task, machine.speed) }))
    .filter(({ atMs }) => atMs <= nowMs)
    .toArray()
    .toSorted((left, right) => left.atMs - right.atMs);
  const ended = due.map(({ task, atMs }) => ({ task, atMs, end: endOf(task, atMs) }));
  const left = ended.reduce((current, { task, atMs }) => remove(current, task, atMs), machine);
  const notices = ended.map(({ task, end }): WorkerNotice => ({
    kind: 'ended',
    id: task.task.id,
    epoch: task.epoch,
    end,
  }));
  return { machine: { ...left, notices: [...left.notices, ...notices] }, ended };
}

/** Changes the speed of all tasks from now on. */
export function setSpeed(machine: Machine, speed: number, nowMs: number): Machine {
  const tasks = machine.tasks.map((task) => ({
    ...task,
    doneMs: workUntil(task, machine.speed, nowMs),
    countedAtMs: nowMs,
  }));
  return { ...machine, tasks, speed };
}

/** The sum of what the tasks reserve. */
export function sumReserved(machine: Machine): Resources {
  return machine.tasks
    .valueSeq()
    .reduce((sum, { task }) => addResources(sum, task.reserved), NO_RESOURCES);
}

/** Whether a further task fits beside the others; the service's part is not the worker's business. */
export function hasRoom(machine: Machine, task: TaskSpec): boolean {
  return fitsIn(addResources(sumReserved(machine), task.reserved), machine.total);
}

/** Work kept by a checkpoint: its ref ends with the work done, so that any worker can resume it. */
export function checkpointedWorkMs(checkpointRef: string | undefined): number {
  const kept = Number(checkpointRef?.split('/').at(-1) ?? 0);
  return Number.isFinite(kept) ? kept : 0;
}

/** Starts a task, from its checkpoint if it has one. */
export function startTask(
  machine: Machine,
  task: TaskSpec,
  epoch: number,
  truth: TaskBehaviour,
  leaseUntilMs: number,
  nowMs: number,
): Machine {
  const { checkpointRef } = task;
  const started: MachineTask = {
    task,
    epoch,
    behaviour: truth,
    startedAtMs: nowMs,
    workDoneMs: checkpointedWorkMs(checkpointRef),
    countedAtMs: nowMs,
    share: 1,
    previousShare: 1,
    shareChangedAtMs: nowMs,
    leaseUntilMs,
    ...(checkpointRef === undefined ? {} : { checkpointRef }),
  };
  return { ...machine, tasks: machine.tasks.set(taskKey(task.id), started) };
}

/** Changes a task that runs. */
export function updateTask(machine: Machine, task: MachineTask): Machine {
  return { ...machine, tasks: machine.tasks.set(taskKey(task.task.id), task) };
}

/** Saves the work of a task. */
export function checkpointTask(machine: Machine, task: MachineTask, nowMs: number): MachineTask {
  const doneMs = workUntil(task, machine.speed, nowMs);
  const checkpointRef = `checkpoint/${taskKey(task.task.id)}/${task.epoch}/${Math.floor(doneMs)}`;
  return { ...task, workDoneMs: doneMs, countedAtMs: nowMs, checkpointRef };
}

/** Gives a task a smaller or larger share of its processors. */
export function throttleTask(
  machine: Machine,
  task: MachineTask,
  share: number,
  nowMs: number,
): MachineTask {
  return {
    ...task,
    workDoneMs: workUntil(task, machine.speed, nowMs),
    countedAtMs: nowMs,
    previousShare: task.share,
    share,
    shareChangedAtMs: nowMs,
  };
}

/** Stops a task without a notice. */
export function stopTask(machine: Machine, task: MachineTask, nowMs: number): Machine {
  return remove(machine, task, nowMs);
}

/** What runs now, for an agent that attaches. */
export function listRunning(machine: Machine): readonly RunningTask[] {
  return machine.tasks
    .valueSeq()
    .map(({ task, epoch }) => ({ id: task.id, epoch, task }))
    .toArray();
}

function scaled(used: Resources, share: number): Resources {
  return { ...used, processorsMilli: used.processorsMilli * share };
}

/** What the tasks used some time ago. */
export function laggedUsage(machine: Machine, nowMs: number): readonly UsageSample[] {
  const lagMs = machine.usageLagMs;
  const thenMs = nowMs - lagMs;
  return [...machine.tasks.values(), ...machine.ended]
    .filter((task) => task.startedAtMs <= thenMs && (task.endedAtMs ?? Infinity) > thenMs)
    .map(({ task, behaviour: truth, ...running }) => ({
      id: task.id,
      workKind: task.workKind,
      used: scaled(
        truth.used,
        running.shareChangedAtMs <= thenMs ? running.share : running.previousShare,
      ),
      lagMs,
    }));
}
