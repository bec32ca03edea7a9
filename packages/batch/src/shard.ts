import { accepts, advance } from '@bronzeyoke/chart';
import type { PartOutcome } from '@bronzeyoke/commits';
import { assertNever, unchanged, chainAll } from '@bronzeyoke/types';
import type { ShardAction, ShardEvent } from './chart';
import { shardChart } from './chart';
import { SHARD_COUNT, keys } from './keys';
import { startLoad } from './load';
import { queuePart, advanceTask } from './transition';
import { dropJob } from './records';
import type { BatchState, BatchStep, BatchContext, ShardView } from './types';

/** Numbers of all shards. */
export const ALL_SHARDS = Array.from({ length: SHARD_COUNT }, (_, shard) => shard);

/** Returns the shards before the table is read. */
export function initialShards(): readonly ShardView[] {
  return ALL_SHARDS.map((shard) => ({
    shard,
    phase: shardChart.initial,
    ownerEntryId: '',
    ownerEpoch: 0,
    version: 0,
    lease: { version: 0, sinceMs: 0 },
    isReadingInbox: false,
  }));
}

/** Returns the shards in one of the phases. */
export function shardsIn(
  state: BatchState,
  phases: readonly ShardView['phase'][],
): readonly ShardView[] {
  return [...state.shards.values()].filter((view) => phases.includes(view.phase));
}

function dropShard(state: BatchState, shard: number, context: BatchContext): BatchStep {
  const tasks = [...state.tasks.values()].filter((task) => task.shard === shard);
  const step = chainAll(
    state,
    tasks.map((task) => (from) => advanceTask(from, task.key, 'drop', {}, context)),
  );
  const jobs = [...step.state.jobs.values()].filter((job) => job.shard === shard);
  const dropped = jobs.reduce((from, job) => dropJob(from, job.job.jobId), step.state);
  return { state: dropped, effects: step.effects };
}

function performAction(
  state: BatchState,
  view: ShardView,
  action: ShardAction,
  context: BatchContext,
): BatchStep {
  const { shard } = view;
  switch (action) {
    case 'commitTake': {
      const ownerEpoch = view.ownerEpoch + 1;
      const renewalToken = `${state.entryId}-${state.idCount}`;
      const added = queuePart(
        state,
        { kind: 'take', shard },
        {
          conditions: [
            { key: keys.shard(shard), version: view.version },
            { key: keys.shardLease(shard), version: view.lease.version },
          ],
          writes: [
            {
              kind: 'put',
              key: keys.shard(shard),
              value: { ownerEntryId: state.entryId, ownerEpoch },
            },
            { kind: 'put', key: keys.shardLease(shard), value: { ownerEpoch, renewalToken } },
          ],
        },
      );
      const { partId } = added;
      return unchanged({
        ...added.state,
        shards: added.state.shards.set(shard, { ...view, ownerEpoch, partId }),
      });
    }
    case 'commitRelease': {
      const added = queuePart(
        state,
        { kind: 'release', shard },
        {
          conditions: [{ key: keys.shard(shard), version: view.version }],
          writes: [
            {
              kind: 'put',
              key: keys.shard(shard),
              value: { ownerEntryId: '', ownerEpoch: view.ownerEpoch },
            },
          ],
        },
      );
      const { partId } = added;
      return unchanged({
        ...added.state,
        shards: added.state.shards.set(shard, { ...view, partId }),
      });
    }
    case 'load':
      return startLoad(state, shard);
    case 'drop':
      return dropShard(state, shard, context);
    default:
      return assertNever(action);
  }
}

/** Applies an event of the chart to a shard. */
export function advanceShard(
  state: BatchState,
  shard: number,
  event: ShardEvent,
  patch: Partial<Pick<ShardView, 'version' | 'ownerEntryId' | 'ownerEpoch'>>,
  context: BatchContext,
): BatchStep {
  const view = state.shards.get(shard);
  if (view === undefined || !accepts(shardChart, view.phase, event)) return unchanged(state);
  const next = advance(shardChart, view.phase, event);
  const { partId, load, ...rest } = view;
  const moved: ShardView = { ...rest, ...patch, phase: next.state, isReadingInbox: false };
  return chainAll(
    { ...state, shards: state.shards.set(shard, moved) },
    next.actions.map((action) => (from) => performAction(from, moved, action, context)),
  );
}

/** Drops a shard after a transaction showed that another entry owns it. */
export function loseShard(state: BatchState, shard: number, context: BatchContext): BatchStep {
  return advanceShard(state, shard, 'lose', { ownerEntryId: '' }, context);
}

/** Handles the outcome of a takeover. */
export function onTakeOutcome(
  state: BatchState,
  shard: number,
  outcome: PartOutcome,
  context: BatchContext,
): BatchStep {
  const view = state.shards.get(shard);
  if (view?.partId !== outcome.part.partId) return unchanged(state);
  if (outcome.kind !== 'committed') return advanceShard(state, shard, 'refused', {}, context);
  const version = outcome.rows.find((row) => row.key === keys.shard(shard))?.version ?? 0;
  const patch = { version, ownerEntryId: state.entryId };
  const taken = advanceShard(state, shard, 'taken', patch, context);
  // A planned stop that began during the takeover releases the shard like all others.
  return state.isDraining
    ? chainAll(state, [() => taken, (from) => advanceShard(from, shard, 'release', {}, context)])
    : taken;
}

/** Handles the outcome of a release. After a failure the lease of the shard expires. */
export function onReleaseOutcome(
  state: BatchState,
  shard: number,
  outcome: PartOutcome,
  context: BatchContext,
): BatchStep {
  const view = state.shards.get(shard);
  if (view?.partId !== outcome.part.partId) return unchanged(state);
  return advanceShard(
    state,
    shard,
    outcome.kind === 'committed' ? 'released' : 'refused',
    {},
    context,
  );
}
