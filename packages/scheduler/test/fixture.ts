import type { ListedEnd, ListedRun, RowTransaction } from '@bronzeyoke/ports';
import type {
  SchedulerEffect,
  SchedulerEvent,
  SchedulerState,
  SchedulerTimes,
} from '@bronzeyoke/scheduler';
import { createScheduler, jobKey, stepScheduler, deriveTimes } from '@bronzeyoke/scheduler';
import type { RunnerMessage } from '@bronzeyoke/wire';
import type { Stage, WorkflowJob } from '@bronzeyoke/workflow';

/** Times of a deployment like the users'. */
export const TIMES: SchedulerTimes = deriveTimes({
  maxLeaseMs: 10_000,
  holderLeaseMs: 3_000,
  statusMs: 120_000,
});

/** A scheduler with all effects so far. */
export interface Lab {
  readonly state: SchedulerState;
  readonly effects: readonly SchedulerEffect[];
  readonly nowMs: number;
  readonly version: number;
}

/** Start of the wall clock. */
export const WALL_MS = 1_800_000_000_000;

/** Gives the scheduler an event. */
export function give(lab: Lab, event: SchedulerEvent): Lab {
  const step = stepScheduler(lab.state, event, { nowMs: lab.nowMs, random: 0 });
  return { ...lab, state: step.state, effects: [...lab.effects, ...step.effects] };
}

/** Lets time pass, then ticks. */
export function wait(lab: Lab, forMs: number): Lab {
  const nowMs = lab.nowMs + forMs;
  return give({ ...lab, nowMs }, { kind: 'tick', wallMs: WALL_MS + nowMs });
}

/** The transaction that is under way. */
export function inFlight(lab: Lab): {
  readonly callId: string;
  readonly transaction: RowTransaction;
} {
  const { inFlight: current } = lab.state;
  if (current === undefined) throw new Error('no transaction is under way');
  return current;
}

/** Commits the transaction that is under way. */
export function commit(lab: Lab): Lab {
  const version = lab.version + 1;
  return give(
    { ...lab, version },
    {
      kind: 'commitDone',
      callId: inFlight(lab).callId,
      result: { kind: 'committed', version },
      wallMs: WALL_MS + lab.nowMs,
    },
  );
}

/** Commits until nothing is under way. */
export function commitAll(lab: Lab): Lab {
  return lab.state.inFlight === undefined ? lab : commitAll(commit(lab));
}

/** A scheduler that follows an empty store. */
export function follower(): Lab {
  const settings = { entryId: 'entry-1', host: 'h1', port: 1, times: TIMES };
  const lab = { state: createScheduler(settings), effects: [], nowMs: 1_000, version: 10 };
  return give(lab, { kind: 'leaderRow', row: undefined });
}

/** A scheduler that leads an empty store. */
export function leader(): Lab {
  const wallMs = WALL_MS + 1_000;
  const polled = wait(follower(), 400);
  const claiming = give(polled, {
    kind: 'rangeDone',
    callId: 'poll',
    result: { kind: 'rows', rows: [], version: 10 },
    wallMs,
  });
  const won = give(claiming, {
    kind: 'commitDone',
    callId: 'claim',
    result: { kind: 'committed', version: 11 },
    wallMs,
  });
  const empty = { kind: 'rows', rows: [], version: 11 } as const;
  const read = ['progress', 'notes'].reduce(
    (current, callId) => give(current, { kind: 'rangeDone', callId, result: empty, wallMs }),
    { ...won, version: 11 },
  );
  return commitAll(give(read, { kind: 'jobRows', isFull: true, rows: [], wallMs }));
}

/** A stage of small tasks. */
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

/** A job of some stages. */
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

/** Tells the leader of a stored job. */
export function submit(lab: Lab, job: WorkflowJob): Lab {
  const row = { ...jobKey(job.jobId), version: lab.version, value: job };
  return give(lab, { kind: 'jobRows', isFull: false, rows: [row], wallMs: WALL_MS + lab.nowMs });
}

/** What an agent reports. */
export interface Told {
  readonly running?: readonly ListedRun[];
  readonly ended?: readonly ListedEnd[];
  readonly pending?: readonly { readonly task: string; readonly attempt: number }[];
  readonly lastOrder?: number;
  readonly clockMs?: number;
  readonly bornAtMs?: number;
  readonly domain?: string;
  /** Connection that the report comes on. */
  readonly link?: string;
}

/** Key of the worker of a site. */
export function keyOf(site: string, bornAtMs = 5): string {
  return `${site}@${bornAtMs}`;
}

/** A report of the agent of a site. */
export function report(lab: Lab, site: string, told: Told = {}): Lab {
  const { bornAtMs = 5, domain = 'north' } = told;
  const message: RunnerMessage = {
    kind: 'report',
    agentId: `agent-${site}`,
    term: lab.state.leader?.term ?? 0,
    workerKey: keyOf(site, bornAtMs),
    worker: {
      id: site,
      address: `${site}:1`,
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
    clockMs: told.clockMs ?? lab.nowMs,
    running: told.running ?? [],
    ended: told.ended ?? [],
    pending: told.pending ?? [],
    lastOrder: told.lastOrder ?? 0,
  };
  const linkId = told.link ?? `link-${site}`;
  const opened = lab.state.links.has(linkId) ? lab : give(lab, { kind: 'linkOpened', linkId });
  return give(opened, { kind: 'received', linkId, message, wallMs: WALL_MS + lab.nowMs });
}

/** A run as a worker lists it. */
export function listed(task: string, attempt: number, changes: Partial<ListedRun> = {}): ListedRun {
  return { task, attempt, checkpoint: '', percent: 10, load: 0, ...changes };
}

/** Messages to a worker's agent. */
export function sent(lab: Lab, kind: string): readonly SchedulerEffect[] {
  return lab.effects.filter((effect) => effect.kind === 'send' && effect.message.kind === kind);
}
