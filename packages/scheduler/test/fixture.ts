import type { ListedEnd, ListedRun, RowTransaction, StoredRow } from '@bronzeyoke/ports';
import type {
  SchedulerEffect,
  SchedulerEvent,
  SchedulerState,
  SchedulerTimes,
} from '@bronzeyoke/scheduler';
import {
  createScheduler,
  deriveTimes,
  FULL_CAPACITY,
  jobKey,
  LEASE_KEY,
  progressKey,
  stepScheduler,
  TABLES,
} from '@bronzeyoke/scheduler';
import type { EventFields } from '@bronzeyoke/telemetry';
import type { RunnerMessage } from '@bronzeyoke/wire';
import type { Stage, TaskProgress, WorkflowJob } from '@bronzeyoke/workflow';

/** Times derived from those of a typical deployment. */
export const TIMES: SchedulerTimes = deriveTimes({
  maxLeaseMs: 10_000,
  holderLeaseMs: 3_000,
  statusMs: 120_000,
});

/** A scheduler under test, with all effects so far. */
export interface Fixture {
  readonly state: SchedulerState;
  readonly effects: readonly SchedulerEffect[];
  readonly nowMs: number;
  readonly version: number;
}

/** Start of the wall clock. */
export const WALL_MS = 1_800_000_000_000;

/** Applies an event, and collects its effects. */
export function dispatch(fixture: Fixture, event: SchedulerEvent): Fixture {
  const step = stepScheduler(fixture.state, event, { nowMs: fixture.nowMs, random: 0 });
  return { ...fixture, state: step.state, effects: [...fixture.effects, ...step.effects] };
}

/** Advances the clock, then sends a tick. */
export function advance(fixture: Fixture, forMs: number): Fixture {
  const nowMs = fixture.nowMs + forMs;
  return dispatch({ ...fixture, nowMs }, { kind: 'tick', wallMs: WALL_MS + nowMs });
}

/** Returns the transaction in flight. */
export function inFlight(fixture: Fixture): {
  readonly callId: string;
  readonly transaction: RowTransaction;
} {
  const { inFlight: current } = fixture.state;
  if (current === undefined) throw new Error('no transaction is in flight');
  return current;
}

/** Commits the transaction in flight. */
export function commit(fixture: Fixture): Fixture {
  const version = fixture.version + 1;
  return dispatch(
    { ...fixture, version },
    {
      kind: 'commitDone',
      callId: inFlight(fixture).callId,
      result: { kind: 'committed', version },
      wallMs: WALL_MS + fixture.nowMs,
    },
  );
}

/** Commits until no transaction is in flight. */
export function commitAll(fixture: Fixture): Fixture {
  return fixture.state.inFlight === undefined ? fixture : commitAll(commit(fixture));
}

/** Returns a scheduler that follows, with an empty store. */
export function createFollower(capacity = FULL_CAPACITY): Fixture {
  const settings = { entryId: 'entry-1', host: 'h1', port: 1, capacity, times: TIMES };
  const fixture = { state: createScheduler(settings), effects: [], nowMs: 1_000, version: 10 };
  return dispatch(fixture, { kind: 'leaderRow', row: undefined });
}

/** Returns a scheduler that has claimed a lease, free unless a row is given, and reads the store. */
export function createLoading(
  follower: Fixture = createFollower(),
  rows: readonly StoredRow[] = [],
): Fixture {
  const wallMs = WALL_MS + 1_000;
  const claiming = dispatch(advance(follower, 400), {
    kind: 'rangeDone',
    callId: 'poll',
    result: { kind: 'rows', rows, version: 10 },
    wallMs,
  });
  const won = dispatch(claiming, {
    kind: 'commitDone',
    callId: 'claim',
    result: { kind: 'committed', version: 11 },
    wallMs,
  });
  return { ...won, version: 11 };
}

/** Returns a scheduler that has claimed the lease that another entry released, and reads the store. */
export function createSuccessor(): Fixture {
  const lastEndMs = TIMES.agentLeaseMs + TIMES.marginMs;
  const grants = { lastEndMs, earlierEndMs: 0, awaitedEndMs: {} };
  const value = { entryId: 'entry-0', number: 3, isReleased: true, grants };
  return createLoading(createFollower(), [{ ...LEASE_KEY, version: 10, value }]);
}

/** Answers the reads of a new leader: one page of progress, and no notes. */
export function answerReads(
  fixture: Fixture,
  progressRows: readonly StoredRow[],
  wallMs: number,
): Fixture {
  const reads = fixture.effects.flatMap((effect) =>
    effect.kind === 'range' && effect.callId !== 'poll' ? [effect] : [],
  );
  return reads.reduce((current, { callId, range }) => {
    const rows = range.table === TABLES.progress ? progressRows : [];
    const result = { kind: 'rows', rows, version: 11 } as const;
    return dispatch(current, { kind: 'rangeDone', callId, result, wallMs });
  }, fixture);
}

/** Returns a scheduler that leads, with an empty store. */
export function createLeader(): Fixture {
  const wallMs = WALL_MS + 1_000;
  const read = answerReads(createLoading(), [], wallMs);
  return commitAll(dispatch(read, { kind: 'jobRows', isFull: true, rows: [], wallMs }));
}

/** Delivers the reads of a new leader: open jobs, and the stored tasks of some of them. */
export function load(
  fixture: Fixture,
  jobs: readonly WorkflowJob[],
  tasksByJob: Readonly<Record<string, Readonly<Record<string, TaskProgress>>>>,
): Fixture {
  const wallMs = WALL_MS + fixture.nowMs;
  const { version } = fixture;
  const progress = Object.entries(tasksByJob).map(([jobId, tasks]) => ({
    ...progressKey(jobId),
    version,
    value: { tasks },
  }));
  const read = answerReads(fixture, progress, wallMs);
  const rows = jobs.map((job) => ({ ...jobKey(job.jobId), version, value: job }));
  return dispatch(read, { kind: 'jobRows', isFull: true, rows, wallMs });
}

/** Returns the fields of the logged events of a kind. */
export function loggedFields(fixture: Fixture, event: string): readonly EventFields[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'log' && effect.event === event ? [effect.fields] : [],
  );
}

/** Returns a stage of small tasks. */
export function stageOf(taskCount: number, changes: Partial<Stage> = {}): Stage {
  return {
    taskCount,
    needs: { processorsMilli: 1_000, memoryMb: 100, accelerators: 0 },
    estimateMs: 1_000,
    dependsOn: [],
    savesCheckpoints: false,
    isGang: false,
    prefersOneRack: false,
    allowsCopies: false,
    isLasting: false,
    fillsIdle: false,
    ...changes,
  };
}

/** Returns a job with the given stages. */
export function jobOf(jobId: string, stages: readonly Stage[]): WorkflowJob {
  return {
    jobId,
    policy: {
      queue: 'quick',
      service: 'quoter',
      priority: 0,
      maxAttempts: 2,
      slackFactor: 2,
      targetDurationMs: 1_000,
      needsAdvice: false,
    },
    payload: 'work',
    stages,
    acceptedAtMs: WALL_MS,
  };
}

/** Delivers the row of a stored job. */
export function submit(fixture: Fixture, job: WorkflowJob): Fixture {
  const row = { ...jobKey(job.jobId), version: fixture.version, value: job };
  return dispatch(fixture, {
    kind: 'jobRows',
    isFull: false,
    rows: [row],
    wallMs: WALL_MS + fixture.nowMs,
  });
}

/** Fields of an agent's report that differ from the defaults. */
export interface ReportFields {
  readonly running?: readonly ListedRun[];
  readonly ended?: readonly ListedEnd[];
  readonly pending?: readonly { readonly task: string; readonly attempt: number }[];
  readonly lastOrder?: number;
  readonly clockMs?: number;
  readonly bornAtMs?: number;
  readonly domain?: string;
  readonly address?: string;
  /** Connection that the report comes on. */
  readonly link?: string;
}

/** Returns the key of the worker at a site. */
export function workerKeyFor(site: string, bornAtMs = 5): string {
  return `${site}@${bornAtMs}`;
}

/** Delivers a report of the agent at a site. */
export function report(fixture: Fixture, site: string, fields: ReportFields = {}): Fixture {
  const { bornAtMs = 5, domain = 'north', address = `${site}:1` } = fields;
  const message: RunnerMessage = {
    kind: 'report',
    agentId: `agent-${site}`,
    term: fixture.state.leader?.term ?? 0,
    workerKey: workerKeyFor(site, bornAtMs),
    worker: {
      id: site,
      address,
      bornAtMs,
      service: 'quoter',
      domain,
      version: 'v1',
      isDraining: false,
      capacity: { processorsMilli: 4_000, memoryMb: 8_000, accelerators: 0 },
      labels: ['a', 'r1'],
      rack: 'r1',
      sequence: 1,
    },
    clockMs: fields.clockMs ?? fixture.nowMs,
    running: fields.running ?? [],
    ended: fields.ended ?? [],
    pending: fields.pending ?? [],
    lastOrder: fields.lastOrder ?? 0,
  };
  const linkId = fields.link ?? `link-${site}`;
  const opened = fixture.state.links.has(linkId)
    ? fixture
    : dispatch(fixture, { kind: 'linkOpened', linkId });
  return dispatch(opened, { kind: 'received', linkId, message, wallMs: WALL_MS + fixture.nowMs });
}

/** Returns a run as a worker lists it. */
export function listedRun(
  task: string,
  attempt: number,
  changes: Partial<ListedRun> = {},
): ListedRun {
  return { task, attempt, checkpoint: '', percent: 10, load: 0, ...changes };
}

/** Returns the messages of a kind that were sent to agents. */
export function sentMessages(fixture: Fixture, kind: string): readonly SchedulerEffect[] {
  return fixture.effects.filter((effect) => effect.kind === 'send' && effect.message.kind === kind);
}

/** The only task of job1. */
export const TASK = 'job1.0.0.0';

/** Returns a leader with one worker that runs the only task of a job. */
export function running(changes: Parameters<typeof stageOf>[1] = {}): Fixture {
  const placed = commitAll(
    submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1, changes)])),
  );
  return report(advance(placed, 100), 'w1', { running: [listedRun(TASK, 1)], lastOrder: 1 });
}

/** Returns the phase of the only task of job1. */
export function phaseOf(fixture: Fixture): string | undefined {
  return fixture.state.jobs.get('job1')?.progress.tasks.get('0.0.0')?.phase;
}
