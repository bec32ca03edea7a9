import { workerKeyOf } from '@bronzeyoke/ports';
import type { WorkerCallResult } from '@bronzeyoke/ports';
import { jobKey, progressKey } from '@bronzeyoke/scheduler';
import { advanceTaskWorker, callTaskWorker, rowId } from '@bronzeyoke/standins';
import { decodeJob, decodeProgress, parseTaskName } from '@bronzeyoke/workflow';
import { INTERVALS } from './process';
import type { EventOf, Fleet, FleetViolation } from './world';
import { drawStepUniform, schedule, workerReport } from './world';

function isRunningElsewhere(fleet: Fleet, task: string, site: string): boolean {
  const clockMs = fleet.nowMs;
  return fleet.workers.some(
    (worker) => worker.site !== site && advanceTaskWorker(worker.state, clockMs).runs.has(task),
  );
}

/** Returns the violations by a start of a task at a worker. */
function checkStart(fleet: Fleet, task: string, site: string): readonly FleetViolation[] {
  const atMs = fleet.nowMs;
  const jobId = parseTaskName(task)?.jobId ?? '';
  const row = fleet.store.rows.get(rowId(progressKey(jobId)));
  const isOver = decodeProgress(row?.value)?.outcome === 'complete';
  return [
    ...(isRunningElsewhere(fleet, task, site)
      ? [{ kind: 'concurrentRun', task, atMs } as const]
      : []),
    ...(fleet.acknowledgedTasks.has(task)
      ? [{ kind: 'runAfterSuccess', task, atMs } as const]
      : []),
    ...(isOver ? [{ kind: 'runAfterJobEnd', task, atMs } as const] : []),
  ];
}

/** Returns whether a task belongs to a stored job that lasts. Its runs are no successes. */
function isLastingTask(fleet: Fleet, task: string): boolean {
  const ref = parseTaskName(task);
  if (ref === undefined) return false;
  const job = decodeJob(fleet.store.rows.get(rowId(jobKey(ref.jobId)))?.value);
  return job?.stages[ref.stageIndex]?.isLasting === true;
}

/** Performs an agent's call at its worker. */
export function callWorker(fleet: Fleet, item: EventOf<'workerCall'>): Fleet {
  const { site, agentBootId, workerKey, callId, call, isLate } = item;
  const reply = (current: Fleet, result: WorkerCallResult): Fleet =>
    isLate
      ? current
      : schedule(current, 1, {
          kind: 'agentEvent',
          site,
          bootId: agentBootId,
          event: { kind: 'callDone', callId, result },
        });
  const worker = fleet.workers.get(site);
  if (worker === undefined) return reply(fleet, { kind: 'notListening' });
  const report = workerReport(worker, 0);
  if (workerKeyOf(report) !== workerKey) return reply(fleet, { kind: 'otherWorker' });
  const workMs = 200 + Math.floor(drawStepUniform(fleet, 7) * 3_000);
  const listed = worker.state.ends;
  const step = callTaskWorker(worker.state, call, fleet.nowMs, workMs);
  const acknowledged =
    call.kind === 'hold'
      ? listed.filter(({ sequence, end }) => end === 'done' && sequence <= call.ackSequence)
      : listed.clear();
  const updated: Fleet = {
    ...fleet,
    workers: fleet.workers.set(site, { ...worker, state: step.state }),
    acknowledgedTasks: fleet.acknowledgedTasks.union(
      acknowledged.map(({ task }) => task).filterNot((task) => isLastingTask(fleet, task)),
    ),
  };
  const { started } = step;
  const checked =
    started === undefined
      ? updated
      : {
          ...updated,
          starts: updated.starts + 1,
          startedAtMs: updated.startedAtMs.set(started.task, updated.nowMs),
          violations: [...updated.violations, ...checkStart(updated, started.task, site)],
        };
  return reply(checked, step.result);
}

/** Reports a worker to its agent, and schedules the next report. */
export function sendHeartbeat(fleet: Fleet, site: string): Fleet {
  const worker = fleet.workers.get(site);
  const agent = fleet.agents.get(site);
  if (worker === undefined) return fleet;
  const rescheduled = schedule(fleet, INTERVALS.heartbeatMs, { kind: 'heartbeat', site });
  if (agent === undefined) return rescheduled;
  const report = workerReport(worker, fleet.sequence);
  return schedule(rescheduled, 1, {
    kind: 'agentEvent',
    site,
    bootId: agent.bootId,
    event: { kind: 'heartbeat', report },
  });
}

/** Sends an agent a heartbeat of another writer, with a later birth than its worker's. */
export function sendOddHeartbeat(fleet: Fleet, site: string): Fleet {
  const worker = fleet.workers.get(site);
  const agent = fleet.agents.get(site);
  if (worker === undefined || agent === undefined) return fleet;
  const report = {
    ...workerReport(worker, fleet.sequence),
    id: 'odd',
    address: 'odd:1',
    service: 'retired',
    bornAtMs: worker.state.bornAtMs + 1,
  };
  const event = { kind: 'heartbeat', report } as const;
  return schedule(fleet, 1, { kind: 'agentEvent', site, bootId: agent.bootId, event });
}
