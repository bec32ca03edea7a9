import type { WorkerEffect } from '@bronzeyoke/ports';
import type { TaskBehaviour, WorkerInput, WorkerOutput } from '@bronzeyoke/standins';
import { nextWorkerAtMs, stepWorker } from '@bronzeyoke/standins';
import type { TaskSpec } from '@bronzeyoke/types';
import { assertNever, taskKey } from '@bronzeyoke/types';
import { z } from 'zod';
import type { AgentProcess, World } from './world';
import { deliver, observe, schedule } from './world';

const TRIP_MS = 0.5;

const truthSchema = z.object({
  runMs: z.number(),
  used: z.object({
    processorsMilli: z.number(),
    memoryMb: z.number(),
    accelerators: z.number(),
  }),
  fails: z.boolean(),
});

/** The payload of a task says what it really does; the system never reads it. */
export function payloadOf(truth: TaskBehaviour): string {
  return JSON.stringify(truth);
}

/** What a task really does. */
export function truthOf(task: TaskSpec): TaskBehaviour {
  return truthSchema.parse(JSON.parse(task.payload));
}

function show(world: World, worker: string, output: WorkerOutput): World {
  switch (output.kind) {
    case 'reply': {
      const [agentId = '', callId = ''] = output.callId.split('|');
      const event = { kind: 'workerDone', callId, reply: output.reply } as const;
      return deliver(world, agentId, { kind: 'agentEvent', event }, TRIP_MS);
    }
    case 'taskStarted': {
      const { id, epoch, reserved } = output;
      const running = world.workers.get(worker)?.machine.tasks.get(taskKey(id));
      const checkpointRef = running?.task.checkpointRef;
      const kind = 'taskStarted';
      return observe(world, { kind, worker, id, epoch, reserved, checkpointRef });
    }
    case 'taskEnded': {
      const { id, epoch } = output;
      return observe(world, { kind: 'taskEnded', worker, id, epoch });
    }
    default:
      return assertNever(output);
  }
}

/**
 * Schedules the next pass of a worker unless one is due before it. A pass for each command would
 * add up: every one of them schedules its successor for as long as a task runs.
 */
function schedulePass(world: World, worker: string, nextMs: number): World {
  const atMs = Math.max(world.nowMs + 1, nextMs);
  const dueAtMs = world.passAtMs.get(worker) ?? 0;
  const isDue = dueAtMs > world.nowMs && dueAtMs <= atMs;
  if (!Number.isFinite(nextMs) || isDue) return world;
  const item = { kind: 'workerStep', worker, input: { kind: 'advance' } } as const;
  const noted = { ...world, passAtMs: world.passAtMs.set(worker, atMs) };
  return schedule(noted, atMs - world.nowMs, item);
}

/** Steps a worker, and comes back when its next command or task is due. */
export function changeWorker(world: World, worker: string, input: WorkerInput): World {
  const state = world.workers.get(worker);
  if (state === undefined) return world;
  const step = stepWorker(state, input, world.nowMs);
  const stepped = { ...world, workers: world.workers.set(worker, step.state) };
  const shown = step.effects.reduce((current, output) => show(current, worker, output), stepped);
  return schedulePass(shown, worker, nextWorkerAtMs(step.state));
}

/** Gives an agent's command to the worker beside it. */
export function commandWorker(world: World, agent: AgentProcess, effect: WorkerEffect): World {
  const { callId, incarnation, command } = effect;
  // The name of the caller goes along with its call, so that the reply finds it.
  const named = `${agent.processId}|${callId}`;
  const input = { kind: 'command', callId: named, incarnation, command } as const;
  return schedule(world, TRIP_MS, { kind: 'workerStep', worker: agent.site.worker, input });
}
