import { Map } from 'immutable';
import type { RunningTask, TaskEnd, UsageSample, WorkerNotice } from '@bronzeyoke/ports';
import type { Resources, TaskSpec } from '@bronzeyoke/types';
import { NO_RESOURCES, addResources, fitsIn, taskKey } from '@bronzeyoke/types';

/** Actual behaviour of a task, which may differ from what its job declares. */
export interface TaskBehaviour {
  /** Run time at full share and normal speed. Watchers run without end. */
  readonly runMs: number;
  readonly used: Resources;
  readonly fails: boolean;
}

/** Faults of a modelled worker. */
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

/** Faults of a worker that works normally. */
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
  /** Share before the last change, which lagged usage samples still show. */
  readonly previousShare: number;
  readonly shareChangedAtMs: number;
  readonly leaseUntilMs: number;
  /** Set when the task has ended; ended tasks are kept for lagged usage samples. */
  readonly endedAtMs?: number;
  readonly checkpointRef?: string;
}

/** The tasks of a modelled worker, and its notices that no agent has fetched yet. */
export interface Machine {
  readonly total: Resources;
  readonly speed: number;
  readonly usageLagMs: number;
  readonly tasks: Map<string, MachineTask>;
  readonly ended: readonly MachineTask[];
  readonly notices: readonly WorkerNotice[];
}

/** Run time of a task that fails. */
const FAIL_AFTER_MS = 100;

/** Creates a machine without tasks. */
export function createMachine(total: Resources, usageLagMs: number): Machine {
  return { total, speed: 1, usageLagMs, tasks: Map(), ended: [], notices: [] };
}

function workDoneAt(task: MachineTask, speed: number, atMs: number): number {
  return task.workDoneMs + Math.max(0, atMs - task.countedAtMs) * task.share * speed;
}

/** Returns the time when a task finishes, fails or loses its lease, if nothing changes. */
function expectedEndMs(task: MachineTask, speed: number): number {
  const rate = task.share * speed;
  const limitMs = task.behaviour.fails
    ? Math.min(FAIL_AFTER_MS, task.behaviour.runMs)
    : task.behaviour.runMs;
  const leftMs = Math.max(0, limitMs - task.workDoneMs);
  const ownEndMs = rate > 0 ? task.countedAtMs + leftMs / rate : Infinity;
  return Math.min(ownEndMs, task.leaseUntilMs);
}

/** Returns the time when the next task ends if no command arrives, or Infinity. */
export function nextEndAtMs(machine: Machine): number {
  return machine.tasks
    .valueSeq()
    .reduce((soonest, task) => Math.min(soonest, expectedEndMs(task, machine.speed)), Infinity);
}

function createEnd(task: MachineTask, atMs: number): TaskEnd {
  const { checkpointRef, behaviour } = task;
  const checkpoint = checkpointRef === undefined ? {} : { checkpointRef };
  if (atMs >= task.leaseUntilMs) return { kind: 'leaseExpired', ...checkpoint };
  if (behaviour.fails) return { kind: 'failed', ...checkpoint, peak: behaviour.used };
  return {
    kind: 'finished',
    resultRef: `result/${taskKey(task.task.id)}/${task.epoch}`,
    runMs: atMs - task.startedAtMs,
    peak: behaviour.used,
  };
}

function removeTask(machine: Machine, task: MachineTask, atMs: number): Machine {
  const ended = { ...task, endedAtMs: atMs };
  const recent = machine.ended.filter((old) => (old.endedAtMs ?? 0) + machine.usageLagMs > atMs);
  return {
    ...machine,
    tasks: machine.tasks.delete(taskKey(task.task.id)),
    ended: [...recent, ended],
  };
}

/** A task that has ended, with the time and kind of its end. */
export interface EndedTask {
  readonly task: MachineTask;
  readonly atMs: number;
  readonly end: TaskEnd;
}

/** Advances time to `nowMs`: ends the tasks that are due, in order of time. */
export function advanceMachine(
  machine: Machine,
  nowMs: number,
): { readonly machine: Machine; readonly ended: readonly EndedTask[] } {
  const due = machine.tasks
    .valueSeq()
    .map((task) => ({ task, atMs: expectedEndMs(task, machine.speed) }))
    .filter(({ atMs }) => atMs <= nowMs)
    .toArray()
    .toSorted((left, right) => left.atMs - right.atMs);
  const ended = due.map(({ task, atMs }) => ({ task, atMs, end: createEnd(task, atMs) }));
  const updated = ended.reduce(
    (current, { task, atMs }) => removeTask(current, task, atMs),
    machine,
  );
  const notices = ended.map(({ task, end }): WorkerNotice => ({
    kind: 'ended',
    id: task.task.id,
    epoch: task.epoch,
    end,
  }));
  return { machine: { ...updated, notices: [...updated.notices, ...notices] }, ended };
}

/** Changes the speed of all tasks from `nowMs` on. */
export function setSpeed(machine: Machine, speed: number, nowMs: number): Machine {
  const tasks = machine.tasks.map((task) => ({
    ...task,
    workDoneMs: workDoneAt(task, machine.speed, nowMs),
    countedAtMs: nowMs,
  }));
  return { ...machine, tasks, speed };
}

/** Sums the resources that the tasks reserve. */
export function sumReserved(machine: Machine): Resources {
  return machine.tasks
    .valueSeq()
    .reduce((sum, { task }) => addResources(sum, task.reserved), NO_RESOURCES);
}

/**
 * Returns whether another task fits beside the others. A worker does not count the resources of
 * its service.
 */
export function fitsOnMachine(machine: Machine, task: TaskSpec): boolean {
  return fitsIn(addResources(sumReserved(machine), task.reserved), machine.total);
}

/**
 * Returns the work saved by a checkpoint. The reference ends with the work done, so that any worker
 * can resume the task.
 */
export function checkpointedWorkMs(checkpointRef: string | undefined): number {
  const workMs = Number(checkpointRef?.split('/').at(-1) ?? 0);
  return Number.isFinite(workMs) ? workMs : 0;
}

/** Starts a task, or resumes it from its checkpoint. */
export function startTask(
  machine: Machine,
  task: TaskSpec,
  epoch: number,
  behaviour: TaskBehaviour,
  leaseUntilMs: number,
  nowMs: number,
): Machine {
  const { checkpointRef } = task;
  const started: MachineTask = {
    task,
    epoch,
    behaviour,
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

/** Replaces the state of a running task. */
export function updateTask(machine: Machine, task: MachineTask): Machine {
  return { ...machine, tasks: machine.tasks.set(taskKey(task.task.id), task) };
}

/** Saves the work done by a task in a new checkpoint. */
export function checkpointTask(machine: Machine, task: MachineTask, nowMs: number): MachineTask {
  const workDoneMs = workDoneAt(task, machine.speed, nowMs);
  const checkpointRef = `checkpoint/${taskKey(task.task.id)}/${task.epoch}/${Math.floor(workDoneMs)}`;
  return { ...task, workDoneMs, countedAtMs: nowMs, checkpointRef };
}

/** Sets the share of its processors that a task gets. */
export function throttleTask(
  machine: Machine,
  task: MachineTask,
  share: number,
  nowMs: number,
): MachineTask {
  return {
    ...task,
    workDoneMs: workDoneAt(task, machine.speed, nowMs),
    countedAtMs: nowMs,
    previousShare: task.share,
    share,
    shareChangedAtMs: nowMs,
  };
}

/** Stops a task; no notice is queued. */
export function stopMachineTask(machine: Machine, task: MachineTask, nowMs: number): Machine {
  return removeTask(machine, task, nowMs);
}

/** Lists the running tasks, for an agent that attaches. */
export function listRunning(machine: Machine): readonly RunningTask[] {
  return machine.tasks
    .valueSeq()
    .map(({ task, epoch }) => ({ id: task.id, epoch, task }))
    .toArray();
}

function scaleProcessors(used: Resources, share: number): Resources {
  return { ...used, processorsMilli: used.processorsMilli * share };
}

/** Returns the tasks' usage of `usageLagMs` ago. */
export function laggedUsage(machine: Machine, nowMs: number): readonly UsageSample[] {
  const lagMs = machine.usageLagMs;
  const sampledAtMs = nowMs - lagMs;
  return [...machine.tasks.values(), ...machine.ended]
    .filter((task) => task.startedAtMs <= sampledAtMs && (task.endedAtMs ?? Infinity) > sampledAtMs)
    .map(({ task, behaviour, ...running }) => ({
      id: task.id,
      workKind: task.workKind,
      used: scaleProcessors(
        behaviour.used,
        running.shareChangedAtMs <= sampledAtMs ? running.share : running.previousShare,
      ),
      lagMs,
    }));
}
