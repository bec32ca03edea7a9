import type { AdminCommand, AdminReply, Result } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import type { World } from './world';
import { deliver, observe } from './world';

/** Gives a command of an operator or a team to an entry. */
export function giveCommand(world: World, processId: string, wanted: AdminCommand): World {
  const callId = `o${world.sequence}`;
  const event = { kind: 'admin', callId, command: wanted } as const;
  const { callerDelayMs } = world.deployment;
  const numbered = { ...world, sequence: world.sequence + 1 };
  return deliver(numbered, processId, { kind: 'entryEvent', event }, callerDelayMs);
}

function learn(world: World, processId: string, reply: AdminReply): World {
  const { office } = world;
  switch (reply.kind) {
    case 'ticket': {
      const headNumber = Math.max(office.headNumber, reply.ticket.number);
      return { ...world, office: { ...office, headNumber } };
    }
    case 'configuration': {
      const { number } = reply.configuration;
      return observe(world, { kind: 'configurationShown', processId, number });
    }
    case 'job': {
      const { job } = reply.status;
      const jobs = office.jobs.set(job.jobId, job.team);
      return { ...world, office: { ...office, jobs } };
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

/** Shows an operator or a team what an entry answered. */
export function hear(world: World, processId: string, result: Result<AdminReply>): World {
  if (result.ok) return learn(world, processId, result.value);
  const { failure } = result;
  if (failure.kind !== 'conflict') return world;
  const headNumber = Math.max(world.office.headNumber, failure.currentNumber);
  return { ...world, office: { ...world.office, headNumber } };
}
