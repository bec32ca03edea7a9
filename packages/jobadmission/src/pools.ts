import type { Resources } from '@bronzeyoke/types';
import {
  addResources,
  assertNever,
  dominantShare,
  NO_RESOURCES,
  subtractResources,
} from '@bronzeyoke/types';
import { maxMinShare } from './share';
import type { Allowance, LastingDemand, PoolOutlook, VerdictPhase, WorkDemand } from './types';

/** What one queue has of its pool. A load of 1 means that its share is used up. */
export interface QueueLoad {
  readonly queue: string;
  readonly load: number;
  readonly allowance: Allowance;
  /** Time until the pool has worked off what is over the share; absent if it cannot be told. */
  readonly excessMs?: number;
}

/** Share of the room for lasting tasks from which it counts as short. */
export const SHORT_SHARE = 0.9;

/** Share of the room for lasting tasks up to which it is ample again. */
export const AMPLE_SHARE = 0.85;

/** Returns the load of a queue whose jobs end, beside the others of its pool. */
function workLoad(demand: WorkDemand, queues: readonly WorkDemand[], rateCores: number): QueueLoad {
  const { queue, priority, weight, backlogCoreMs, horizonMs } = demand;
  const urgent = queues
    .filter((other) => other.priority < priority)
    .reduce((sum, other) => sum + other.backlogCoreMs + other.arrivalCores * horizonMs, 0);
  const rivals = queues
    .filter((other) => other !== demand && other.priority === priority)
    .map((other) => ({ weight: other.weight, demand: other.backlogCoreMs }));
  const share = maxMinShare(rateCores * horizonMs - urgent, weight, rivals);
  const left = share - backlogCoreMs;
  // A queue without backlog gets one job in, whatever the others have outstanding.
  const isIdle = backlogCoreMs <= 0;
  return {
    queue,
    load: isIdle ? 0 : backlogCoreMs / Math.max(share, Number.EPSILON),
    allowance: { kind: 'work', coreMs: isIdle ? Math.max(1, left) : Math.max(0, left) },
    ...(rateCores > 0 ? { excessMs: Math.max(0, -left) / rateCores } : {}),
  };
}

/** Returns whether a queue has more than its fair dominant share while a rival of its priority has less. */
function isAboveShare(
  demand: LastingDemand,
  queues: readonly LastingDemand[],
  room: Resources,
): boolean {
  const rivals = queues.filter(({ priority }) => priority === demand.priority);
  const shareOf = ({ reserved, weight }: LastingDemand) => dominantShare(reserved, room) / weight;
  const taken = rivals.reduce((sum, { reserved }) => addResources(sum, reserved), NO_RESOURCES);
  const totalWeight = rivals.reduce((sum, { weight }) => sum + weight, 0);
  const fairShare = dominantShare(taken, room) / totalWeight;
  return shareOf(demand) > fairShare && rivals.some((other) => shareOf(other) < fairShare);
}

function lastingLoads(
  { room, roomAfterLoss, queues }: Extract<PoolOutlook, { kind: 'lasting' }>,
  isLimited: boolean,
): readonly QueueLoad[] {
  const reserved = queues.reduce((sum, queue) => addResources(sum, queue.reserved), NO_RESOURCES);
  const share = dominantShare(reserved, room);
  const isShort = share >= SHORT_SHARE || (isLimited && share > AMPLE_SHARE);
  const counted = isShort ? (roomAfterLoss ?? room) : room;
  const left = subtractResources(counted, reserved);
  return queues.map((demand) => {
    const hasNone = isShort && isAboveShare(demand, queues, room);
    const resources = hasNone ? NO_RESOURCES : left;
    const isUsedUp = hasNone || dominantShare(reserved, counted) >= 1;
    const load = isShort ? Math.max(share, SHORT_SHARE) : share;
    return {
      queue: demand.queue,
      load: isUsedUp ? Math.max(1, load) : load,
      allowance: { kind: 'room', resources },
    };
  });
}

/** Returns the loads of the queues of a pool; none while nothing is known of its room. */
export function poolLoads(
  pool: PoolOutlook,
  phaseOf: (queue: string) => VerdictPhase,
): readonly QueueLoad[] {
  switch (pool.kind) {
    case 'lasting': {
      // Workers that nothing is known of yet may have room.
      if (pool.room.processorsMilli <= 0) return [];
      return lastingLoads(
        pool,
        pool.queues.some(({ queue }) => phaseOf(queue) !== 'open'),
      );
    }
    case 'reserving':
    case 'filling': {
      const { queues, rateCores } = pool;
      return rateCores === undefined
        ? []
        : queues.map((demand) => workLoad(demand, queues, rateCores));
    }
    default:
      return assertNever(pool);
  }
}
