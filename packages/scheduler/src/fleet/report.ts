import type { Map } from 'immutable';
import { HARMED_RATIO } from '@bronzeyoke/interference';
import { logEffect } from '@bronzeyoke/telemetry';
import type { Resources } from '@bronzeyoke/types';
import { chainAfter, chainAll, isSameAmount, unchanged, without } from '@bronzeyoke/types';
import type { ListedRun } from '@bronzeyoke/ports';
import { MAX_LISTED_ENDS } from '@bronzeyoke/ports';
import type { RunnerMessage } from '@bronzeyoke/wire';
import {
  acceptsEvent,
  advanceRun,
  parseTaskName,
  taskProgress,
  withTasks,
} from '@bronzeyoke/workflow';
import {
  earlierInstances,
  hasNewerInstance,
  isReportedElsewhere,
  markCompared,
  storeAddress,
  wasCompared,
} from './instances';
import { putInstance } from './identities';
import { grantIfAllowed } from './grants';
import { firstLeaseBasis } from './leasebasis';
import { firstLeaseEndAtMs, isAwaited } from './leases';
import { addReporter } from './links';
import { applyEnd } from '../jobs/ends';
import { isHeldTask } from '../jobs/held';
import { taskTime } from '../jobs/openjob';
import { logEndAfterRelease, showsLateRun } from './lateends';
import { lateStartsOn, mayStartLate } from './latestarts';
import { moveListedRuns } from './move';
import { orderHeldStarts } from '../leadership/postcommit';
import { releaseEndedRuns, releaseRun, releaseWorker } from './release';
import { staleReason } from './stale';
import { logListedAfterRelease } from './releasedruns';
import { dropRun, dropRuns, putRun, runKey, runsOn } from '../runs';
import { addPostCommitAction, sendToWorker, withEffects } from '../state';
import { clearProvenRuns } from '../jobs/suspects';
import { knownStage, taskLog } from '../tasklog';
import type { SchedulerEffect, SchedulerState, SchedulerStep } from '../types';
import { runRef } from '../types';
import {
  isWanted,
  keepUnwanted,
  keepUnwantedStarts,
  STOP_REPEAT_MS,
  stopUnwanted,
} from './unwanted';
import type { RunView, UnwantedStop, WorkerView } from '../views';

type Report = Extract<RunnerMessage, { kind: 'report' }>;
type Refusal = Extract<RunnerMessage, { kind: 'refused' }>;

/** Returns the stops of runs that a worker still lists. */
function stillListed(
  stops: Map<string, UnwantedStop>,
  { running }: Report,
): Map<string, UnwantedStop> {
  const listed = new Set(running.map((run) => runKey(run)));
  return stops.filter((_, key) => listed.has(key));
}

/** Logs the room of a worker that has become smaller or larger. */
function logResize(
  workerKey: string,
  before: Resources | undefined,
  after: Resources,
): readonly SchedulerEffect[] {
  if (before === undefined || isSameAmount(before, after)) return [];
  const { processorsMilli, memoryMb, accelerators } = after;
  const fields = { worker: workerKey, processorsMilli, memoryMb, accelerators };
  return [logEffect('workerResized', { ...fields, beforeMilli: before.processorsMilli })];
}

/** Updates the state of a worker, and grants one lease for each new value of its clock. */
function updateWorker(
  state: SchedulerState,
  linkId: string,
  report: Report,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const { workerKey, worker, clockMs } = report;
  const times = state.storedTimes ?? state.settings.times;
  const known = state.workers.get(workerKey);
  const isNewClock = clockMs > (known?.clockMs ?? -1);
  const view: WorkerView = {
    workerKey,
    report: worker,
    reportedAtMs: nowMs,
    agentId: report.agentId,
    linkId,
    linkNumber: state.links.get(linkId)?.number ?? -1,
    clockMs: isNewClock ? clockMs : (known?.clockMs ?? -1),
    expiresAtMs: known?.expiresAtMs ?? firstLeaseEndAtMs(times, worker.bornAtMs, nowMs, wallMs),
    leaseFrom: known?.leaseFrom ?? firstLeaseBasis(times, worker.bornAtMs, nowMs, wallMs),
    handledSequence: known?.linkId === linkId ? known.handledSequence : 0,
    failedJobs: known?.failedJobs ?? [],
    quarantinedUntilMs: known?.quarantinedUntilMs ?? 0,
    ...(known?.comparedCount === undefined ? {} : { comparedCount: known.comparedCount }),
    ...(known?.unwantedStops === undefined
      ? {}
      : { unwantedStops: stillListed(known.unwantedStops, report) }),
  };
  const { id, service, domain, isDraining } = worker;
  const isChanged = known?.report === undefined || known.report.isDraining !== isDraining;
  const hasOtherRoom = !isSameAmount(known?.report?.capacity, worker.capacity);
  const fields = { worker: workerKey, id, service, domain, agent: report.agentId };
  const log = [
    ...(isChanged ? [logEffect(isDraining ? 'workerDraining' : 'workerSeen', fields)] : []),
    ...logResize(workerKey, known?.report?.capacity, worker.capacity),
  ];
  const updated: SchedulerState = {
    ...state,
    workers: state.workers.set(workerKey, view),
    instances: putInstance(state.instances, known, view),
    links: addReporter(state.links, linkId, workerKey),
    instanceCount: state.instanceCount + (known?.report === undefined ? 1 : 0),
    dueGrants: isNewClock ? state.dueGrants.add(workerKey) : state.dueGrants,
    awaited: state.awaited.delete(workerKey),
    // The row has to be written before a worker that it names as awaited gets a lease.
    renewAtMs: isAwaited(state, workerKey) ? nowMs : state.renewAtMs,
    needsPlacement:
      state.needsPlacement ||
      isChanged ||
      hasOtherRoom ||
      known.linkId === undefined ||
      known.isUnreachable === true,
  };
  const granted = grantIfAllowed(updated, workerKey, nowMs);
  return withEffects(granted.state, [...granted.effects, ...log]);
}

/**
 * Releases the earlier instances of a worker that the report proves to have ended, without the runs
 * that the worker lists.
 */
function releaseEarlierInstances(
  state: SchedulerState,
  report: Report,
  nowMs: number,
): SchedulerStep {
  const earlier = earlierInstances(state.instances, report.worker);
  const ended = earlier.filter((key) => !isReportedElsewhere(state, key, report, nowMs));
  const released = chainAfter(
    moveListedRuns(state, ended, report),
    ended.map((workerKey) => (current: SchedulerState) => {
      const lateStarts = lateStartsOn(current, workerKey, report.agentId, nowMs);
      const proof = { endReason: 'laterReport', by: report.workerKey };
      return lateStarts.length > 0
        ? releaseEndedRuns(current, workerKey, lateStarts, nowMs, 'workerGone', proof)
        : releaseWorker(current, workerKey, 'workerGone', nowMs, proof);
    }),
  );
  if (ended.length < earlier.length) return released;
  return chainAfter(released, [(current) => unchanged(markCompared(current, report.workerKey))]);
}

/**
 * Returns the last end that is acknowledged. The worker has to keep those of held jobs, and an
 * acknowledgement covers all ends before it.
 */
function lastAcknowledged(
  state: SchedulerState,
  { ended }: Report,
  handledSequence: number,
): number {
  const held = ended.find(({ task }) => isHeldTask(state, task));
  return held === undefined ? handledSequence : Math.min(handledSequence, held.sequence - 1);
}

function applyEnds(
  state: SchedulerState,
  report: Report,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const { workerKey } = report;
  const view = state.workers.get(workerKey);
  const unhandled = report.ended.filter(({ sequence }) => sequence > (view?.handledSequence ?? 0));
  const last = unhandled.at(-1);
  if (view === undefined || last === undefined) return unchanged(state);
  const step = chainAll(
    state,
    unhandled.flatMap((ended) => [
      (current: SchedulerState) => logEndAfterRelease(current, { ...ended, workerKey }, nowMs),
      (current: SchedulerState) =>
        showsLateRun(ended.end)
          ? logListedAfterRelease(current, workerKey, ended, ended.end, nowMs)
          : unchanged(current),
      (current: SchedulerState) => applyEnd(current, { ...ended, workerKey }, nowMs, wallMs),
    ]),
  );
  const handled = step.state.workers.get(workerKey) ?? view;
  const updated: SchedulerState = {
    ...step.state,
    workers: step.state.workers.set(workerKey, { ...handled, handledSequence: last.sequence }),
    needsPlacement: true,
  };
  const sequence = lastAcknowledged(state, report, last.sequence);
  if (sequence < (report.ended[0]?.sequence ?? 0)) return withEffects(updated, step.effects);
  const jobIds = unhandled.flatMap(({ task }) => parseTaskName(task)?.jobId ?? []);
  return withEffects(
    addPostCommitAction(
      updated,
      { kind: 'acknowledge', workerKey, sequence },
      { kind: 'jobs', jobIds: [...new Set(jobIds)] },
    ),
    step.effects,
  );
}

function applyListing(known: RunView, listed: ListedRun, nowMs: number): RunView {
  const isSame = known.isListed && known.percent === listed.percent && known.load === listed.load;
  if (isSame) return known;
  const hasProgressed = listed.percent !== known.percent || !known.isListed;
  const target = known.stage.latencyTargetMs;
  const isHarmed = target !== undefined && listed.load >= target * HARMED_RATIO;
  return {
    ...(isHarmed || known.harmedSinceMs === undefined ? known : without(known, 'harmedSinceMs')),
    ...(isHarmed ? { harmedSinceMs: known.harmedSinceMs ?? nowMs } : {}),
    isListed: true,
    listedAtMs: known.isListed ? known.listedAtMs : nowMs,
    percent: listed.percent,
    percentAtMs: hasProgressed ? nowMs : known.percentAtMs,
    load: listed.load,
  };
}

/** Updates a run that a worker lists as running, or stops one that is not wanted. */
function updateListed(
  state: SchedulerState,
  workerKey: string,
  listed: ListedRun,
  nowMs: number,
): SchedulerStep {
  const { task, attempt, checkpoint } = listed;
  const run = state.runs.byTask.get(task);
  const open = run === undefined ? undefined : state.jobs.get(run.jobId);
  if (run === undefined || open === undefined || !isWanted(state, workerKey, listed)) {
    const unwanted = runRef(task, attempt);
    const kept = keepUnwanted(state, workerKey, unwanted);
    if (isHeldTask(state, task)) return unchanged(kept);
    return chainAll(kept, [
      (next) => logListedAfterRelease(next, workerKey, unwanted, 'running', nowMs),
      (next) => stopUnwanted(next, workerKey, unwanted, nowMs),
    ]);
  }
  const isStopDue = run.stopSentAtMs !== undefined && nowMs - run.stopSentAtMs > STOP_REPEAT_MS;
  const view = applyListing(isStopDue ? { ...run, stopSentAtMs: nowMs } : run, listed, nowMs);
  const { slot, jobId } = run;
  const stored = taskProgress(open.progress, slot);
  const isNew = acceptsEvent(stored, 'started');
  const savesNow =
    checkpoint !== '' && checkpoint !== stored.checkpoint && run.stage.savesCheckpoints;
  if (view === run && !isNew && !savesNow) return unchanged(state);
  const runs = view === run ? state.runs : putRun(state.runs, task, view);
  const stops = isStopDue
    ? sendToWorker(state, workerKey, { kind: 'stop', workerKey, run: runRef(task, attempt) })
    : [];
  if (!isNew && !savesNow) return withEffects({ ...state, runs }, stops);
  const moved = { ...advanceRun(stored, 'started'), ...(savesNow ? { checkpoint } : {}) };
  const progress = withTasks(open.progress, [[slot, moved]]);
  // The change stays in memory; the row is written with the next change that has to be durable.
  const time = isNew ? taskTime(open, slot, { kind: 'started' }, nowMs) : {};
  const jobs = state.jobs.set(jobId, { ...open, progress, ...time });
  const startedAfterMs = Math.round(nowMs - run.claimedAtMs);
  const fields = { job: jobId, task, attempt, worker: workerKey, startedAfterMs };
  return withEffects({ ...state, jobs, runs }, [
    ...stops,
    ...(isNew ? [taskLog(run.stage, 'taskStarted', fields)] : []),
  ]);
}

/** Releases runs whose orders have reached the agent and that its report does not list. */
function releaseMissingRuns(state: SchedulerState, report: Report, nowMs: number): SchedulerStep {
  const { workerKey } = report;
  const known = new Set(
    [...report.running, ...report.pending, ...report.ended].map((run) => runKey(run)),
  );
  const isMissing = (run: { readonly attempt: number; readonly order: number }, task: string) =>
    run.order <= report.lastOrder && !known.has(runKey({ task, attempt: run.attempt }));
  // The end of a missing run may be among those that the worker has not listed yet.
  const listsAllEnds = report.ended.length < MAX_LISTED_ENDS;
  const missing = [...runsOn(state.runs, workerKey)]
    .filter(
      ([task, run]) =>
        listsAllEnds &&
        run.isOrdered &&
        isMissing(run, task) &&
        !mayStartLate(run, report.agentId, nowMs),
    )
    .map(([task]) => task);
  const occupying = new Set([...report.running, ...report.pending].map((run) => runKey(run)));
  const settled = [
    ...runsOn(state.orphans, workerKey)
      .filter((run, key) => run.order <= report.lastOrder && !occupying.has(key))
      .keys(),
  ];
  const orphans = dropRuns(state.orphans, settled);
  const needsPlacement = state.needsPlacement || settled.length > 0;
  return chainAll(
    { ...state, orphans, needsPlacement },
    missing.map(
      (task) => (current: SchedulerState) =>
        releaseRun(current, task, 'neverStarted', nowMs, { lastOrder: report.lastOrder }),
    ),
  );
}

/** Makes the runs of a worker with a new connection count as ordered before its first order. */
function resetOrders(state: SchedulerState, report: Report, linkId: string): SchedulerState {
  const known = state.workers.get(report.workerKey);
  if (known?.linkId === linkId) return state;
  return {
    ...state,
    runs: [...runsOn(state.runs, report.workerKey)].reduce(
      (table, [task, run]) => putRun(table, task, { ...run, order: 0 }),
      state.runs,
    ),
    orphans: [...runsOn(state.orphans, report.workerKey)].reduce(
      (table, [task, orphan]) => putRun(table, task, { ...orphan, order: 0 }),
      state.orphans,
    ),
  };
}

/** Applies an agent's report of its worker. */
export function onReport(
  state: SchedulerState,
  linkId: string,
  report: Report,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const { workerKey } = report;
  const isCompared = wasCompared(state, report);
  if (!isCompared && hasNewerInstance(state, report)) return unchanged(state);
  const reason = staleReason(state, linkId, report);
  if (reason !== undefined) {
    const fields = { worker: workerKey, agent: report.agentId, reason };
    return withEffects(state, [logEffect('reportIgnored', fields)]);
  }
  return chainAll(resetOrders(state, report, linkId), [
    (current) => unchanged(storeAddress(current, workerKey, report.worker.address)),
    (current) => updateWorker(current, linkId, report, nowMs, wallMs),
    (current) =>
      isCompared ? unchanged(current) : releaseEarlierInstances(current, report, nowMs),
    (current) => applyEnds(current, report, nowMs, wallMs),
    ...report.running.map(
      (listed) => (current: SchedulerState) => updateListed(current, workerKey, listed, nowMs),
    ),
    (current) => unchanged(keepUnwantedStarts(current, report)),
    (current) => releaseMissingRuns(current, report, nowMs),
    (current) => clearProvenRuns(current, workerKey, nowMs),
    (current) => orderHeldStarts(current, workerKey, nowMs),
  ]);
}

/** Records that an agent cannot reach its worker, until its next report. */
function noteUnreachable(state: SchedulerState, { workerKey, reason }: Refusal): SchedulerState {
  const view = state.workers.get(workerKey);
  if (view === undefined || reason !== 'unreachable') return state;
  const workers = state.workers.set(workerKey, { ...view, isUnreachable: true });
  return { ...state, workers };
}

/** Releases a run whose order was refused; the run did not start and never will. */
export function onOrderRefused(
  known: SchedulerState,
  message: Refusal,
  nowMs: number,
): SchedulerStep {
  const state = noteUnreachable(known, message);
  const { task, attempt } = message.run;
  const run = state.runs.byTask.get(task);
  const log = taskLog(knownStage(state, message.run), 'orderRefused', {
    task,
    attempt,
    worker: message.workerKey,
    reason: message.reason,
  });
  if (run?.attempt !== attempt || run.workerKey !== message.workerKey) {
    return withEffects({ ...state, orphans: dropRun(state.orphans, runKey(message.run)) }, [log]);
  }
  const step = releaseRun(state, task, 'refused', nowMs);
  return withEffects(step.state, [log, ...step.effects]);
}
