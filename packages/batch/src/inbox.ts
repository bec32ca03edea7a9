import type { ReadResult, Row } from '@bronzeyoke/ports';
import { unchanged, chainAll } from '@bronzeyoke/types';
import { sendAccess } from './call';
import { jobOf, keys } from './keys';
import { addJob } from './load';
import { queuePart } from './transition';
import { createJobRecord } from './records';
import { shardsIn } from './shard';
import type { BatchState, BatchStep, BatchContext } from './types';

/** Jobs per page; their rows and the inbox rows fit into one read each. */
const PAGE_ROWS = 100;

function setReading(state: BatchState, shard: number, isReadingInbox: boolean): BatchState {
  const view = state.shards.get(shard);
  return view === undefined
    ? state
    : { ...state, shards: state.shards.set(shard, { ...view, isReadingInbox }) };
}

function scanInbox(state: BatchState, shard: number): BatchStep {
  return sendAccess(
    setReading(state, shard, true),
    { kind: 'inbox', shard },
    { kind: 'scan', prefix: `inbox/${shard}/`, afterKey: '', limit: PAGE_ROWS },
  );
}

/** Reads the inboxes of owned shards for new and cancelled jobs. */
export function readInboxes(state: BatchState): BatchStep {
  return chainAll(
    state,
    shardsIn(state, ['owned'])
      .filter((view) => !view.isReadingInbox)
      .map(
        ({ shard }) =>
          (from) =>
            scanInbox(from, shard),
      ),
  );
}

function jobIdOf(row: Row): string {
  return row.key.split('/')[2] ?? '';
}

/** Reads the jobs that an inbox lists. */
export function onInboxRead(state: BatchState, shard: number, result: ReadResult): BatchStep {
  const isOwned = state.shards.get(shard)?.phase === 'owned';
  if (!isOwned || result.kind === 'unavailable' || result.rows.length === 0) {
    return unchanged(setReading(state, shard, false));
  }
  return sendAccess(
    state,
    { kind: 'inboxJobs', shard, inbox: result.rows },
    { kind: 'read', keys: result.rows.map((row) => keys.job(shard, jobIdOf(row))) },
  );
}

/** Adds the jobs that an inbox lists, and deletes the inbox rows. */
export function onInboxJobsRead(
  state: BatchState,
  shard: number,
  inbox: readonly Row[],
  result: ReadResult,
  context: BatchContext,
): BatchStep {
  const view = state.shards.get(shard);
  const ended = setReading(state, shard, false);
  if (view?.phase !== 'owned' || result.kind === 'unavailable') return unchanged(ended);
  const step = chainAll(
    ended,
    result.rows.map((row) => (from) => {
      const job = jobOf(row);
      return job === undefined
        ? unchanged(from)
        : addJob(
            from,
            createJobRecord(job, shard, row.key, row.version, context.nowMs),
            new Map(),
            context,
          );
    }),
  );
  // An inbox row that a cancellation has changed meanwhile fails its condition and stays.
  const cleaned = inbox.reduce(
    (from, row) =>
      queuePart(
        from,
        { kind: 'cleanUp' },
        {
          conditions: [
            { key: keys.shard(shard), version: view.version },
            { key: row.key, version: row.version },
          ],
          writes: [{ kind: 'delete', key: row.key }],
        },
      ).state,
    step.state,
  );
  return { state: cleaned, effects: step.effects };
}
