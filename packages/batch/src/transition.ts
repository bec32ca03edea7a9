import { accepts, advance } from '@bronzeyoke/chart';
import { addPart } from '@bronzeyoke/commits';
import type { Condition } from '@bronzeyoke/ports';
import type { ParkReason, TaskRow, TaskSpec } from '@bronzeyoke/types';
import { assertNever, unchanged, chainAll } from '@bronzeyoke/types';
import type { EntryMessage } from '@bronzeyoke/wire';
import { workerKey } from '@bronzeyoke/workers';
import type { TaskAction, TaskEvent } from './chart';
import { taskChart } from './chart';
import { keys } from './keys';
import { slackMs } from './order';
import { putTask } from './records';
import type {
  BatchState,
  BatchStep,
  BatchContext,
  JobRecord,
  PartPurpose,
  TaskRecord,
} from './types';

/** Fields of a task that an event changes besides its phase. */
export type TaskPatch = Partial<
  Pick<
    TaskRecord,
    | 'epoch'
    | 'rowVersion'
    | 'claim'
    | 'checkpointRef'
    | 'resultRef'
    | 'parkReason'
    | 'reportedBy'
    | 'failedOn'
    | 'failures'
    | 'floor'
    | 'notBeforeMs'
    | 'evictedAtMs'
    | 'capacityHold'
  >
>;

/** A task is evicted for urgent work at most once in this time. */
const EVICTION_INTERVAL_MS = 600_000;

const UNKNOWN_REASON: ParkReason = { kind: 'failsEverywhere', failures: 0 };

function checkpointOf(task: TaskRecord): { readonly checkpointRef?: string } {
  return task.checkpointRef === undefined ? {} : { checkpointRef: task.checkpointRef };
}

/** Builds the task specification that an agent needs. */
function specOf(task: TaskRecord, job: JobRecord): TaskSpec | undefined {
  if (task.claim === undefined) return undefined;
  const { team, workKind, role, payload } = job.job;
  const { reserved } = task.claim;
  return { id: task.id, team, workKind, role, reserved, payload, ...checkpointOf(task) };
}

/** Returns whether an offer may evict other tasks, and how long its own task could wait. */
function offerTerms(
  state: BatchState,
  task: TaskRecord,
  { job }: JobRecord,
  nowMs: number,
): { readonly preempts?: true; readonly spareMs?: number } {
  if (job.urgency === 'urgent') return { preempts: true };
  const wasEvictedRecently =
    nowMs - (task.evictedAtMs ?? -EVICTION_INTERVAL_MS) < EVICTION_INTERVAL_MS;
  return job.role === 'watcher' || wasEvictedRecently
    ? {}
    : { spareMs: slackMs(job, state.learned, state.wallOffsetMs + nowMs) };
}

/** Sends a message to the agent of a worker, if it is connected. */
function sendToWorker(
  state: BatchState,
  worker: string | undefined,
  message: EntryMessage,
): BatchStep {
  const agentId = worker === undefined ? undefined : state.agentByWorker.get(worker);
  return agentId === undefined
    ? unchanged(state)
    : { state, effects: [{ kind: 'send', agentId, message }] };
}

/** Adds a part to the next group commit and records its purpose. */
export function queuePart(
  state: BatchState,
  purpose: PartPurpose,
  part: Pick<Parameters<typeof addPart>[1], 'conditions' | 'writes' | 'isSolo'>,
): { readonly state: BatchState; readonly partId: string } {
  const partId = `part-${state.idCount}`;
  return {
    partId,
    state: {
      ...state,
      idCount: state.idCount + 1,
      parts: state.parts.set(partId, purpose),
      group: addPart(state.group, { partId, ...part }),
    },
  };
}

type Change = Extract<PartPurpose, { readonly kind: 'task' }>['change'];

function rowAfter(task: TaskRecord, change: Change): TaskRow {
  const { epoch } = task;
  switch (change) {
    case 'claim': {
      const { worker = '', offerId: claimToken = '' } = task.claim ?? {};
      const state = { kind: 'claimed', worker, claimToken, ...checkpointOf(task) } as const;
      return { epoch: epoch + 1, state };
    }
    case 'release':
      return { epoch, state: { kind: 'pending', ...checkpointOf(task) } };
    case 'finish':
      return { epoch, state: { kind: 'finished', resultRef: task.resultRef ?? '' } };
    case 'cancel':
      return { epoch, state: { kind: 'cancelled' } };
    case 'park':
      return { epoch, state: { kind: 'parked', reason: task.parkReason ?? UNKNOWN_REASON } };
    default:
      return assertNever(change);
  }
}

/** Returns the conditions of a claim: job, domain and worker are unchanged since they were read. */
function claimConditions(
  task: TaskRecord,
  job: JobRecord,
  { inputs }: BatchContext,
): readonly Condition[] {
  if (task.claim === undefined) return [];
  const { worker, domain } = task.claim;
  const domainKey = `domain/${domain}`;
  return [
    { key: job.conditionKey, version: job.version },
    { key: domainKey, version: inputs.versions.get(domainKey) ?? 0 },
    { key: workerKey(worker), version: inputs.workers.get(worker)?.version ?? 0 },
  ];
}

function commitTask(
  state: BatchState,
  task: TaskRecord,
  change: Change,
  context: BatchContext,
): BatchStep {
  const shard = state.shards.get(task.shard);
  const job = state.jobs.get(task.id.jobId);
  if (shard === undefined || job === undefined) return unchanged(state);
  const rowKey = keys.task(task.shard, task.id);
  const added = queuePart(
    state,
    { kind: 'task', key: task.key, change },
    {
      conditions: [
        { key: keys.shard(task.shard), version: shard.version },
        { key: rowKey, version: task.rowVersion },
        ...(change === 'claim' ? claimConditions(task, job, context) : []),
      ],
      writes: [{ kind: 'put', key: rowKey, value: rowAfter(task, change) }],
    },
  );
  const { partId } = added;
  return unchanged(putTask(added.state, { ...task, partId }, context.nowMs));
}

function performAction(
  state: BatchState,
  task: TaskRecord,
  action: TaskAction,
  context: BatchContext,
): BatchStep {
  const { id, epoch, claim } = task;
  switch (action) {
    case 'sendOffer': {
      const job = state.jobs.get(id.jobId);
      const spec = job === undefined ? undefined : specOf(task, job);
      return claim === undefined || job === undefined || spec === undefined
        ? unchanged(state)
        : sendToWorker(state, claim.worker, {
            kind: 'offer',
            offerId: claim.offerId,
            epoch: epoch + 1,
            task: spec,
            ...offerTerms(state, task, job, context.nowMs),
          });
    }
    case 'sendClaimed':
    case 'sendClaimFailed':
      return claim === undefined
        ? unchanged(state)
        : sendToWorker(state, claim.worker, {
            kind: action === 'sendClaimed' ? 'claimed' : 'claimFailed',
            offerId: claim.offerId,
          });
    case 'sendQuery':
      return sendToWorker(state, claim?.worker, { kind: 'askTask', id, epoch });
    case 'sendEvict':
    case 'sendStop': {
      const mode = action === 'sendEvict' ? 'evict' : 'cancel';
      return sendToWorker(state, claim?.worker, { kind: 'stopTask', id, epoch, mode });
    }
    case 'sendRecorded':
      return task.reportedBy === undefined
        ? unchanged(state)
        : {
            state,
            effects: [
              {
                kind: 'send',
                agentId: task.reportedBy,
                message: { kind: 'recorded', id, epoch },
              },
            ],
          };
    case 'commitClaim':
      return commitTask(state, task, 'claim', context);
    case 'commitRelease':
      return commitTask(state, task, 'release', context);
    case 'commitFinish':
      return commitTask(state, task, 'finish', context);
    case 'commitCancel':
      return commitTask(state, task, 'cancel', context);
    case 'commitPark':
      return commitTask(state, task, 'park', context);
    default:
      return assertNever(action);
  }
}

function removeOffer(state: BatchState, task: TaskRecord, before: TaskRecord): BatchState {
  const isOpen = task.phase === 'offered' || task.phase === 'claiming';
  return isOpen || before.claim === undefined || !state.offers.has(before.claim.offerId)
    ? state
    : { ...state, offers: state.offers.delete(before.claim.offerId) };
}

/** Applies a chart event to a task; an event that its phase does not handle changes nothing. */
export function advanceTask(
  state: BatchState,
  key: string,
  event: TaskEvent,
  patch: TaskPatch,
  context: BatchContext,
): BatchStep {
  const task = state.tasks.get(key);
  if (task === undefined || !accepts(taskChart, task.phase, event)) return unchanged(state);
  const next = advance(taskChart, task.phase, event);
  const { partId, ...rest } = task;
  const moved: TaskRecord = {
    ...rest,
    ...patch,
    phase: next.state,
    phaseSinceMs: context.nowMs,
  };
  const stored = removeOffer(putTask(state, moved, context.nowMs), moved, task);
  return chainAll(
    { ...stored, needsScheduling: stored.needsScheduling || moved.phase === 'pending' },
    next.actions.map((action) => (from) => performAction(from, moved, action, context)),
  );
}

/** Cancels a task whose job is cancelled or has fewer tasks now. */
export function cancelIfUnwanted(state: BatchState, key: string, context: BatchContext): BatchStep {
  const task = state.tasks.get(key);
  const job = task === undefined ? undefined : state.jobs.get(task.id.jobId);
  if (task === undefined || job === undefined) return unchanged(state);
  const isUnwanted = job.job.cancelled || task.id.index >= job.job.taskCount;
  return isUnwanted ? advanceTask(state, key, 'cancel', {}, context) : unchanged(state);
}
