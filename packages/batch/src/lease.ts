import type { PartOutcome } from '@bronzeyoke/commits';
import type { ReadResult } from '@bronzeyoke/ports';
import { unchanged, chainAll } from '@bronzeyoke/types';
import { leaseKey, workerKey, workerRowOf, workerValue } from '@bronzeyoke/workers';
import { sendAccess } from './call';
import { queuePart, advanceTask } from './transition';
import { isOnWorker } from './records';
import type { BatchState, BatchStep, BatchContext, PartPurpose, ObservedVersion } from './types';

/** Worker lease plus a margin: without a renewal for this long the worker runs no tasks. */
const WORKER_TAKEOVER_MS = 32_000;
const WORKERS_PER_READ = 50;

type FencePurpose = Extract<PartPurpose, { readonly kind: 'fence' }>;

/** Reads the lease rows of all workers that hold tasks of the shards of this entry. */
export function readLeases(state: BatchState, context: BatchContext): BatchStep {
  const workers = [...state.byWorker.keys()];
  const pruned = {
    ...state,
    leases: state.leases.filter((_, worker) => state.byWorker.has(worker)),
  };
  const groups = Array.from({ length: Math.ceil(workers.length / WORKERS_PER_READ) }, (_, index) =>
    workers.slice(index * WORKERS_PER_READ, (index + 1) * WORKERS_PER_READ),
  );
  return chainAll(
    pruned,
    groups.map(
      (group) => (from) =>
        sendAccess(
          from,
          { kind: 'leases', workers: group, sentAtMs: context.nowMs },
          {
            kind: 'read',
            keys: group.flatMap((worker) => [workerKey(worker), leaseKey(worker)]),
          },
        ),
    ),
  );
}

/** Releases the tasks of a worker whose claims can no longer run. */
function releaseTasks(
  state: BatchState,
  worker: string,
  isRevoked: (offerId: string, committedAtMs: number) => boolean,
  context: BatchContext,
): BatchStep {
  const released = [...(state.byWorker.get(worker) ?? [])].filter((key) => {
    const task = state.tasks.get(key);
    return (
      task?.claim !== undefined &&
      isOnWorker(task) &&
      isRevoked(task.claim.offerId, task.claim.committedAtMs)
    );
  });
  return chainAll(
    state,
    released.map((key) => (from) => {
      const task = from.tasks.get(key);
      if (task === undefined) return unchanged(from);
      const { reportedBy, ...rest } = task;
      const unreported = { ...from, tasks: from.tasks.set(key, rest) };
      return advanceTask(unreported, key, 'release', {}, context);
    }),
  );
}

function fenceWorker(
  state: BatchState,
  worker: string,
  rows: Extract<ReadResult, { kind: 'rows' }>['rows'],
  context: BatchContext,
): BatchStep {
  const row = rows.find((candidate) => candidate.key === workerKey(worker));
  const lease = rows.find((candidate) => candidate.key === leaseKey(worker));
  const current = workerRowOf(row, context.nowMs);
  const token = `${state.entryId}-${state.idCount}`;
  const offerIds = [...(state.byWorker.get(worker) ?? [])].flatMap(
    (key) => state.tasks.get(key)?.claim?.offerId ?? [],
  );
  const value = workerValue(current.incarnation, current.agentId, true, token);
  const added = queuePart(
    state,
    { kind: 'fence', worker, offerIds },
    {
      isSolo: true,
      conditions: [
        { key: workerKey(worker), version: row?.version ?? 0 },
        { key: leaseKey(worker), version: lease?.version ?? 0 },
      ],
      writes: [{ kind: 'put', key: workerKey(worker), value }],
    },
  );
  return unchanged({ ...added.state, leases: added.state.leases.delete(worker) });
}

/** Compares leases with their last observed versions, and fences workers that stopped renewing. */
export function onLeasesRead(
  state: BatchState,
  workers: readonly string[],
  sentAtMs: number,
  result: ReadResult,
  context: BatchContext,
): BatchStep {
  if (result.kind === 'unavailable') return unchanged(state);
  const { rows } = result;
  return chainAll(
    state,
    workers.map((worker) => (from) => {
      if (!from.byWorker.has(worker)) return unchanged(from);
      const row = rows.find((candidate) => candidate.key === workerKey(worker));
      // A claim that was committed before the row was read cannot run past a fence.
      if (row !== undefined && workerRowOf(row, 0).isFenced) {
        return releaseTasks(from, worker, (_, committedAtMs) => committedAtMs < sentAtMs, context);
      }
      const version = rows.find((candidate) => candidate.key === leaseKey(worker))?.version ?? 0;
      const last = from.leases.get(worker);
      if (last === undefined || last.version !== version) {
        const observed: ObservedVersion = { version, sinceMs: context.nowMs };
        return unchanged({ ...from, leases: from.leases.set(worker, observed) });
      }
      return sentAtMs - last.sinceMs >= WORKER_TAKEOVER_MS
        ? fenceWorker(from, worker, rows, context)
        : unchanged(from);
    }),
  );
}

/** Handles the outcome of a fence: releases the tasks unless the lease was renewed meanwhile. */
export function onFenceOutcome(
  state: BatchState,
  purpose: FencePurpose,
  outcome: PartOutcome,
  context: BatchContext,
): BatchStep {
  if (outcome.kind !== 'committed') return unchanged(state);
  const { worker, offerIds } = purpose;
  const rows = outcome.rows.filter((row) => row.key === workerKey(worker));
  const step = releaseTasks(state, worker, (offerId) => offerIds.includes(offerId), context);
  return { state: step.state, effects: [{ kind: 'workerRows', rows }, ...step.effects] };
}
