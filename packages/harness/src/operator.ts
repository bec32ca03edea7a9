import type { AdminCommand, AdminReply, Result } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import type { World } from './world';
import { deliver, observe } from './world';

/** Sends a command of an operator or a team to an entry. */
export function sendAdminCommand(
  world: World,
  processId: string,
  adminCommand: AdminCommand,
): World {
  const callId = `o${world.sequence}`;
  const event = { kind: 'admin', callId, command: adminCommand } as const;
  const { callerDelayMs } = world.deployment;
  const numbered = { ...world, sequence: world.sequence + 1 };
  return deliver(numbered, processId, { kind: 'entryEvent', event }, callerDelayMs);
}

function recordReply(world: World, processId: string, reply: AdminReply): World {
  const { operatorView } = world;
  switch (reply.kind) {
    case 'ticket': {
      const headNumber = Math.max(operatorView.headNumber, reply.ticket.number);
      return { ...world, operatorView: { ...operatorView, headNumber } };
    }
    case 'configuration': {
      const { number } = reply.configuration;
      return observe(world, { kind: 'configurationShown', processId, number });
    }
    case 'job': {
      const { job } = reply.status;
      const jobs = operatorView.jobs.set(job.jobId, job.team);
      return { ...world, operatorView: { ...operatorView, jobs } };
    }
    case 'tickets':
    case 'where':
    case 'jobs':
    case 'upstreams':
    case 'workers':
      return world;
    default:
      return assertNever(reply);
  }
}

/** Records the reply of an entry to an operator or a team. */
export function receiveAdminReply(
  world: World,
  processId: string,
  result: Result<AdminReply>,
): World {
  if (result.ok) return recordReply(world, processId, result.value);
  const { failure } = result;
  if (failure.kind !== 'conflict') return world;
  const headNumber = Math.max(world.operatorView.headNumber, failure.currentNumber);
  return { ...world, operatorView: { ...world.operatorView, headNumber } };
}
