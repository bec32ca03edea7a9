import { assertNever } from '@bronzeyoke/types';
import type { Fleet, FleetEvent } from './world';
import { drawStepUniform, schedule } from './world';

/** Kind of a fault between an agent and its worker, or of another writer. */
export type WorkerFaultKind =
  | 'refuseCalls'
  | 'loseCalls'
  | 'loseReplies'
  | 'callsLate'
  | 'restartWorker'
  | 'leaveWorker'
  | 'oddLeave'
  /** A leave message of another writer while calls get lost. */
  | 'oddLeaveBesideLoss'
  | 'oddDraining'
  /** A draining heartbeat of another writer, and its leave message after that. */
  | 'oddAnnouncedLeave';

/** Faults of workers in a run, of each kind in turn. */
export interface WorkerFaultPlan {
  readonly count: number;
  readonly kinds: readonly WorkerFaultKind[];
}

/** Time from the start of such a fault to the leave message of another writer. */
const ANNOUNCED_MS = 200;

const MIN_MS = 300;
const MAX_MS = 4_000;

/** Returns the events of a fault, in the order of their times. */
function eventsOf(
  fleet: Fleet,
  kind: WorkerFaultKind,
  site: string,
): readonly (readonly [number, FleetEvent])[] {
  const forMs = MIN_MS + Math.floor(drawStepUniform(fleet, 31) * (MAX_MS - MIN_MS));
  const hasHeartbeats = drawStepUniform(fleet, 32) < 0.5;
  switch (kind) {
    case 'refuseCalls':
    case 'loseCalls':
    case 'loseReplies':
      return [[0, { kind: 'faultStart', fault: { kind, site, hasHeartbeats, forMs } }]];
    case 'callsLate':
    case 'restartWorker':
    case 'leaveWorker':
      return [[0, { kind: 'faultStart', fault: { kind, site, forMs } }]];
    case 'oddLeave':
    case 'oddDraining':
      return [[0, { kind, site }]];
    case 'oddLeaveBesideLoss': {
      const fault = { kind: 'loseCalls', site, hasHeartbeats, forMs } as const;
      return [
        [0, { kind: 'faultStart', fault }],
        [ANNOUNCED_MS, { kind: 'oddLeave', site }],
      ];
    }
    case 'oddAnnouncedLeave':
      return [
        [0, { kind: 'oddDraining', site }],
        [ANNOUNCED_MS, { kind: 'oddLeave', site }],
      ];
    default:
      return assertNever(kind);
  }
}

/** Schedules faults of workers at random times between two. */
export function scheduleWorkerFaults(
  fleet: Fleet,
  sites: readonly string[],
  { count, kinds }: WorkerFaultPlan,
  [fromMs, toMs]: readonly [number, number],
): Fleet {
  return Array.from({ length: count }, (_, index) => index).reduce((current, index) => {
    const kind = kinds[index % kinds.length];
    const site = sites[Math.floor(drawStepUniform(current, 33) * sites.length)];
    if (kind === undefined || site === undefined) return current;
    const atMs = fromMs + drawStepUniform(current, 34) * (toMs - fromMs);
    return eventsOf(current, kind, site).reduce(
      (later, [afterMs, event]) => schedule(later, atMs + afterMs, event),
      current,
    );
  }, fleet);
}
