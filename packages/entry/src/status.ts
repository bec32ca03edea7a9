import { inFlightAt } from '@bronzeyoke/routing';
import type { UpstreamView } from '@bronzeyoke/routing';
import type { UpstreamStatus, WorkerStatus } from '@bronzeyoke/types';
import type { EntryState } from './types';

function healthOf(view: UpstreamView): string {
  if (view.isLeaving) return 'leaving';
  if (view.presence !== 'present') return view.presence;
  return view.health === 'healthy' ? 'serving' : view.health;
}

/** Returns the status of each upstream from the view of this entry. */
export function upstreamStatuses(state: EntryState): readonly UpstreamStatus[] {
  const { routing } = state.requests;
  return [...routing.upstreams.values()].map((view) => ({
    agentId: view.info.agentId,
    service: view.info.service,
    domain: view.info.domain,
    health: healthOf(view),
    inFlight: inFlightAt(routing, view.info.agentId),
    limit: Math.floor(view.limit),
    latencyMs: view.latencyMs,
  }));
}

/** Returns the status of each connected worker from the view of this entry. */
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
