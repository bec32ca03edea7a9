import type { Row } from '@bronzeyoke/ports';
import type { ConfigChange, Job, WatcherState } from '@bronzeyoke/types';
import { shardOfTeam, taskIdOf } from './keys';
import { createJobRecord } from './records';
import type { BatchContext, JobRecord } from './types';

const ID_MARKER = '-watcher-';

/** Returns the id of the job that represents a watcher in a shard. */
function watcherJobId(shard: number, name: string): string {
  return `${shard}${ID_MARKER}${name}`;
}

function watcherNameOf(jobId: string): string {
  return jobId.slice(jobId.indexOf(ID_MARKER) + ID_MARKER.length);
}

function isWatcher(entry: ConfigChange): entry is WatcherState {
  return entry.kind === 'watcher';
}

function namesOf(rows: readonly Row[]): ReadonlySet<string> {
  return new Set(rows.map((row) => watcherNameOf(taskIdOf(row.key)?.jobId ?? '')));
}

/** Builds the job of a watcher; it has no instances if the team belongs to another shard. */
function watcherRecord(watcher: WatcherState, shard: number, context: BatchContext): JobRecord {
  const key = `watcher/${watcher.name}`;
  const job: Job = {
    jobId: watcherJobId(shard, watcher.name),
    team: watcher.team,
    key: watcher.name,
    workKind: watcher.workKind,
    role: 'watcher',
    declared: watcher.reserved,
    declaredRunMs: 0,
    submittedAtMs: 0,
    urgency: 'normal',
    taskCount: shardOfTeam(watcher.team) === shard ? watcher.instances : 0,
    payload: watcher.payload,
    cancelled: false,
  };
  return createJobRecord(job, shard, key, context.inputs.versions.get(key) ?? 0, context.nowMs);
}

/** Returns whether the configuration contains the watchers of all task rows without a job. */
export function areWatchersKnown(orphans: readonly Row[], context: BatchContext): boolean {
  const known = new Set(
    context.inputs.configuration.entries.filter(isWatcher).map((watcher) => watcher.name),
  );
  return [...namesOf(orphans)].every((name) => known.has(name));
}

/** Returns the jobs of the watchers that belong to a shard, or have rows or a job there. */
export function watchersOf(
  shard: number,
  orphans: readonly Row[],
  context: BatchContext,
  hasJob: (jobId: string) => boolean = () => false,
): readonly JobRecord[] {
  const names = namesOf(orphans);
  return context.inputs.configuration.entries
    .filter(isWatcher)
    .filter(
      (watcher) =>
        shardOfTeam(watcher.team) === shard ||
        names.has(watcher.name) ||
        hasJob(watcherJobId(shard, watcher.name)),
    )
    .map((watcher) => watcherRecord(watcher, shard, context));
}
