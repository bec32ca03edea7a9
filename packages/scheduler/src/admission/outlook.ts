import { List, Map } from 'immutable';
import type { JobKind, PoolOutlook, RoomOutlook, WorkKind } from '@bronzeyoke/jobadmission';
import { NO_RATE, recordWork, verdictKey, workRateCores } from '@bronzeyoke/jobadmission';
import { addResources, assertNever, NO_RESOURCES } from '@bronzeyoke/types';
import type { SchedulerState } from '../types';
import type { OpenDemand } from './demand';
import { fillUseMilli, openDemands, poolKey } from './demand';
import { largestLastingRoom, noteRooms, usableRoom } from './rooms';
import type { AdmissionView, KnownWork } from './view';

/** Time over which arrivals are averaged. */
const ARRIVAL_MS = 5_000;
const MILLI_PER_CORE = 1_000;

/** All queues weigh the same, as the configuration names no weights. */
const QUEUE_WEIGHT = 1;

function sum(demands: readonly OpenDemand[], amountOf: (demand: OpenDemand) => number): number {
  return demands.reduce((total, demand) => total + amountOf(demand), 0);
}

/** The open jobs of one queue in a pool. */
interface QueueDemands {
  readonly queue: string;
  readonly priority: number;
  readonly members: readonly OpenDemand[];
}

function byQueue(demands: readonly OpenDemand[]): readonly QueueDemands[] {
  return [...List(demands).groupBy(({ ask }) => ask.queue)].flatMap(([queue, members]) => {
    const first = members.first();
    return first === undefined
      ? []
      : [{ queue, priority: first.priority, members: members.toArray() }];
  });
}

/** Returns the work that each pool has done since the last look. Ended jobs count as done. */
function doneWork(
  { work }: AdmissionView,
  state: SchedulerState,
  leftByJob: Map<string, KnownWork>,
): Map<string, number> {
  return Map<string, number>().withMutations((done) => {
    work.forEach(({ poolKey: key, leftCoreMs }, jobId) => {
      const isCancelled = state.jobs.get(jobId)?.isCancelled === true;
      const nowLeft = leftByJob.get(jobId)?.leftCoreMs ?? 0;
      if (isCancelled || nowLeft >= leftCoreMs) return;
      done.set(key, done.get(key, 0) + leftCoreMs - nowLeft);
    });
  });
}

function nextArrivals(
  view: AdmissionView,
  demands: readonly OpenDemand[],
  forMs: number,
): Map<string, number> {
  // What a first look finds did not arrive just now.
  if (view.sinceMs === undefined || forMs <= 0) return view.arrivals;
  const weight = Math.min(1, forMs / ARRIVAL_MS);
  const fresh = demands.filter(({ jobId }) => !view.work.has(jobId));
  const arrived = fresh.reduce((known, { ask }) => {
    const key = verdictKey(ask.queue, ask.jobKind);
    return known.set(key, known.get(key, 0) + ask.coreMs);
  }, Map<string, number>());
  const keys = [...new Set([...view.arrivals.keys(), ...arrived.keys()])];
  return Map(
    keys.map((key) => {
      const cores = arrived.get(key, 0) / forMs;
      return [key, view.arrivals.get(key, 0) * (1 - weight) + cores * weight] as const;
    }),
  );
}

/** The jobs of one kind in one service. */
interface PoolDemands {
  readonly jobKind: JobKind;
  readonly service: string;
  readonly demands: readonly OpenDemand[];
}

function poolsOf(demands: readonly OpenDemand[]): readonly PoolDemands[] {
  const pools = List(demands).groupBy(({ ask, service }) => poolKey(ask.jobKind, service));
  return [...pools.values()].flatMap((members) => {
    const first = members.first();
    if (first === undefined) return [];
    const { ask, service } = first;
    return [{ jobKind: ask.jobKind, service, demands: members.toArray() }];
  });
}

/** Processors that the tasks of a pool use, and that they lack. */
interface PoolUse {
  readonly usedMilli: number;
  readonly lackedMilli: number;
}

function poolUse({ jobKind, demands }: PoolDemands, fillUse: Map<string, number>): PoolUse {
  const waiting = sum(demands, ({ waitingMilli }) => waitingMilli);
  const running = sum(demands, ({ runningMilli }) => runningMilli);
  switch (jobKind) {
    case 'lasting':
    case 'reserving':
      return { usedMilli: running, lackedMilli: waiting };
    case 'filling': {
      const usedMilli = Math.min(
        running,
        sum(demands, ({ jobId }) => fillUse.get(jobId, 0)),
      );
      return { usedMilli, lackedMilli: waiting + running - usedMilli };
    }
    default:
      return assertNever(jobKind);
  }
}

function workOutlook(
  kind: WorkKind,
  { service, demands }: PoolDemands,
  view: AdmissionView,
  { usedMilli }: PoolUse,
  freeCores: number,
  roomCores: number,
  nowMs: number,
): PoolOutlook {
  const runningCores = usedMilli / MILLI_PER_CORE;
  const atLeastCores = Math.max(runningCores, kind === 'reserving' ? freeCores : 0);
  const rate = view.rates.get(poolKey(kind, service), NO_RATE);
  const rateCores = workRateCores(rate, nowMs, roomCores, atLeastCores);
  return {
    kind,
    service,
    ...(rateCores === undefined ? {} : { rateCores }),
    queues: byQueue(demands).map(({ queue, members, priority }) => ({
      queue,
      priority,
      weight: QUEUE_WEIGHT,
      backlogCoreMs: sum(members, ({ leftCoreMs }) => leftCoreMs),
      arrivalCores: view.arrivals.get(verdictKey(queue, kind), 0),
      horizonMs: sum(members, ({ horizonMs }) => horizonMs) / members.length,
    })),
  };
}

/** What the leader sees, and what it keeps for the next look. */
export interface OutlookStep {
  readonly view: AdmissionView;
  readonly outlook: RoomOutlook;
  readonly demands: readonly OpenDemand[];
}

/** Looks at the room and at what competes for it. It costs a look at each worker and at each open job. */
export function buildOutlook(state: SchedulerState, nowMs: number): OutlookStep {
  const { admission } = state;
  const forMs = admission.sinceMs === undefined ? 0 : nowMs - admission.lookedAtMs;
  const demands = openDemands(state);
  const work = Map(
    demands.map(({ jobId, ask, service, leftCoreMs }) => [
      jobId,
      { poolKey: poolKey(ask.jobKind, service), leftCoreMs },
    ]),
  );
  const done = doneWork(admission, state, work);
  const rooms = noteRooms(admission.rooms, state, nowMs);
  const roomCoresOf = (service: string) =>
    usableRoom(rooms.get(service, []), nowMs).processorsMilli / MILLI_PER_CORE;
  const pools = poolsOf(demands);
  const fillUse = fillUseMilli(state);
  const rates = Map(
    pools.map((pool) => {
      const { jobKind, service } = pool;
      const key = poolKey(jobKind, service);
      const { usedMilli, lackedMilli } = poolUse(pool, fillUse);
      const rate = recordWork(admission.rates.get(key, NO_RATE), {
        nowMs,
        forMs,
        doneCoreMs: done.get(key, 0),
        isContended: lackedMilli > usedMilli,
        roomCores: roomCoresOf(service),
      });
      return [key, rate] as const;
    }),
  );
  const view: AdmissionView = {
    ...admission,
    sinceMs: admission.sinceMs ?? nowMs,
    lookedAtMs: nowMs,
    work,
    rates,
    arrivals: nextArrivals(admission, demands, forMs),
    rooms,
  };
  const reservedIn = (service: string) =>
    demands
      .filter((demand) => demand.service === service)
      .reduce((total, { ask }) => addResources(total, ask.resources), NO_RESOURCES);
  const outlook = pools.map((pool): PoolOutlook => {
    const { jobKind, service } = pool;
    const roomCores = roomCoresOf(service);
    switch (jobKind) {
      case 'lasting': {
        return {
          kind: jobKind,
          service,
          ...largestLastingRoom(rooms.get(service, [])),
          queues: byQueue(pool.demands).map(({ queue, members, priority }) => ({
            queue,
            priority,
            weight: QUEUE_WEIGHT,
            reserved: members.reduce(
              (total, { ask }) => addResources(total, ask.resources),
              NO_RESOURCES,
            ),
          })),
        };
      }
      case 'reserving':
      case 'filling': {
        const freeCores = roomCores - reservedIn(service).processorsMilli / MILLI_PER_CORE;
        const use = poolUse(pool, fillUse);
        return workOutlook(jobKind, pool, view, use, freeCores, roomCores, nowMs);
      }
      default:
        return assertNever(jobKind);
    }
  });
  return { view, outlook, demands };
}
