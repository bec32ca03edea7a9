import { acceptValue } from '@bronzeyoke/decoding';
import type { CommitResult, ReadResult, Row } from '@bronzeyoke/ports';
import { chainAll, unchanged } from '@bronzeyoke/types';
import { z } from 'zod';
import { sendAccess } from './call';
import { SHARD_COUNT, keys } from './keys';
import { ALL_SHARDS, advanceShard, loseShard, shardsIn } from './shard';
import { queuePart } from './transition';
import type { BatchContext, BatchState, BatchStep, ObservedVersion, ShardView } from './types';

/** Shard lease plus a margin. */
const SHARD_TAKEOVER_MS = 12_000;
/** The row of an entry that has not renewed it for this long is deleted. */
const ENTRY_EXPIRY_MS = 60_000;
const ENTRY_PREFIX = 'entry/';
const MAX_ENTRIES = 200;

const entrySchema = z.object({ domain: z.string(), number: z.int() });
const ownerSchema = z.object({ ownerEntryId: z.string(), ownerEpoch: z.int() });

/** Reads the rows of entries and shards, and renews the leases of this entry. */
export function refreshOwnership(state: BatchState, context: BatchContext): BatchStep {
  const owned = shardsIn(state, ['loading', 'owned']);
  const token = `${state.entryId}-${state.idCount}`;
  const { number } = context.inputs.configuration;
  return chainAll(state, [
    (from) =>
      sendAccess(
        from,
        { kind: 'entries' },
        { kind: 'scan', prefix: ENTRY_PREFIX, afterKey: '', limit: MAX_ENTRIES },
      ),
    (from) =>
      sendAccess(
        from,
        { kind: 'shards' },
        {
          kind: 'read',
          keys: ALL_SHARDS.flatMap((shard) => [keys.shard(shard), keys.shardLease(shard)]),
        },
      ),
    (from) =>
      from.isDraining
        ? unchanged(from)
        : sendAccess(
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
  last: ObservedVersion | undefined,
  version: number,
  nowMs: number,
): ObservedVersion {
  return last !== undefined && last.version === version ? last : { version, sinceMs: nowMs };
}

/** Updates the known entries, and deletes the rows of those that stopped renewing. */
export function onEntriesRead(
  state: BatchState,
  result: ReadResult,
  context: BatchContext,
): BatchStep {
  if (result.kind === 'unavailable') return unchanged(state);
  const entryRows = state.entryRows.withMutations((draft) => {
    const present = new Set(result.rows.map((row) => row.key));
    state.entryRows.forEach((_, key) => {
      if (!present.has(key)) draft.delete(key);
    });
    result.rows.forEach((row) => {
      const { domain = '', number = 0 } = acceptValue(entrySchema, row.value) ?? {};
      const observed = observeVersion(draft.get(row.key), row.version, context.nowMs);
      draft.set(row.key, { ...observed, domain, number });
    });
  });
  const expired = [...entryRows].filter(
    ([, observed]) => context.nowMs - observed.sinceMs > ENTRY_EXPIRY_MS,
  );
  const cleaned = expired.reduce(
    (from, [key, observed]) =>
      queuePart(
        { ...from, entryRows: from.entryRows.delete(key) },
        { kind: 'cleanUp' },
        {
          conditions: [{ key, version: observed.version }],
          writes: [{ kind: 'delete', key }],
        },
      ).state,
    { ...state, entryRows, areEntriesKnown: true },
  );
  return unchanged(cleaned);
}

/** Returns the other entries that renewed their rows recently, with their ticket numbers. */
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

/** Returns the number of shards that each entry should own. */
export function fairShare(state: BatchState, nowMs: number): number {
  return Math.ceil(SHARD_COUNT / (otherEntries(state, nowMs).length + 1));
}

function observeShard(view: ShardView, rows: readonly Row[], nowMs: number): ShardView {
  const row = rows.find((candidate) => candidate.key === keys.shard(view.shard));
  const lease = rows.find((candidate) => candidate.key === keys.shardLease(view.shard));
  const owner = acceptValue(ownerSchema, row?.value) ?? { ownerEntryId: '', ownerEpoch: 0 };
  return {
    ...view,
    ...owner,
    version: row?.version ?? 0,
    lease: observeVersion(view.lease, lease?.version ?? 0, nowMs),
  };
}

/** Takes shards that are free or whose lease expired, and releases those over the fair share. */
export function onShardsRead(
  state: BatchState,
  result: ReadResult,
  context: BatchContext,
): BatchStep {
  if (result.kind === 'unavailable') return unchanged(state);
  const { nowMs } = context;
  // The view of a shard with a transaction in progress is updated by its outcome.
  const shards = state.shards.map((view) =>
    view.phase === 'watching' ? observeShard(view, result.rows, nowMs) : view,
  );
  const observed = { ...state, shards };
  if (state.isDraining || !state.areEntriesKnown) return unchanged(observed);
  const share = fairShare(observed, nowMs);
  const held = shardsIn(observed, ['taking', 'loading', 'owned']);
  const free = shardsIn(observed, ['watching']).filter(
    (view) => view.ownerEntryId === '' || nowMs - view.lease.sinceMs >= SHARD_TAKEOVER_MS,
  );
  const taken = free.slice(0, Math.max(0, share - held.length));
  const surplus = shardsIn(observed, ['owned']).slice(0, Math.max(0, held.length - share));
  return chainAll(observed, [
    ...taken.map(
      ({ shard }) =>
        (from: BatchState) =>
          advanceShard(from, shard, 'take', {}, context),
    ),
    ...surplus.map(
      ({ shard }) =>
        (from: BatchState) =>
          advanceShard(from, shard, 'release', {}, context),
    ),
  ]);
}

/** Handles the result of a renewal. A conflict shows which shards have another owner. */
export function onRenewal(
  state: BatchState,
  shards: readonly number[],
  result: CommitResult,
  context: BatchContext,
): BatchStep {
  if (result.kind !== 'conflict') return unchanged(state);
  const versions = new Map(result.rows.map((row) => [row.key, row.version]));
  const lost = shards.filter((shard) => {
    const view = state.shards.get(shard);
    return view !== undefined && (versions.get(keys.shard(shard)) ?? 0) > view.version;
  });
  return chainAll(
    state,
    lost.map((shard) => (from) => loseShard(from, shard, context)),
  );
}

/** Releases all shards before a planned stop. */
export function drainShards(state: BatchState, context: BatchContext): BatchStep {
  const key = keys.entry(state.entryId);
  const withoutEntry = queuePart(
    { ...state, isDraining: true },
    { kind: 'cleanUp' },
    { conditions: [], writes: [{ kind: 'delete', key }] },
  ).state;
  return chainAll(
    withoutEntry,
    shardsIn(withoutEntry, ['loading', 'owned']).map(
      ({ shard }) =>
        (from) =>
          advanceShard(from, shard, 'release', {}, context),
    ),
  );
}
