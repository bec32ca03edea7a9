import { List, Map } from 'immutable';
import type { WorkerReport } from '@bronzeyoke/ports';
import type { Resources } from '@bronzeyoke/types';
import { addResources, NO_RESOURCES, subtractResources } from '@bronzeyoke/types';
import type { SchedulerState } from '../types';
import type { ServiceRoom } from './view';

/** Time for which room that was lost still counts: workers that crash are back after some 3 s. */
const KEEP_MS = 4_000;

/** Returns the reports of the workers that stay, whether tasks may be placed there at this moment or not. */
function usableReports({ workers, domainsOut }: SchedulerState): readonly WorkerReport[] {
  return [...workers.values()].flatMap(({ report, hasEnded = false }) => {
    const isUsable =
      report !== undefined && !hasEnded && !report.isDraining && !domainsOut.has(report.domain);
    return isUsable ? [report] : [];
  });
}

function roomOf(reports: readonly WorkerReport[], nowMs: number): ServiceRoom {
  const room = reports.reduce((sum, { capacity }) => addResources(sum, capacity), NO_RESOURCES);
  const domains = reports.reduce(
    (known, { domain, capacity }) =>
      known.set(domain, addResources(known.get(domain, NO_RESOURCES), capacity)),
    Map<string, Resources>(),
  );
  if (domains.size < 2) return { atMs: nowMs, room };
  const largest = domains.maxBy(({ processorsMilli }) => processorsMilli) ?? NO_RESOURCES;
  return { atMs: nowMs, room, roomAfterLoss: subtractResources(room, largest) };
}

/** Returns the rooms of the last looks by service, with the present ones. */
export function noteRooms(
  known: Map<string, readonly ServiceRoom[]>,
  state: SchedulerState,
  nowMs: number,
): Map<string, readonly ServiceRoom[]> {
  const byService = Map(
    [...List(usableReports(state)).groupBy(({ service }) => service)].map(
      ([service, reports]) => [service, roomOf(reports.toArray(), nowMs)] as const,
    ),
  );
  const services = [...new Set([...known.keys(), ...byService.keys()])];
  return Map(
    services.flatMap((service) => {
      const present = byService.get(service) ?? { atMs: nowMs, room: NO_RESOURCES };
      const recent = known.get(service, []).filter(({ atMs }) => nowMs - atMs < KEEP_MS);
      const isKnown = byService.has(service) || recent.length > 0;
      return isKnown ? [[service, [...recent, present]] as const] : [];
    }),
  );
}

/** Returns the largest of the rooms that a service had lately. */
export function largestRoom(rooms: readonly ServiceRoom[]): ServiceRoom | undefined {
  return rooms.reduce<ServiceRoom | undefined>(
    (best, room) =>
      best === undefined || room.room.processorsMilli >= best.room.processorsMilli ? room : best,
    undefined,
  );
}
