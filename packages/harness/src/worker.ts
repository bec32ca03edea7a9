import type { WorkerEffect } from '@bronzeyoke/ports';
import type { TaskBehaviour, WorkerInput, WorkerOutput } from '@bronzeyoke/standins';
import { nextWorkerAtMs, stepWorker } from '@bronzeyoke/standins';
import type { TaskSpec } from '@bronzeyoke/types';
import { assertNever, taskKey } from '@bronzeyoke/types';
import { z } from 'zod';
import type { AgentProcess, World } from './world';
import { deliver, observe, schedule } from './world';

const TRIP_MS = 0.5;

const behaviourSchema = z.object({
  runMs: z.number(),
  used: z.object({
    processorsMilli: z.number(),
    memoryMb: z.number(),
    accelerators: z.number(),
  }),
  fails: z.boolean(),
});

/** Encodes the actual behaviour of a task as its payload, which the system never reads. */
export function encodeBehaviour(behaviour: TaskBehaviour): string {
  return JSON.stringify(behaviour);
}

/** Decodes the actual behaviour of a task from its payload. */
export function decodeBehaviour(task: TaskSpec): TaskBehaviour {
  return behaviourSchema.parse(JSON.parse(task.payload));
}

function applyOutput(world: World, worker: string, output: WorkerOutput): World {
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
      const { id, epoch, end } = output;
      return observe(world, { kind: 'taskEnded', worker, id, epoch, end: end.kind });
    }
    default:
      return assertNever(output);
  }
}

/**
 * Schedules the next advance of a worker unless one is due before it. Without this check, each command
 * would add a chain of advances, because each schedules the next one while a task runs.
 */
function scheduleAdvance(world: World, worker: string, nextMs: number): World {
  const atMs = Math.max(world.nowMs + 1, nextMs);
  const dueAtMs = world.advanceAtMs.get(worker) ?? 0;
  const isDue = dueAtMs > world.nowMs && dueAtMs <= atMs;
  if (!Number.isFinite(nextMs) || isDue) return world;
  const item = { kind: 'workerStep', worker, input: { kind: 'advance' } } as const;
  const updated = { ...world, advanceAtMs: world.advanceAtMs.set(worker, atMs) };
  return schedule(updated, atMs - world.nowMs, item);
}

/** Steps a worker, and schedules an advance for its next command or end of a task. */
export function applyWorkerInput(world: World, worker: string, input: WorkerInput): World {
  const state = world.workers.get(worker);
  if (state === undefined) return world;
  const step = stepWorker(state, input, world.nowMs);
  const stepped = { ...world, workers: world.workers.set(worker, step.state) };
  const applied = step.effects.reduce(
    (current, output) => applyOutput(current, worker, output),
    stepped,
  );
  return scheduleAdvance(applied, worker, nextWorkerAtMs(step.state));
}

/** Sends an agent's command to the worker beside it. */
export function sendWorkerCommand(world: World, agent: AgentProcess, effect: WorkerEffect): World {
  const { callId, incarnation, command } = effect;
  // The id of the agent is part of the call id, so that the reply can be delivered to it.
  const qualifiedId = `${agent.processId}|${callId}`;
  const input = { kind: 'command', callId: qualifiedId, incarnation, command } as const;
  return schedule(world, TRIP_MS, { kind: 'workerStep', worker: agent.site.worker, input });
}
