import { isBackingOff } from '@bronzeyoke/commits';
import type { ParkReason, Resources } from '@bronzeyoke/types';
import {
  NO_RESOURCES,
  addResources,
  dominantShare,
  drawUniforms,
  fitsIn,
  subtractResources,
  taskKey,
  unchanged,
  chainAll,
} from '@bronzeyoke/types';
import { reservationOf } from './learn';
import { advanceTask } from './transition';
import type { Rank } from './order';
import { compareRanks, rankOf } from './order';
import type { PlacementRequest } from './place';
import { chooseAgent, choosePreemption, rackOf } from './place';
import { HEALTHY, mayOffer, startProbe } from './quarantine';
import { isWithinQuota, quotaOf } from './quota';
import { isOnWorker, usageOf } from './records';
import type {
  BatchState,
  BatchStep,
  Candidate,
  BatchContext,
  JobRecord,
  TaskRecord,
} from './types';

/** Maximum number of offers per tick. */
const OFFERS_PER_TICK = 32;
/** Limit of open offers and claims, so that a slow table does not tie up the fleet. */
const MAX_OPEN_OFFERS = 256;
/** Waiting times and slack change without events, so tasks are ranked again after this time. */
const RESCHEDULE_INTERVAL_MS = 500;
/** An agent gets one preempting offer in this time, however many urgent tasks wait. */
const PREEMPTION_INTERVAL_MS = 1_000;
/** Time that agents need to announce themselves after an entry has started. */
const ANNOUNCE_MS = 60_000;

/** Larger jobs spread over the racks anyway, and counting their tasks takes time. */
const MAX_SPREAD_TASKS = 200;

/** Jobs and reservations that cannot be placed in this tick. */
interface Blocked {
  readonly jobs: ReadonlySet<string>;
  readonly sizes: readonly Resources[];
}

interface Choice {
  readonly record: JobRecord;
  readonly task: TaskRecord;
  readonly reserved: Resources;
  readonly rank: Rank;
}

/** Sums the resources of all known workers, the base of dominant shares. */
function fleetTotal(state: BatchState): Resources {
  return [...state.candidates.values()].reduce(
    (sum, candidate) => addResources(sum, candidate.profile.total),
    NO_RESOURCES,
  );
}

function nextTask(state: BatchState, record: JobRecord, nowMs: number): TaskRecord | undefined {
  const ready = record.pending.find((index) => {
    const task = state.tasks.get(taskKey({ jobId: record.job.jobId, index }));
    return task !== undefined && task.notBeforeMs <= nowMs;
  });
  return ready === undefined
    ? undefined
    : state.tasks.get(taskKey({ jobId: record.job.jobId, index: ready }));
}

function schedulableJobs(state: BatchState): readonly string[] {
  return [...state.jobs.values()]
    .filter(
      ({ job, pending, shard }) =>
        !pending.isEmpty() && !job.cancelled && state.shards.get(shard)?.phase === 'owned',
    )
    .map(({ job }) => job.jobId);
}

function listChoices(
  state: BatchState,
  jobIds: readonly string[],
  blocked: Blocked,
  total: Resources,
  { nowMs }: BatchContext,
): readonly Choice[] {
  const wallMs = state.wallOffsetMs + nowMs;
  return jobIds.flatMap((jobId) => {
    const record = state.jobs.get(jobId);
    if (record === undefined || record.pending.isEmpty() || blocked.jobs.has(jobId)) return [];
    const { job } = record;
    const task = nextTask(state, record, nowMs);
    if (task === undefined) return [];
    const reserved = reservationOf(state.learned, job.workKind, job.declared, task.floor);
    const share = dominantShare(usageOf(state, job.team), total);
    const waitedMs = nowMs - record.waitingSinceMs;
    return [{ record, task, reserved, rank: rankOf(job, state.learned, wallMs, waitedMs, share) }];
  });
}

function countTasksByRack(state: BatchState, record: JobRecord): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  if (record.taskTotal < 2 || record.taskTotal > MAX_SPREAD_TASKS) return counts;
  Array.from({ length: record.taskTotal }, (_, index) =>
    state.tasks.get(taskKey({ jobId: record.job.jobId, index })),
  ).forEach((task) => {
    if (task?.claim === undefined) return;
    if (!isOnWorker(task) && task.phase !== 'offered' && task.phase !== 'claiming') return;
    const candidate = state.candidates.get(state.agentByWorker.get(task.claim.worker) ?? '');
    if (candidate === undefined) return;
    counts.set(rackOf(candidate), (counts.get(rackOf(candidate)) ?? 0) + 1);
  });
  return counts;
}

function acceptsOffers(
  state: BatchState,
  { inputs, nowMs }: BatchContext,
): (candidate: Candidate) => boolean {
  return ({ profile, noOffersUntilMs }) =>
    noOffersUntilMs <= nowMs &&
    inputs.workers.get(profile.worker)?.isFenced === false &&
    mayOffer(state.health.get(profile.worker) ?? HEALTHY, nowMs);
}

function sendOffer(
  state: BatchState,
  choice: Choice,
  candidate: Candidate,
  context: BatchContext,
): BatchStep {
  const { task, reserved } = choice;
  const { worker, domain } = candidate.profile;
  const offerId = `${state.entryId}-${state.idCount}`;
  const health = state.health.get(worker);
  const claim = {
    offerId,
    worker,
    domain,
    reserved,
    offeredAtMs: context.nowMs,
    acceptedAtMs: 0,
    committedAtMs: 0,
  };
  const free = subtractResources(candidate.free, reserved);
  return advanceTask(
    {
      ...state,
      idCount: state.idCount + 1,
      offers: state.offers.set(offerId, task.key),
      candidates: state.candidates.set(candidate.agentId, { ...candidate, free }),
      health: health === undefined ? state.health : state.health.set(worker, startProbe(health)),
    },
    task.key,
    'offer',
    { claim },
    context,
  );
}

/** Returns the agent that holds capacity for an urgent task, or chooses one that has to evict. */
function chooseAgentToPreempt(
  state: BatchState,
  task: TaskRecord,
  request: PlacementRequest,
  random: number,
  context: BatchContext,
): Candidate | undefined {
  const { capacityHold } = task;
  const holder =
    capacityHold !== undefined && capacityHold.untilMs > context.nowMs
      ? state.candidates.get(capacityHold.agentId)
      : undefined;
  return (
    holder ??
    choosePreemption(
      [...state.candidates.values()].filter(
        ({ noPreemptionUntilMs }) => noPreemptionUntilMs <= context.nowMs,
      ),
      request,
      context.inputs.configuration,
      acceptsOffers(state, context),
      random,
    )
  );
}

/** Returns the reason why a task can never be placed with the present quota and workers. */
function parkReasonOf(
  state: BatchState,
  choice: Choice,
  quota: Resources | undefined,
  context: BatchContext,
): ParkReason | undefined {
  const { reserved, record } = choice;
  const { team } = record.job;
  if (quota !== undefined && !fitsIn(reserved, quota)) return { kind: 'overQuota', team };
  const areAgentsKnown =
    context.nowMs - state.startedAtMs > ANNOUNCE_MS && !state.candidates.isEmpty();
  const fitsSomeWorker = state.candidates.some(({ profile }) => fitsIn(reserved, profile.total));
  return areAgentsKnown && !fitsSomeWorker ? { kind: 'tooLarge', wanted: reserved } : undefined;
}

interface Progress {
  readonly jobIds: readonly string[];
  readonly step: BatchStep;
  readonly blocked: Blocked;
  readonly isDone: boolean;
}

function blockJob(blocked: Blocked, jobId: string, size?: Resources): Blocked {
  return {
    jobs: new Set([...blocked.jobs, jobId]),
    sizes: size === undefined ? blocked.sizes : [...blocked.sizes, size],
  };
}

function placeTask(
  state: BatchState,
  choice: Choice,
  blocked: Blocked,
  random: number,
  context: BatchContext,
): { readonly step: BatchStep; readonly blocked: Blocked } {
  const { record, task, reserved } = choice;
  const { job } = record;
  const quota = quotaOf(context.inputs.configuration, job.team);
  const parkReason = parkReasonOf(state, choice, quota, context);
  if (parkReason !== undefined) {
    return { step: advanceTask(state, task.key, 'park', { parkReason }, context), blocked };
  }
  const hasNoRoom = blocked.sizes.some((size) => fitsIn(size, reserved));
  const isOverQuota = !isWithinQuota(quota, usageOf(state, job.team), reserved);
  if (isOverQuota || (hasNoRoom && job.urgency === 'normal')) {
    return { step: unchanged(state), blocked: blockJob(blocked, job.jobId) };
  }
  const request = {
    workKind: job.workKind,
    reserved,
    avoidedWorkers: task.failedOn,
    tasksByRack: countTasksByRack(state, record),
  };
  const candidate = chooseAgent(
    [...state.candidates.values()],
    request,
    context.inputs.configuration,
    acceptsOffers(state, context),
    random,
  );
  if (candidate !== undefined) {
    return { step: sendOffer(state, choice, candidate, context), blocked };
  }
  const preempted =
    job.urgency === 'urgent'
      ? chooseAgentToPreempt(state, task, request, random, context)
      : undefined;
  if (preempted !== undefined) {
    const noPreemptionUntilMs = context.nowMs + PREEMPTION_INTERVAL_MS;
    return {
      step: sendOffer(state, choice, { ...preempted, noPreemptionUntilMs }, context),
      blocked,
    };
  }
  // A task that avoids workers does not show that others have no room.
  const size = task.failedOn.length === 0 ? reserved : undefined;
  return { step: unchanged(state), blocked: blockJob(blocked, job.jobId, size) };
}

function placeNext(progress: Progress, random: number, total: Resources, context: BatchContext) {
  if (progress.isDone) return progress;
  const { state, effects } = progress.step;
  const open = listChoices(state, progress.jobIds, progress.blocked, total, context);
  const best = open.reduce<Choice | undefined>(
    (first, choice) =>
      first === undefined || compareRanks(choice.rank, first.rank) < 0 ? choice : first,
    undefined,
  );
  if (best === undefined || state.offers.size >= MAX_OPEN_OFFERS) {
    return { ...progress, isDone: true };
  }
  const { step, blocked } = placeTask(state, best, progress.blocked, random, context);
  return {
    ...progress,
    step: { state: step.state, effects: [...effects, ...step.effects] },
    blocked,
  };
}

/** Sends offers for the tasks of the first ranks while there is room. */
export function scheduleTasks(state: BatchState, context: BatchContext): BatchStep {
  const { nowMs } = context;
  const isDue = state.needsScheduling || nowMs - state.scheduledAtMs >= RESCHEDULE_INTERVAL_MS;
  // Without the table no claim can be committed, so an offer would only hold resources.
  if (!isDue || state.isDraining || isBackingOff(state.group, nowMs)) return unchanged(state);
  const first: Progress = {
    jobIds: schedulableJobs(state),
    step: unchanged({ ...state, needsScheduling: false, scheduledAtMs: nowMs }),
    blocked: { jobs: new Set(), sizes: [] },
    isDone: false,
  };
  const total = fleetTotal(state);
  const done = drawUniforms(context.random, OFFERS_PER_TICK).reduce<Progress>(
    (progress, random) => placeNext(progress, random, total, context),
    first,
  );
  // The limit per tick is reached, and more tasks may fit.
  return done.isDone
    ? done.step
    : { state: { ...done.step.state, needsScheduling: true }, effects: done.step.effects };
}

/** Withdraws offers that got no reply. */
export function expireOffers(state: BatchState, limitMs: number, context: BatchContext): BatchStep {
  const expired = [...state.offers.values()].filter((key) => {
    const task = state.tasks.get(key);
    return task?.phase === 'offered' && context.nowMs - (task.claim?.offeredAtMs ?? 0) > limitMs;
  });
  return chainAll(
    state,
    expired.map((key) => (from) => advanceTask(from, key, 'decline', {}, context)),
  );
}
