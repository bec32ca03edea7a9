import type { Map } from 'immutable';
import type { WorkerReport } from '@bronzeyoke/ports';
import type { WorkerLoad } from '@bronzeyoke/placement';
import { withReservation, withTasksOf } from '@bronzeyoke/placement';
import type { Resources } from '@bronzeyoke/types';
import { fitsIn, NO_RESOURCES, subtractResources } from '@bronzeyoke/types';
import { isEvacuated } from '../placement/domains';
import { runsOn } from '../runs';
import type { SchedulerState } from '../types';
import type { KnownLoad, KnownLoads, OrphanRun, WorkerView } from '../views';

function emptyLoad(workerKey: string, report: WorkerReport): WorkerLoad {
  const { service, domain, rack, labels, capacity } = report;
  return {
    workerKey,
    service,
    domain,
    rack,
    labels,
    capacity,
    reserved: NO_RESOURCES,
    isOvercommitted: false,
    fillRequestedMilli: 0,
    fillUsedMilli: 0,
    servingImages: [],
    fills: [],
  };
}

/** Returns the load of a worker with its runs and those that have outlived their jobs. */
function computeLoad(
  workerKey: string,
  { report, runs, orphans }: Pick<KnownLoad, 'report' | 'runs' | 'orphans'>,
): WorkerLoad {
  const running = [...runs.values()];
  const stages = [
    ...running.map(({ stage }) => stage),
    ...[...orphans.values()].flatMap(({ stage }) => stage ?? []),
  ];
  const load = withTasksOf(emptyLoad(workerKey, report), stages);
  const fillUsedMilli = running.reduce(
    (sum, { stage, load: usedMilli }) => sum + (stage.fillsIdle ? usedMilli : 0),
    0,
  );
  return { ...load, fillUsedMilli, isOvercommitted: !fitsIn(load.reserved, load.capacity) };
}

/** Returns the reserved part of a worker's load, without the rest of it. */
function reservedBy({ runs, orphans }: Pick<KnownLoad, 'runs' | 'orphans'>): Resources {
  const running = runs.reduce((sum, { stage }) => withReservation(sum, stage), NO_RESOURCES);
  return orphans.reduce(
    (sum, { stage }) => (stage === undefined ? sum : withReservation(sum, stage)),
    running,
  );
}

/** Returns whether a worker has runs of which nothing tells how much room they take. */
function hasUnknownNeeds(orphans: Map<string, OrphanRun>): boolean {
  return orphans.some(({ stage }) => stage === undefined);
}

/** Returns whether a worker has room for all runs that were claimed there. Its room may have shrunk. */
export function hasRoomForClaims(state: SchedulerState, workerKey: string): boolean {
  const report = state.workers.get(workerKey)?.report;
  if (report === undefined) return false;
  const runs = runsOn(state.runs, workerKey);
  const orphans = runsOn(state.orphans, workerKey);
  if (hasUnknownNeeds(orphans)) return false;
  return fitsIn(reservedBy({ runs, orphans }), report.capacity);
}

/** Returns the room of a worker beside all runs that were claimed there; undefined if it is not known. */
export function roomBesideClaims(
  state: Pick<SchedulerState, 'workers' | 'runs' | 'orphans'>,
  workerKey: string,
): Resources | undefined {
  const report = state.workers.get(workerKey)?.report;
  const orphans = runsOn(state.orphans, workerKey);
  if (report === undefined || hasUnknownNeeds(orphans)) return undefined;
  return subtractResources(
    report.capacity,
    reservedBy({ runs: runsOn(state.runs, workerKey), orphans }),
  );
}

/** Returns the report of a worker on which tasks may be placed. */
function usableReport(
  state: SchedulerState,
  {
    workerKey,
    report,
    linkId,
    quarantinedUntilMs,
    hasEnded = false,
    awaitsLapse = false,
    isUnreachable = false,
  }: WorkerView,
  nowMs: number,
): WorkerReport | undefined {
  const isUsable =
    report !== undefined &&
    linkId !== undefined &&
    !hasEnded &&
    !awaitsLapse &&
    !isUnreachable &&
    !report.isDraining &&
    !hasUnknownNeeds(runsOn(state.orphans, workerKey)) &&
    !isEvacuated(state.evacuations, report.domain) &&
    nowMs >= quarantinedUntilMs;
  return isUsable ? report : undefined;
}

/** Returns the known load of a worker as it is now; undefined if it cannot be used. */
function currentLoad(
  state: SchedulerState,
  view: WorkerView,
  passNumber: number,
  nowMs: number,
): KnownLoad | undefined {
  const { workerKey } = view;
  const report = usableReport(state, view, nowMs);
  if (report === undefined) return undefined;
  const known = state.loads.get(workerKey);
  const runs = runsOn(state.runs, workerKey);
  const orphans = runsOn(state.orphans, workerKey);
  const isSame = known?.report === report && known.runs === runs && known.orphans === orphans;
  if (isSame) return known;
  const load = computeLoad(workerKey, { report, runs, orphans });
  const hasTrial = runs.some(({ trial }) => trial !== undefined);
  return { report, runs, orphans, load, hasTrial, sincePass: passNumber };
}

/** Updates the loads of the workers that have changed, and leaves out those that cannot be used. */
export function updateLoads(state: SchedulerState, passNumber: number, nowMs: number): KnownLoads {
  return state.loads.withMutations((loads) => {
    state.loads.forEach((_, workerKey) => {
      if (!state.workers.has(workerKey)) loads.delete(workerKey);
    });
    state.workers.forEach((view, workerKey) => {
      const load = currentLoad(state, view, passNumber, nowMs);
      if (load === undefined) loads.delete(workerKey);
      else loads.set(workerKey, load);
    });
  });
}
