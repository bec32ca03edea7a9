import type { RowTransaction, WorkerReport } from '@bronzeyoke/ports';
import type { SchedulerEvent, SchedulerState } from '@bronzeyoke/scheduler';
import {
  createScheduler,
  FULL_CAPACITY,
  jobKey,
  stepScheduler,
  TABLES,
} from '@bronzeyoke/scheduler';
import type { RunnerMessage } from '@bronzeyoke/wire';
import type { Stage, WorkflowJob } from '@bronzeyoke/workflow';
import { jobOf, stageOf, TIMES, WALL_MS } from '../../packages/scheduler/test/fixture';

const WORKER_CORES = 64;
const RACK_WORKERS = 12;

/** A leader in virtual time, with the rows that it has stored. */
export interface Leader {
  readonly state: SchedulerState;
  readonly nowMs: number;
  readonly version: number;
  readonly stored: ReadonlyMap<string, { readonly table: string; readonly value: unknown }>;
}

/** Applies an event at the leader's time. */
export function apply(leader: Leader, event: SchedulerEvent): Leader {
  const inputs = { nowMs: leader.nowMs, random: 0 };
  return { ...leader, state: stepScheduler(leader.state, event, inputs).state };
}

/** Sends a tick after some time. */
export function tick(leader: Leader, forMs: number): Leader {
  const nowMs = leader.nowMs + forMs;
  return apply({ ...leader, nowMs }, { kind: 'tick', wallMs: WALL_MS + nowMs });
}

function store(leader: Leader, { writes }: RowTransaction): Leader['stored'] {
  const stored = new Map(leader.stored);
  writes.forEach((write) => {
    const key = `${write.table}/${write.key}`;
    if (write.kind === 'put') stored.set(key, { table: write.table, value: write.value });
    else stored.delete(key);
  });
  return stored;
}

/** Commits until no transaction is in flight. */
export function commitAll(leader: Leader): Leader {
  const { inFlight } = leader.state;
  if (inFlight === undefined) return leader;
  const version = leader.version + 1;
  const stored = store(leader, inFlight.transaction);
  const committed = apply(
    { ...leader, version, stored },
    {
      kind: 'commitDone',
      callId: inFlight.callId,
      result: { kind: 'committed', version },
      wallMs: WALL_MS + leader.nowMs,
    },
  );
  return commitAll(committed);
}

/** Returns an entry that has claimed the lease and reads its state. */
export function createLoading(): Leader {
  const settings = {
    entryId: 'entry-1',
    host: '10.0.0.1',
    port: 7720,
    capacity: FULL_CAPACITY,
    times: TIMES,
  };
  const created: Leader = {
    state: createScheduler(settings),
    nowMs: 1_000,
    version: 11,
    stored: new Map(),
  };
  const followed = tick(apply(created, { kind: 'leaderRow', row: undefined }), 400);
  const result = { kind: 'rows', rows: [], version: 10 } as const;
  const wallMs = WALL_MS;
  const claimed = apply(followed, { kind: 'rangeDone', callId: 'poll', result, wallMs });
  const won = { kind: 'committed', version: 11 } as const;
  return apply(claimed, { kind: 'commitDone', callId: 'claim', result: won, wallMs });
}

/** Rows that a new leader reads, by table. */
export interface StoredState {
  readonly progress: readonly { readonly key: string; readonly value: unknown }[];
  readonly jobs: readonly { readonly key: string; readonly value: unknown }[];
}

/** Answers the reads of a new leader. */
export function loadState(leader: Leader, { progress, jobs }: StoredState): Leader {
  const wallMs = WALL_MS + leader.nowMs;
  const rowsOf = (table: string, rows: StoredState['jobs']) =>
    rows.map(({ key, value }) => ({ table, partition: 'main', key, version: 10, value }));
  const reads = [...(leader.state.loading.reads ?? [])];
  const read = reads.reduce((current, [table, state]) => {
    if (state.kind !== 'running') return current;
    const rows = table === TABLES.progress ? rowsOf(table, progress) : [];
    const result = { kind: 'rows', rows, version: 11 } as const;
    return apply(current, { kind: 'rangeDone', callId: state.callId, result, wallMs });
  }, leader);
  return apply(read, { kind: 'jobRows', isFull: true, rows: rowsOf(TABLES.jobs, jobs), wallMs });
}

/** Returns a stage of tasks that need some cores each. */
export function coreStage(taskCount: number, cores: number, changes: Partial<Stage> = {}): Stage {
  const needs = { processorsMilli: cores * 1_000, memoryMb: 1_000, accelerators: 0 };
  return stageOf(taskCount, { needs, estimateMs: 2_400, ...changes });
}

/** Returns a job of one stage in a queue of some priority. */
export function priorityJob(jobId: string, stage: Stage, priority = 0): WorkflowJob {
  const job = jobOf(jobId, [stage]);
  return { ...job, policy: { ...job.policy, queue: `priority-${priority}`, priority } };
}

/** Time before new jobs, after which no placement pass has to wait for the one before. */
const PASS_PAUSE_MS = 100;

/** Delivers the rows of stored jobs after a pause. */
export function submit(earlier: Leader, jobs: readonly WorkflowJob[]): Leader {
  const leader = { ...earlier, nowMs: earlier.nowMs + PASS_PAUSE_MS };
  const rows = jobs.map((job) => ({ ...jobKey(job.jobId), version: leader.version, value: job }));
  const wallMs = WALL_MS + leader.nowMs;
  return apply(leader, { kind: 'jobRows', isFull: false, rows, wallMs });
}

/** Returns the key of a worker. */
export function workerKeyOf(index: number): string {
  return `i-${index}@5`;
}

function workerOf(index: number): WorkerReport {
  const rack = `r${Math.floor(index / RACK_WORKERS)}`;
  return {
    id: `i-${index}`,
    address: `10.1.${Math.floor(index / 250)}.${index % 250}:8080`,
    bornAtMs: 5,
    service: 'quoter',
    domain: `zone-${index % 6}`,
    version: 'v1',
    isDraining: false,
    capacity: { processorsMilli: WORKER_CORES * 1_000, memoryMb: 250_000, accelerators: 0 },
    labels: ['a', rack],
    rack,
    sequence: 1,
  };
}

/** Returns the report of a worker that lists all of its runs. */
export function reportOf(leader: Leader, index: number, load: number): SchedulerEvent {
  const workerKey = workerKeyOf(index);
  const linkId = `link-${index}`;
  const runs = [...leader.state.runs.byTask].filter(([, run]) => run.workerKey === workerKey);
  const message: RunnerMessage = {
    kind: 'report',
    agentId: `agent-${index}`,
    term: leader.state.leader?.term ?? 0,
    workerKey,
    worker: workerOf(index),
    clockMs: leader.nowMs,
    running: runs.map(([task, { attempt }]) => ({
      task,
      attempt,
      checkpoint: '',
      percent: 100,
      load,
    })),
    ended: [],
    pending: [],
    lastOrder: leader.state.links.get(linkId)?.lastOrder ?? 0,
  };
  return { kind: 'received', linkId, message, wallMs: WALL_MS + leader.nowMs };
}

/** Adds workers, each with a connection of its agent. */
export function join(leader: Leader, count: number): Leader {
  return Array.from({ length: count }, (_, index) => index).reduce((current, index) => {
    const opened = apply(current, { kind: 'linkOpened', linkId: `link-${index}` });
    return commitAll(apply(opened, reportOf(opened, index, 0)));
  }, leader);
}
