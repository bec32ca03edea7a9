import { otherEntries } from '@bronzeyoke/batch';
import type {
  AdminCommand,
  AdminReply,
  TicketInForce,
  StepInputs,
  Result,
} from '@bronzeyoke/types';
import { assertNever, succeed } from '@bronzeyoke/types';
import { handleBatch, handleTickets } from './control';
import { upstreamStatuses, workerStatuses } from './status';
import type { EntryState, EntryStep } from './types';

function reply(state: EntryState, callId: string, result: Result<AdminReply>): EntryStep {
  return { state, effects: [{ kind: 'adminReply', callId, result }] };
}

/** Lists the ticket number in force at each live entry, and the one that each agent confirmed. */
function listTicketsInForce(state: EntryState, nowMs: number): readonly TicketInForce[] {
  const own: TicketInForce = {
    process: 'entry',
    id: state.entryId,
    domain: state.domain,
    number: state.tickets.configuration.number,
  };
  const agents = [...state.membership.agents.values()].map(
    ({ profile, ticketInForce }): TicketInForce => ({
      process: 'agent',
      id: profile.agentId,
      domain: profile.domain,
      number: ticketInForce,
    }),
  );
  const others = otherEntries(state.batch, nowMs).map(
    ({ entryId, domain, number }): TicketInForce => ({
      process: 'entry',
      id: entryId,
      domain,
      number,
    }),
  );
  return [own, ...others, ...agents];
}

/** Carries out an administration command, or passes it to the tickets or to batch work. */
export function administer(
  state: EntryState,
  callId: string,
  command: AdminCommand,
  inputs: StepInputs,
): EntryStep {
  switch (command.kind) {
    case 'applyTicket':
    case 'listTickets':
    case 'showTicket':
    case 'showConfiguration':
      return handleTickets(state, { kind: 'command', callId, command }, inputs);
    case 'whereTicket':
      return reply(
        state,
        callId,
        succeed({ kind: 'where', processes: listTicketsInForce(state, inputs.nowMs) }),
      );
    case 'submitJob':
    case 'showJob':
    case 'cancelJob':
    case 'listJobs':
      return handleBatch(state, { kind: 'command', callId, command }, inputs);
    case 'listUpstreams':
      return reply(
        state,
        callId,
        succeed({ kind: 'upstreams', upstreams: upstreamStatuses(state) }),
      );
    case 'listWorkers':
      return reply(state, callId, succeed({ kind: 'workers', workers: workerStatuses(state) }));
    default:
      return assertNever(command);
  }
}
