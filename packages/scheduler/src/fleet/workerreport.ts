import type { Map } from 'immutable';
import { logEffect } from '@bronzeyoke/telemetry';
import type { Resources } from '@bronzeyoke/types';
import { isSameAmount } from '@bronzeyoke/types';
import type { Report } from '@bronzeyoke/wire';
import { grantIfAllowed } from './grants';
import { putInstance } from './identities';
import { firstLeaseBasis } from './leasebasis';
import { firstLeaseEndAtMs, isAwaited } from './leases';
import { addReporter } from './links';
import { firstUnsettledEnd } from './unsettledends';
import { runKey } from '../runs';
import { withEffects } from '../state';
import type { SchedulerEffect, SchedulerState, SchedulerStep } from '../types';
import type { UnwantedStop, WorkerView } from '../views';

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

/** Returns what a report says of its worker, with what it leaves as it was known. */
function reportedView(
  state: SchedulerState,
  linkId: string,
  report: Report,
  nowMs: number,
  wallMs: number,
): WorkerView {
  const { workerKey, worker, agentId, clockMs } = report;
  const times = state.storedTimes ?? state.settings.times;
  const known = state.workers.get(workerKey);
  const awaitsLapse = firstUnsettledEnd(state, report) !== undefined;
  // The ends that were held back until the lease has ended are handled once more, and acknowledged.
  const isSettled = known?.awaitsLapse !== true || awaitsLapse;
  return {
    workerKey,
    report: worker,
    reportedAtMs: nowMs,
    agentId,
    linkId,
    linkNumber: state.links.get(linkId)?.number ?? -1,
    clockMs: Math.max(clockMs, known?.clockMs ?? -1),
    expiresAtMs: known?.expiresAtMs ?? firstLeaseEndAtMs(times, worker.bornAtMs, nowMs, wallMs),
    leaseFrom: known?.leaseFrom ?? firstLeaseBasis(times, worker.bornAtMs, nowMs, wallMs),
    handledSequence: known?.linkId === linkId && isSettled ? known.handledSequence : 0,
    failedJobs: known?.failedJobs ?? [],
    quarantinedUntilMs: known?.quarantinedUntilMs ?? 0,
    ...(awaitsLapse ? { awaitsLapse } : {}),
    ...(known?.comparedCount === undefined ? {} : { comparedCount: known.comparedCount }),
    ...(known?.unwantedStops === undefined
      ? {}
      : { unwantedStops: stillListed(known.unwantedStops, report) }),
  };
}

/** Returns whether a worker is new, or starts or ends to drain. */
function isDrainChanged(known: WorkerView | undefined, { worker }: Report): boolean {
  return known?.report === undefined || known.report.isDraining !== worker.isDraining;
}

/** Returns whether tasks may fit a worker that did not fit it before its report. */
function changesRoom(known: WorkerView | undefined, report: Report): boolean {
  return (
    isDrainChanged(known, report) ||
    !isSameAmount(known?.report?.capacity, report.worker.capacity) ||
    known?.linkId === undefined ||
    known.isUnreachable === true
  );
}

/** Logs a worker that gets no lease because of a success that must not count. */
function logAwaitedLapse(
  state: SchedulerState,
  known: WorkerView | undefined,
  view: WorkerView,
  report: Report,
): readonly SchedulerEffect[] {
  if (view.awaitsLapse !== true || known?.awaitsLapse === true) return [];
  const unsettled = firstUnsettledEnd(state, report);
  if (unsettled === undefined) return [];
  const { task, attempt, sequence } = unsettled;
  return [logEffect('lapseAwaited', { worker: report.workerKey, task, attempt, sequence })];
}

function logWorker(known: WorkerView | undefined, report: Report): readonly SchedulerEffect[] {
  const { workerKey, agentId, worker } = report;
  const { id, service, domain, isDraining, capacity } = worker;
  const resized = logResize(workerKey, known?.report?.capacity, capacity);
  if (!isDrainChanged(known, report)) return resized;
  const fields = { worker: workerKey, id, service, domain, agent: agentId };
  return [logEffect(isDraining ? 'workerDraining' : 'workerSeen', fields), ...resized];
}

/** Updates the state of a worker, and grants one lease for each new value of its clock. */
export function updateWorker(
  state: SchedulerState,
  linkId: string,
  report: Report,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const { workerKey, clockMs } = report;
  const known = state.workers.get(workerKey);
  const view = reportedView(state, linkId, report, nowMs, wallMs);
  const isNewClock = clockMs > (known?.clockMs ?? -1);
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
    needsPlacement: state.needsPlacement || changesRoom(known, report),
  };
  const granted = grantIfAllowed(updated, workerKey, nowMs);
  return withEffects(granted.state, [
    ...granted.effects,
    ...logWorker(known, report),
    ...logAwaitedLapse(state, known, view, report),
  ]);
}
