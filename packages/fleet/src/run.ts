import { List, Map, Set } from 'immutable';
import { pop } from '@bronzeyoke/harness';
import { EMPTY_ROW_STORE } from '@bronzeyoke/standins';
import type { RepeatedTask } from '@bronzeyoke/runhistory';
import type { SchedulerTimes } from '@bronzeyoke/scheduler';
import { PARTITION, TABLES } from '@bronzeyoke/scheduler';
import { decodeJob, decodeProgress, stageSlots } from '@bronzeyoke/workflow';
import { observeAbsences } from './absences';
import { handleFleetEvent } from './events';
import { bootAgent, bootEntry, bootWorker, FLEET_TIMES } from './process';
import type { Fleet, FleetFault, FleetViolation } from './world';
import { forbiddenRepeats, repeatsOf } from './repeats';
import { NO_RECORDS } from './runrecords';
import type { WorkerFaultPlan } from './workerfaults';
import { scheduleWorkerFaults } from './workerfaults';
import { drawStepUniform, schedule } from './world';

const ENTRIES = ['entry-1', 'entry-2', 'entry-3'] as const;
const SITES = ['worker-1', 'worker-2', 'worker-3', 'worker-4'] as const;

/** Jobs and faults start in the first phase; the fleet recovers from them in the second. */
const ACTIVE_PHASE_MS = 30_000;
const RECOVERY_PHASE_MS = 32_000;
const WARM_UP_MS = 2_000;
const JOBS = 30;
const ODD_HEARTBEATS = 12;

const NO_WORKER_FAULTS: WorkerFaultPlan = { count: 0, kinds: [] };

/** Longest time from the end of a leader to the load of the next one. */
const TAKEOVER_MS = 4_000;

/** Longest run of a task in the model, and the time for which a lasting task may be away. */
const MAX_LASTING_GAP_MS = 3_200 + 9_000;

/** Result of a run. */
export interface FleetResult {
  readonly fleet: Fleet;
  /** Keys of the jobs that have no outcome at the end, except lasting jobs. */
  readonly unfinished: readonly string[];
  /** Tasks of open lasting jobs that have not started for long. */
  readonly away: readonly string[];
  /** Starts of tasks after a success of them, also those that break no rule. */
  readonly repeats: readonly RepeatedTask[];
}

/** Creates a fleet of three entries, and four workers with their agents. */
function createFleet(seed: number, times: SchedulerTimes = FLEET_TIMES): Fleet {
  const empty: Fleet = {
    seed,
    times,
    nowMs: 0,
    sequence: 1,
    eventQueue: undefined,
    entries: Map(),
    agents: Map(),
    workers: Map(),
    links: Map(),
    lastWorkerIds: Map(),
    bootCount: 0,
    store: EMPTY_ROW_STORE,
    activeFaults: Set(),
    frozenUntilMs: Map(),
    acknowledgedTasks: Set(),
    startedAtMs: Map(),
    absences: { observedAtMs: 0, calmSinceMs: 0, seenAtMs: Map() },
    cancelledJobs: Set(),
    siteCount: SITES.length,
    entryCount: ENTRIES.length,
    violations: [],
    runLog: Map(),
    runRecords: NO_RECORDS,
    starts: 0,
    steps: 0,
  };
  const entries = ENTRIES.reduce(bootEntry, empty);
  const agents = SITES.reduce(bootAgent, entries);
  return SITES.reduce((current, site) => bootWorker(current, site), agents);
}

function pick<Item>(items: readonly Item[], random: number): Item {
  const item = items[Math.floor(random * items.length)];
  if (item === undefined) throw new RangeError('cannot pick from an empty list');
  return item;
}

/** Draws a fault at random. */
function drawFault(fleet: Fleet): FleetFault {
  const forMs = 300 + Math.floor(drawStepUniform(fleet, 11) * 9_000);
  const site = pick(SITES, drawStepUniform(fleet, 12));
  const entry = pick(ENTRIES, drawStepUniform(fleet, 13));
  const either = pick([...SITES, ...ENTRIES], drawStepUniform(fleet, 14));
  return pick<FleetFault>(
    [
      { kind: 'killEntry', site: entry, forMs },
      { kind: 'killAgent', site, forMs },
      { kind: 'crashWorker', site, forMs },
      { kind: 'freeze', site: either, forMs },
      { kind: 'cutStore', site: either, forMs },
      { kind: 'cutLink', agent: site, entry, forMs },
      { kind: 'storeDown', forMs },
      { kind: 'storeLosesAnswers', forMs },
      { kind: 'storeWritesLate', forMs },
      { kind: 'storeDropsHistory', forMs },
      { kind: 'ordersLate', forMs },
    ],
    drawStepUniform(fleet, 15),
  );
}

/** Cancels a job while the next leader may load. */
function cancelDuringTakeover(fleet: Fleet, killedAtMs: number): Fleet {
  const jobId = `job${Math.floor(drawStepUniform(fleet, 21) * JOBS)}`;
  const atMs = killedAtMs + drawStepUniform(fleet, 22) * TAKEOVER_MS;
  return schedule(fleet, atMs, { kind: 'cancel', jobId });
}

/** Schedules the jobs and faults of a run. */
function scheduleRun(fleet: Fleet, faults: number, workerFaults: WorkerFaultPlan): Fleet {
  const withJobs = Array.from({ length: JOBS }, (_, index) => index).reduce((current, index) => {
    const atMs = 1_000 + drawStepUniform(current, 16) * ACTIVE_PHASE_MS;
    const submitted = schedule(current, atMs, { kind: 'submit', jobId: `job${index}` });
    return index % 7 === 6
      ? schedule(submitted, atMs + drawStepUniform(current, 17) * 4_000, {
          kind: 'cancel',
          jobId: `job${index}`,
        })
      : submitted;
  }, fleet);
  const withOddHeartbeats = Array.from({ length: ODD_HEARTBEATS }).reduce<Fleet>(
    (current) =>
      schedule(current, 2_000 + drawStepUniform(current, 19) * ACTIVE_PHASE_MS, {
        kind: 'oddHeartbeat',
        site: pick(SITES, drawStepUniform(current, 20)),
      }),
    withJobs,
  );
  const withFaults = Array.from({ length: faults }).reduce<Fleet>((current) => {
    const fault = drawFault(current);
    const atMs = 2_000 + drawStepUniform(current, 18) * ACTIVE_PHASE_MS;
    const scheduled = schedule(current, atMs, { kind: 'faultStart', fault });
    return fault.kind === 'killEntry' ? cancelDuringTakeover(scheduled, atMs) : scheduled;
  }, withOddHeartbeats);
  const span = [WARM_UP_MS, WARM_UP_MS + ACTIVE_PHASE_MS] as const;
  return scheduleWorkerFaults(withFaults, SITES, workerFaults, span);
}

/** Returns the tasks of open lasting jobs that have not started for longer than a run and a wait. */
function lastingTasksAway(fleet: Fleet): readonly string[] {
  const jobs = List(fleet.store.rows.values()).flatMap(({ table, value }) => {
    const job = table === TABLES.jobs ? decodeJob(value) : undefined;
    return job === undefined ? [] : [job];
  });
  return jobs
    .flatMap(({ jobId, stages }) =>
      stages.flatMap((stage, index) =>
        stage.isLasting ? stageSlots(stage, 0, index).map((slot) => `${jobId}.${slot}`) : [],
      ),
    )
    .filter((task) => fleet.nowMs - fleet.startedAtMs.get(task, 0) > MAX_LASTING_GAP_MS)
    .toArray();
}

/** Handles all events until a time. */
function runUntil(fleet: Fleet, endMs: number): Fleet {
  const current = { fleet };
  while (current.fleet.eventQueue !== undefined && current.fleet.eventQueue.first.atMs <= endMs) {
    const { first } = current.fleet.eventQueue;
    const advanced = {
      ...current.fleet,
      nowMs: first.atMs,
      eventQueue: pop(current.fleet.eventQueue),
    };
    current.fleet = observeAbsences(handleFleetEvent(advanced, first.item));
  }
  return current.fleet;
}

/** Reports the starts after a success. A success counts by an acknowledgement that may come later. */
function reportRepeats(fleet: Fleet): Fleet {
  const found = forbiddenRepeats(fleet.runRecords).map(({ later }): FleetViolation => ({
    kind: 'runAfterSuccess',
    task: later.task,
    atMs: later.fromMs,
  }));
  return { ...fleet, violations: [...fleet.violations, ...found] };
}

/** Runs a fleet through both phases with jobs and faults that depend on the seed. */
export function runFleet(
  seed: number,
  faults: number,
  times: SchedulerTimes = FLEET_TIMES,
  workerFaults: WorkerFaultPlan = NO_WORKER_FAULTS,
): FleetResult {
  const fleet = reportRepeats(
    runUntil(
      scheduleRun(createFleet(seed, times), faults, workerFaults),
      2_000 + ACTIVE_PHASE_MS + RECOVERY_PHASE_MS,
    ),
  );
  const jobs = List(fleet.store.rows.values()).filter(
    ({ table, key }) => table === TABLES.jobs && key.endsWith('/job'),
  );
  const unfinished = jobs
    .filterNot(({ value }) => JSON.stringify(value).includes('"isLasting":true'))
    .map(({ key }) => key)
    .toArray();
  const repeats = repeatsOf(fleet.runRecords);
  return { fleet, unfinished, away: lastingTasksAway(fleet), repeats };
}

/** Returns the outcomes of the jobs in the store. */
export function jobOutcomes(fleet: Fleet): readonly string[] {
  return List(fleet.store.rows.values())
    .filter(({ table, partition }) => table === TABLES.progress && partition === PARTITION)
    .map(({ value }) => decodeProgress(value)?.outcome ?? 'open')
    .toArray();
}
