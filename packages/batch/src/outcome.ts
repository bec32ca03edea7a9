import type { PartOutcome } from '@bronzeyoke/commits';
import { addPart } from '@bronzeyoke/commits';
import type { Row } from '@bronzeyoke/ports';
import { assertNever, unchanged, chainAll } from '@bronzeyoke/types';
import { WORKER_PREFIX } from '@bronzeyoke/workers';
import type { TaskEvent } from './chart';
import { onCommandOutcome } from './command';
import { jobOf, keys, taskRowOf } from './keys';
import { onFenceOutcome } from './lease';
import { cancelIfUnwanted, advanceTask } from './transition';
import { putTask } from './records';
import { loseShard, onReleaseOutcome, onTakeOutcome } from './shard';
import type { BatchState, BatchStep, BatchContext, PartPurpose, TaskRecord } from './types';

/** Time after which an agent drops an accepted offer that was not claimed. */
export const OFFER_EXPIRY_MS = 2_000;

type TaskPurpose = Extract<PartPurpose, { readonly kind: 'task' }>;
type Conflict = Extract<PartOutcome, { readonly kind: 'conflict' }>;

function versionOf(rows: readonly Row[], key: string): number {
  return rows.find((row) => row.key === key)?.version ?? 0;
}

function onTaskCommitted(
  state: BatchState,
  task: TaskRecord,
  purpose: TaskPurpose,
  rows: readonly Row[],
  context: BatchContext,
): BatchStep {
  const rowVersion = versionOf(rows, keys.task(task.shard, task.id));
  if (purpose.change !== 'claim') {
    return chainAll(state, [
      (from) => advanceTask(from, task.key, 'recorded', { rowVersion }, context),
      (from) => cancelIfUnwanted(from, task.key, context),
    ]);
  }
  const { claim } = task;
  const job = state.jobs.get(task.id.jobId);
  if (claim === undefined || job === undefined) return unchanged(state);
  const isLate = context.nowMs - claim.acceptedAtMs > OFFER_EXPIRY_MS;
  const isUnwanted = job.job.cancelled || task.id.index >= job.job.taskCount;
  const claimEvent: TaskEvent = isLate ? 'claimLate' : 'claimCommitted';
  const patch = {
    rowVersion,
    epoch: task.epoch + 1,
    claim: { ...claim, committedAtMs: context.nowMs },
  };
  const placed = {
    ...state,
    jobs: state.jobs.set(task.id.jobId, { ...job, waitingSinceMs: context.nowMs }),
  };
  return advanceTask(placed, task.key, isUnwanted ? 'claimVoid' : claimEvent, patch, context);
}

/** Takes the state of a task from its row, after a conflict showed that it was stale. */
function adoptRow(
  state: BatchState,
  task: TaskRecord,
  row: Row | undefined,
  context: BatchContext,
): BatchStep {
  const value = taskRowOf(row) ?? { epoch: 0, state: { kind: 'pending' as const } };
  const { partId, ...rest } = task;
  const adopted: TaskRecord = {
    ...rest,
    phase: value.state.kind === 'claimed' ? 'unconfirmed' : value.state.kind,
    phaseSinceMs: context.nowMs,
    epoch: value.epoch,
    rowVersion: row?.version ?? 0,
  };
  return chainAll(putTask(state, adopted, context.nowMs), [
    (from) => advanceTask(from, task.key, 'sync', {}, context),
    (from) => cancelIfUnwanted(from, task.key, context),
  ]);
}

/** Updates a job from the rows of a conflict: another entry has cancelled it. */
function updateJob(state: BatchState, jobId: string, rows: readonly Row[]): BatchState {
  const record = state.jobs.get(jobId);
  const row = rows.find((candidate) => candidate.key === record?.conditionKey);
  const job = jobOf(row);
  // The row of a watcher applies only together with the whole configuration.
  if (record === undefined || row === undefined || job === undefined) return state;
  return { ...state, jobs: state.jobs.set(jobId, { ...record, job, version: row.version }) };
}

function onTaskConflict(
  state: BatchState,
  task: TaskRecord,
  purpose: TaskPurpose,
  outcome: Conflict,
  context: BatchContext,
): BatchStep {
  const rowKey = keys.task(task.shard, task.id);
  const row = outcome.rows.find((candidate) => candidate.key === rowKey);
  const isRowStale = outcome.failed.some((condition) => condition.key === rowKey);
  const updated = updateJob(state, task.id.jobId, outcome.rows);
  const workers = outcome.rows.filter((candidate) => candidate.key.startsWith(WORKER_PREFIX));
  return chainAll(updated, [
    (from) => ({
      state: from,
      effects: workers.length === 0 ? [] : [{ kind: 'workerRows', rows: workers }],
    }),
    (from) =>
      purpose.change === 'claim'
        ? advanceTask(from, task.key, 'claimRefused', {}, context)
        : unchanged(from),
    (from) => {
      const current = from.tasks.get(task.key);
      return isRowStale && current !== undefined
        ? adoptRow(from, current, row, context)
        : cancelIfUnwanted(from, task.key, context);
    },
  ]);
}

function findLostShards(state: BatchState, outcome: Conflict): readonly number[] {
  const failed = new Map(outcome.failed.map(({ key, version }) => [key, version]));
  return [...state.shards.values()].flatMap((view) =>
    failed.get(keys.shard(view.shard)) === view.version ? [view.shard] : [],
  );
}

function onTaskOutcome(
  state: BatchState,
  purpose: TaskPurpose,
  outcome: PartOutcome,
  context: BatchContext,
): BatchStep {
  const task = state.tasks.get(purpose.key);
  // The shard may have been lost and taken again meanwhile.
  if (task === undefined || task.partId !== outcome.part.partId) return unchanged(state);
  switch (outcome.kind) {
    case 'committed':
      return onTaskCommitted(state, task, purpose, outcome.rows, context);
    case 'conflict':
      return onTaskConflict(state, task, purpose, outcome, context);
    case 'unavailable':
      return purpose.change === 'claim'
        ? chainAll(state, [
            (from) => advanceTask(from, task.key, 'claimRefused', {}, context),
            (from) => cancelIfUnwanted(from, task.key, context),
          ])
        : unchanged({
            ...state,
            parts: state.parts.set(outcome.part.partId, purpose),
            group: addPart(state.group, outcome.part),
          });
    default:
      return assertNever(outcome);
  }
}

/** Handles the outcome of one part of a transaction. */
export function onPartOutcome(
  state: BatchState,
  outcome: PartOutcome,
  context: BatchContext,
): BatchStep {
  const purpose = state.parts.get(outcome.part.partId);
  if (purpose === undefined) return unchanged(state);
  const ended = { ...state, parts: state.parts.delete(outcome.part.partId) };
  const lost = outcome.kind === 'conflict' ? findLostShards(ended, outcome) : [];
  const step = chainAll(
    ended,
    lost.map((shard) => (from: BatchState) => loseShard(from, shard, context)),
  );
  const next = (from: BatchState): BatchStep => {
    switch (purpose.kind) {
      case 'task':
        return onTaskOutcome(from, purpose, outcome, context);
      case 'take':
        return onTakeOutcome(from, purpose.shard, outcome, context);
      case 'release':
        return onReleaseOutcome(from, purpose.shard, outcome, context);
      case 'fence':
        return onFenceOutcome(from, purpose, outcome, context);
      case 'submit':
      case 'cancel':
        return onCommandOutcome(from, purpose, outcome);
      case 'cleanUp':
        return unchanged(from);
      default:
        return assertNever(purpose);
    }
  };
  const done = next(step.state);
  return { state: done.state, effects: [...step.effects, ...done.effects] };
}
