import { inFlightAt } from '@bronzeyoke/routing';
import type { UpstreamStatus, WorkerStatus } from '@bronzeyoke/types';
import type { EntryState } from './types';

/** The upstreams as this entry sees them. */
export function upstreamStatuses(state: EntryState): readonly UpstreamStatus[] {
  return [...state.requests.routing.upstreams.values()].map(
    ({ info, isLeaving, health, latencyMs, limit }) => ({
      agentId: info.agentId,
      service: info.service,
      domain: info.domain,
      health: isLeaving ? 'leaving' : health,
      inFlight: inFlightAt(state.requests.routing, info.agentId),
      limit,
      latencyMs,
    }),
  );
}

/** The workers as this entry sees them. */
export function workerStatuses(state: EntryState): readonly WorkerStatus[] {
  return [...state.membership.agents.values()].map(
    ({ profile, free, isLeaving, ticketInForce }) => {
      const row = state.workers.rows.get(profile.worker);
      const isRegistered = row !== undefined && !row.isFenced;
      const registered = isRegistered ? 'registered' : 'unregistered';
      return { profile, free, health: isLeaving ? 'leaving' : registered, ticketInForce };
    },
  );
}
