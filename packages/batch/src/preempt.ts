import type { Resources } from '@bronzeyoke/types';
import { addResources, fitsIn, isDomainIn } from '@bronzeyoke/types';
import { moveTask } from './move';
import { slackMs } from './order';
import type { BatchState, BatchStep, Context, JobRecord, TaskRecord } from './types';

/** A task is evicted at most once in this time. */
const EVICTION_PAUSE_MS = 600_000;

function mayEvict(state: BatchState, task: TaskRecord, { nowMs }: Context): boolean {
  const job = state.jobs.get(task.id.jobId)?.job;
  return (
    task.phase === 'running' &&
    job?.role === 'batch' &&
    job.urgency === 'normal' &&
    nowMs - (task.evictedAtMs ?? -EVICTION_PAUSE_MS) >= EVICTION_PAUSE_MS
  );
}

function makesRoom(
  state: BatchState,
  task: TaskRecord,
  wanted: Resources,
  { world }: Context,
): boolean {
  if (task.claim === undefined) return false;
  const candidate = state.candidates.get(state.agentOf.get(task.claim.worker) ?? '');
  return (
    candidate !== undefined &&
    !candidate.isLeaving &&
    isDomainIn(world.configuration, candidate.profile.domain) &&
    world.workers.get(task.claim.worker)?.isFenced === false &&
    fitsIn(wanted, addResources(candidate.free, task.claim.reserved))
  );
}

/** Asks for the eviction of the batch task with the most slack that makes room for urgent work. */
export function preempt(
  state: BatchState,
  record: JobRecord,
  wanted: Resources,
  context: Context,
): BatchStep | undefined {
  const underWay = state.tasks.count((task) => task.phase === 'evicting');
  // One eviction for each urgent task that waits is enough.
  if (underWay >= record.pending.size) return undefined;
  const wallMs = state.wallOffsetMs + context.nowMs;
  const victims = [...state.byWorker.values()]
    .flatMap((keys) => [...keys])
    .flatMap((key) => state.tasks.get(key) ?? [])
    .filter((task) => mayEvict(state, task, context) && makesRoom(state, task, wanted, context))
    .map((task) => {
      const job = state.jobs.get(task.id.jobId)?.job;
      return { task, slack: job === undefined ? 0 : slackMs(job, state.learned, wallMs) };
    });
  const [most] = victims.sort((left, right) => right.slack - left.slack);
  return most === undefined
    ? undefined
    : moveTask(state, most.task.key, 'evict', { evictedAtMs: context.nowMs }, context);
}
