import { List, Map } from 'immutable';
import type { WorkerReport } from '@bronzeyoke/ports';
import type { Resources } from '@bronzeyoke/types';
import { addResources, NO_RESOURCES, subtractResources } from '@bronzeyoke/types';
import { isEvacuated } from '../placement/domains';
import type { SchedulerState } from '../types';
import type { LastingRoom, ServiceRoom } from './view';

/** Time for which room that was lost still counts: workers that crash are back after some 3 s. */
const KEEP_MS = 4_000;

/**
 * The same for lasting tasks, as long as a refused caller is asked to wait at most. A refusal loses the job,
 * while one that waits for a domain to come back starts then.
 */
const LASTING_KEEP_MS = 30_000;

/** Returns the reports of the workers that stay. */
function stayingReports({ workers }: SchedulerState): readonly WorkerReport[] {
  return [...workers.values()].flatMap(({ report, hasEnded = false }) =>
    report !== undefined && !hasEnded && !report.isDraining ? [report] : [],
  );
}

function capacityOf(reports: readonly WorkerReport[]): Resources {
  return reports.reduce((sum, { capacity }) => addResources(sum, capacity), NO_RESOURCES);
}

function lastingRoom(reports: readonly WorkerReport[]): LastingRoom {
  const room = capacityOf(reports);
  const domains = reports.reduce(
    (known, { domain, capacity }) =>
      known.set(domain, addResources(known.get(domain, NO_RESOURCES), capacity)),
    Map<string, Resources>(),
  );
  if (domains.size < 2) return { room };
  const largest = domains.maxBy(({ processorsMilli }) => processorsMilli) ?? NO_RESOURCES;
  return { room, roomAfterLoss: subtractResources(room, largest) };
}

function roomOf(
  reports: readonly WorkerReport[],
  evacuations: SchedulerState['evacuations'],
  nowMs: number,
): ServiceRoom {
  const usable = capacityOf(reports.filter(({ domain }) => !isEvacuated(evacuations, domain)));
  return { atMs: nowMs, usable, lasting: lastingRoom(reports) };
}

const NO_ROOM: Omit<ServiceRoom, 'atMs'> = {
  usable: NO_RESOURCES,
  lasting: { room: NO_RESOURCES },
};

/** Returns the rooms of the last looks by service, with the present ones. */
export function noteRooms(
  known: Map<string, readonly ServiceRoom[]>,
  state: SchedulerState,
  nowMs: number,
): Map<string, readonly ServiceRoom[]> {
  const byService = Map(
    [...List(stayingReports(state)).groupBy(({ service }) => service)].map(
      ([service, reports]) =>
        [service, roomOf(reports.toArray(), state.evacuations, nowMs)] as const,
    ),
  );
  const services = [...new Set([...known.keys(), ...byService.keys()])];
  return Map(
    services.flatMap((service) => {
      const present = byService.get(service) ?? { atMs: nowMs, ...NO_ROOM };
      const recent = known.get(service, []).filter(({ atMs }) => nowMs - atMs < LASTING_KEEP_MS);
      const isKnown = byService.has(service) || recent.length > 0;
      return isKnown ? [[service, [...recent, present]] as const] : [];
    }),
  );
}

/** Returns the largest room that a service had lately, without the failure domains that were out. */
export function usableRoom(rooms: readonly ServiceRoom[], nowMs: number): Resources {
  return rooms
    .filter(({ atMs }) => nowMs - atMs < KEEP_MS)
    .map(({ usable }) => usable)
    .reduce(
      (best, room) => (room.processorsMilli >= best.processorsMilli ? room : best),
      NO_RESOURCES,
    );
}

/** Returns the largest room for lasting tasks that a service had lately. */
export function largestLastingRoom(rooms: readonly ServiceRoom[]): LastingRoom {
  return rooms
    .map(({ lasting }) => lasting)
    .reduce(
      (best, known) => (known.room.processorsMilli >= best.room.processorsMilli ? known : best),
      NO_ROOM.lasting,
    );
}
