import { accepts, advance } from '@bronzeyoke/chart';
import type { PartOutcome } from '@bronzeyoke/commits';
import type { CommitResult, ReadResult, Row } from '@bronzeyoke/ports';
import { assertNever, unchanged } from '@bronzeyoke/types';
import { z } from 'zod';
import { callStore } from './call';
import type { ShardAction, ShardEvent } from './chart';
import { shardChart } from './chart';
import { SHARD_COUNT, keys } from './keys';
import { beginLoad } from './load';
import { queuePart, transitionTask } from './transition';
import { dropJob, sequence } from './records';
import type { BatchState, BatchStep, Context, ShardView, ObservedVersion } from './types';

/** Lease of a shard and a margin. */
const SHARD_TAKEOVER_MS = 12_000;
/** Rows of entries that are long gone are deleted. */
const FORGET_ENTRY_MS = 60_000;
const ENTRY_PREFIX = 'entry/';
const MAX_ENTRIES = 200;

const ALL_SHARDS = Array.from({ length: SHARD_COUNT }, (_, shard) => shard);

const entrySchema = z.object({ domain: z.string(), number: z.int() });
const ownerSchema = z.object({ ownerEntryId: z.string(), ownerEpoch: z.int() });

/** The shards before the table was read. */
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

/** Shards in one of the phases. */
export function shardsIn(
  state: BatchState,
  phases: readonly ShardView['phase'][],
): readonly ShardView[] {
  return [...state.shards.values()].filter((view) => phases.includes(view.phase));
}

function dropShard(state: BatchState, shard: number, context: Context): BatchStep {
  const tasks = [...state.tasks.values()].filter((task) => task.shard === shard);
  const step = sequence(
    state,
    tasks.map((task) => (from) => transitionTask(from, task.key, 'drop', {}, context)),
  );
  const jobs = [...step.state.jobs.values()].filter((job) => job.shard === shard);
  const dropped = jobs.reduce((from, job) => dropJob(from, job.job.jobId), step.state);
  return { state: dropped, effects: step.effects };
}

function perform(
  state: BatchState,
  view: ShardView,
  action: ShardAction,
  context: Context,
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
      return beginLoad(state, shard);
    case 'drop':
      return dropShard(state, shard, context);
    default:
      return assertNever(action);
  }
}

/** Applies an event of the chart to a shard. */
export function transitionShard(
  state: BatchState,
  shard: number,
  event: ShardEvent,
  patch: Partial<Pick<ShardView, 'version' | 'ownerEntryId' | 'ownerEpoch'>>,
  context: Context,
): BatchStep {
  const view = state.shards.get(shard);
  if (view === undefined || !accepts(shardChart, view.phase, event)) return unchanged(state);
  const next = advance(shardChart, view.phase, event);
  const { partId, load, ...rest } = view;
  const moved: ShardView = { ...rest, ...patch, phase: next.state, isReadingInbox: false };
  return sequence(
    { ...state, shards: state.shards.set(shard, moved) },
    next.actions.map((action) => (from) => perform(from, moved, action, context)),
  );
}

/** A transaction proved that another entry owns the shard. */
export function loseShard(state: BatchState, shard: number, context: Context): BatchStep {
  return transitionShard(state, shard, 'lose', { ownerEntryId: '' }, context);
}

/** Ends a takeover. */
export function onTakeOutcome(
  state: BatchState,
  shard: number,
  outcome: PartOutcome,
  context: Context,
): BatchStep {
  const view = state.shards.get(shard);
  if (view?.partId !== outcome.part.partId) return unchanged(state);
  if (outcome.kind !== 'committed') return transitionShard(state, shard, 'refused', {}, context);
  const version = outcome.rows.find((row) => row.key === keys.shard(shard))?.version ?? 0;
  const patch = { version, ownerEntryId: state.entryId };
  const taken = transitionShard(state, shard, 'taken', patch, context);
  // A planned stop that began during the takeover releases the shard like all others.
  return state.isDraining
    ? sequence(state, [() => taken, (from) => transitionShard(from, shard, 'release', {}, context)])
    : taken;
}

/** Ends the return of a shard. After a failure its lease runs out. */
export function onReleaseOutcome(
  state: BatchState,
  shard: number,
  outcome: PartOutcome,
  context: Context,
): BatchStep {
  const view = state.shards.get(shard);
  if (view?.partId !== outcome.part.partId) return unchanged(state);
  return transitionShard(
    state,
    shard,
    outcome.kind === 'committed' ? 'released' : 'refused',
    {},
    context,
  );
}

/** Reads who lives and who owns what, and renews what this entry owns. */
export function refreshOwnership(state: BatchState, context: Context): BatchStep {
  const owned = shardsIn(state, ['loading', 'owned']);
  const token = `${state.entryId}-${state.idCount}`;
  const { number } = context.inputs.configuration;
  return sequence(state, [
    (from) =>
      callStore(
        from,
        { kind: 'entries' },
        { kind: 'scan', prefix: ENTRY_PREFIX, afterKey: '', limit: MAX_ENTRIES },
      ),
    (from) =>
      callStore(
        from,
        { kind: 'shards' },
        { kind: 'read', keys: ALL_SHARDS.flatMap((k) => [keys.shard(k), keys.shardLease(k)]) },
      ),
    (from) =>
      from.isDraining
        ? unchanged(from)
        : callStore(
            from,
            { kind: 'renew', shards: owned.map((view) => view.shard) },
            {
              kind: 'commit',
              isRenewal: true,
              transaction: {
                conditions: owned.map(({ shard, version }) => ({
                  key: keys.shard(shard),
                  version,
                })),
                writes: [
                  {
                    kind: 'put',
                    key: keys.entry(from.entryId),
                    value: { domain: from.domain, number, token },
                  },
                  ...owned.map(({ shard, ownerEpoch }) => ({
                    kind: 'put' as const,
                    key: keys.shardLease(shard),
                    value: { ownerEpoch, renewalToken: token },
                  })),
                ],
              },
            },
          ),
  ]);
}

function observeVersion(
  seen: ObservedVersion | undefined,
  version: number,
  nowMs: number,
): ObservedVersion {
  return seen !== undefined && seen.version === version ? seen : { version, sinceMs: nowMs };
}

/** Takes note of the entries that live, and deletes the rows of those long gone. */
export function onEntriesRead(state: BatchState, result: ReadResult, context: Context): BatchStep {
  if (result.kind === 'unavailable') return unchanged(state);
  const entryRows = state.entryRows.withMutations((draft) => {
    const present = new Set(result.rows.map((row) => row.key));
    state.entryRows.forEach((_, key) => {
      if (!present.has(key)) draft.delete(key);
    });
    result.rows.forEach((row) => {
      const { domain = '', number = 0 } = entrySchema.safeParse(row.value).data ?? {};
      const sighting = observeVersion(draft.get(row.key), row.version, context.nowMs);
      draft.set(row.key, { ...sighting, domain, number });
    });
  });
  const gone = [...entryRows].filter(
    ([, sighting]) => context.nowMs - sighting.sinceMs > FORGET_ENTRY_MS,
  );
  const cleaned = gone.reduce(
    (from, [key, sighting]) =>
      queuePart(
        { ...from, entryRows: from.entryRows.delete(key) },
        { kind: 'cleanUp' },
        {
          conditions: [{ key, version: sighting.version }],
          writes: [{ kind: 'delete', key }],
        },
      ).state,
    { ...state, entryRows, areEntriesKnown: true },
  );
  return unchanged(cleaned);
}

/** The other entries that have renewed their rows lately, with the number in force there. */
export function otherEntries(
  state: BatchState,
  nowMs: number,
): readonly { readonly entryId: string; readonly domain: string; readonly number: number }[] {
  return [...state.entryRows].flatMap(([key, { sinceMs, domain, number }]) =>
    key !== keys.entry(state.entryId) && nowMs - sinceMs <= SHARD_TAKEOVER_MS
      ? [{ entryId: key.slice(ENTRY_PREFIX.length), domain, number }]
      : [],
  );
}

/** How many shards each entry should own. */
export function fairShare(state: BatchState, nowMs: number): number {
  return Math.ceil(SHARD_COUNT / (otherEntries(state, nowMs).length + 1));
}

function observeShard(view: ShardView, rows: readonly Row[], nowMs: number): ShardView {
  const row = rows.find((candidate) => candidate.key === keys.shard(view.shard));
  const lease = rows.find((candidate) => candidate.key === keys.shardLease(view.shard));
  const owner = ownerSchema.safeParse(row?.value).data ?? { ownerEntryId: '', ownerEpoch: 0 };
  return {
    ...view,
    ...owner,
    version: row?.version ?? 0,
    lease: observeVersion(view.lease, lease?.version ?? 0, nowMs),
  };
}

/** Takes shards that are free or whose lease ran out, and gives back what is over the fair share. */
export function onShardsRead(state: BatchState, result: ReadResult, context: Context): BatchStep {
  if (result.kind === 'unavailable') return unchanged(state);
  const { nowMs } = context;
  // The view of a shard with a transaction under way belongs to that transaction.
  const shards = state.shards.map((view) =>
    view.phase === 'watching' ? observeShard(view, result.rows, nowMs) : view,
  );
  const seen = { ...state, shards };
  if (state.isDraining || !state.areEntriesKnown) return unchanged(seen);
  const fair = fairShare(seen, nowMs);
  const held = shardsIn(seen, ['taking', 'loading', 'owned']);
  const free = shardsIn(seen, ['watching']).filter(
    (view) => view.ownerEntryId === '' || nowMs - view.lease.sinceMs >= SHARD_TAKEOVER_MS,
  );
  const taken = free.slice(0, Math.max(0, fair - held.length));
  const surplus = shardsIn(seen, ['owned']).slice(0, Math.max(0, held.length - fair));
  return sequence(seen, [
    ...taken.map(
      ({ shard }) =>
        (from: BatchState) =>
          transitionShard(from, shard, 'take', {}, context),
    ),
    ...surplus.map(
      ({ shard }) =>
        (from: BatchState) =>
          transitionShard(from, shard, 'release', {}, context),
    ),
  ]);
}

/** A renewal that met a conflict shows which shards have another owner. */
export function onRenewal(
  state: BatchState,
  shards: readonly number[],
  result: CommitResult,
  context: Context,
): BatchStep {
  if (result.kind !== 'conflict') return unchanged(state);
  const versions = new Map(result.rows.map((row) => [row.key, row.version]));
  const lost = shards.filter((shard) => {
    const view = state.shards.get(shard);
    return view !== undefined && (versions.get(keys.shard(shard)) ?? 0) > view.version;
  });
  return sequence(
    state,
    lost.map((shard) => (from) => loseShard(from, shard, context)),
  );
}

/** Gives everything back before a planned stop. */
export function drainShards(state: BatchState, context: Context): BatchStep {
  const key = keys.entry(state.entryId);
  const left = queuePart(
    { ...state, isDraining: true },
    { kind: 'cleanUp' },
    { conditions: [], writes: [{ kind: 'delete', key }] },
  ).state;
  return sequence(
    left,
    shardsIn(left, ['loading', 'owned']).map(
      ({ shard }) =>
        (from) =>
          transitionShard(from, shard, 'release', {}, context),
    ),
  );
}
