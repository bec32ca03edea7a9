import type { SchedulerEffect, SchedulerEvent } from '@bronzeyoke/scheduler';
import { jobKey } from '@bronzeyoke/scheduler';
import type { EventFields } from '@bronzeyoke/telemetry';
import { assertNever } from '@bronzeyoke/types';
import type { Stage, WorkflowJob } from '@bronzeyoke/workflow';
import { parseTaskName } from '@bronzeyoke/workflow';
import type { ColocatedWorker, Influence } from './colocatedworker';
import { createColocatedWorker, STEP_MS } from './colocatedworker';
import type { Fixture } from './fixture';
import { createLeader, dispatch, report, WALL_MS } from './fixture';
import { createClock } from './simclock';

const HOP_MS = 4;
const COMMIT_MS = 20;

/** A leader and workers on which filling tasks slow serving tasks down, in virtual time. */
export interface Colocated {
  readonly advance: (ms: number) => void;
  /** Submits a job whose tasks take some time at full pace. */
  readonly submit: (job: WorkflowJob, taskMs: number) => void;
  /** Fields of the log line about the end of each complete job, among them where its time went. */
  readonly completed: () => ReadonlyMap<string, EventFields>;
  /** Time that serving tasks spent over their targets, of all tasks together. */
  readonly harmedMs: () => number;
  /** Time of all serving tasks together. */
  readonly servedMs: () => number;
  readonly countStops: () => number;
}

interface KnownJob {
  readonly job: WorkflowJob;
  readonly taskMs: number;
}

/** Applies an event of a kind to the leader. */
export type Handle = (
  kind: SchedulerEvent['kind'],
  before: Fixture,
  change: (fixture: Fixture) => Fixture,
) => Fixture;

/** How a leader and its workers differ from the usual ones. */
export interface ColocatedOptions {
  /** Share of the runs of filling tasks that fail halfway. */
  readonly failedShare?: number;
  readonly handle?: Handle;
}

/** Creates a leader and workers whose tasks disturb each other. */
export function createColocated(
  seed: number,
  workerCount: number,
  influence: Influence,
  { failedShare = 0, handle = (_, before, change) => change(before) }: ColocatedOptions = {},
): Colocated {
  const clock = createClock(seed);
  const leader = createLeader();
  clock.advance(leader.nowMs - clock.now(), () => {});
  const known: { fixture: Fixture; harmedMs: number; servedMs: number; stops: number } = {
    fixture: leader,
    harmedMs: 0,
    servedMs: 0,
    stops: 0,
  };
  const jobs = new Map<string, KnownJob>();
  const completed = new Map<string, EventFields>();
  const workers = new Map<string, ColocatedWorker>();
  const wallMs = (): number => WALL_MS + clock.now();

  const jobOfTask = (task: string): KnownJob => {
    const found = jobs.get(parseTaskName(task)?.jobId ?? '');
    if (found === undefined) throw new Error(`unknown task ${task}`);
    return found;
  };
  const stageOf = (task: string): Stage => {
    const stage = jobOfTask(task).job.stages[parseTaskName(task)?.stageIndex ?? 0];
    if (stage === undefined) throw new Error(`unknown stage of ${task}`);
    return stage;
  };

  const apply = (kind: SchedulerEvent['kind'], change: (fixture: Fixture) => Fixture): void => {
    const before = { ...known.fixture, effects: [], nowMs: clock.now() };
    const { effects, ...after } = handle(kind, before, change);
    known.fixture = { ...after, effects: [] };
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and effects call each other
    effects.forEach(perform);
  };
  const send = (event: SchedulerEvent): void =>
    apply(event.kind, (fixture) => dispatch(fixture, event));

  function perform(effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'commit':
        clock.schedule(COMMIT_MS, () => {
          const version = known.fixture.version + 1;
          known.fixture = { ...known.fixture, version };
          const result = { kind: 'committed', version } as const;
          send({ kind: 'commitDone', callId: effect.callId, result, wallMs: wallMs() });
        });
        return;
      case 'send':
        if (effect.message.kind === 'stop') known.stops += 1;
        clock.schedule(HOP_MS, () => workers.get(effect.linkId)?.receive(effect.message));
        return;
      case 'log':
        if (effect.event === 'jobEnded' && effect.fields.outcome === 'complete') {
          completed.set(String(effect.fields.job), effect.fields);
        }
        return;
      case 'range':
      case 'followJobs':
      case 'notifyEntry':
      case 'askHolder':
        return;
      default:
        assertNever(effect);
    }
  }

  const onServed = (isHarmed: boolean): void => {
    known.servedMs += STEP_MS;
    if (isHarmed) known.harmedMs += STEP_MS;
  };
  Array.from({ length: workerCount }, (_, index) => `w${index}`).forEach((site) => {
    const worker = createColocatedWorker(clock, {
      stageOf,
      durationMs: (task) => jobOfTask(task).taskMs,
      influence,
      failedShare,
      report: (fields) => apply('received', (fixture) => report(fixture, site, fields)),
      onServed,
    });
    workers.set(`link-${site}`, worker);
  });

  const step = (): void => {
    workers.forEach((worker) => worker.work());
    send({ kind: 'tick', wallMs: wallMs() });
    clock.schedule(STEP_MS, step);
  };
  clock.schedule(STEP_MS, step);

  return {
    advance: (ms) => clock.advance(ms, () => {}),
    submit: (job, taskMs) => {
      const accepted = { ...job, acceptedAtMs: wallMs() };
      jobs.set(job.jobId, { job: accepted, taskMs });
      const row = { ...jobKey(job.jobId), version: known.fixture.version, value: accepted };
      send({ kind: 'jobRows', isFull: false, rows: [row], wallMs: wallMs() });
    },
    completed: () => completed,
    harmedMs: () => known.harmedMs,
    servedMs: () => known.servedMs,
    countStops: () => known.stops,
  };
}
