import type { WorkerCallResult } from '@bronzeyoke/ports';
import { jobKey, progressKey } from '@bronzeyoke/scheduler';
import { advanceTaskWorker, callTaskWorker, rowId } from '@bronzeyoke/standins';
import { decodeJob, decodeProgress, parseTaskName } from '@bronzeyoke/workflow';
import { recordCall } from './repeats';
import { logCall } from './runlog';
import type { EventOf, Fleet, FleetViolation } from './world';
import { drawStepUniform, isActive, schedule, workerClockMs } from './world';

/** Time after which an agent gives up a call whose reply is lost. */
const CALL_TIMEOUT_MS = 700;

function isRunningElsewhere(fleet: Fleet, task: string, site: string): boolean {
  const { nowMs } = fleet;
  return fleet.workers.some(
    (worker) =>
      worker.site !== site &&
      advanceTaskWorker(worker.state, workerClockMs(worker, nowMs)).runs.has(task),
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
  const { site, agentBootId, workerId, callId, call, isLate } = item;
  const isFaulty = (kind: 'refuseCalls' | 'loseCalls' | 'loseReplies'): boolean =>
    isActive(fleet, (fault) => fault.kind === kind && fault.site === site);
  const replyAfter = (current: Fleet, delayMs: number, result: WorkerCallResult): Fleet =>
    schedule(current, delayMs, {
      kind: 'agentEvent',
      site,
      bootId: agentBootId,
      event: { kind: 'callDone', callId, result },
    });
  const timeOut = (current: Fleet): Fleet => replyAfter(current, CALL_TIMEOUT_MS, { kind: 'lost' });
  const reply = (current: Fleet, result: WorkerCallResult): Fleet => {
    if (isLate) return current;
    return isFaulty('loseReplies') ? timeOut(current) : replyAfter(current, 1, result);
  };
  const worker = fleet.workers.get(site);
  if (isFaulty('loseCalls')) return timeOut(fleet);
  if (worker === undefined || isFaulty('refuseCalls'))
    return reply(fleet, { kind: 'notListening' });
  if (worker.id !== workerId) return reply(fleet, { kind: 'otherWorker' });
  const workMs = 200 + Math.floor(drawStepUniform(fleet, 7) * 3_000);
  const listed = worker.state.ends;
  const step = callTaskWorker(worker.state, call, workerClockMs(worker, fleet.nowMs), workMs);
  const acknowledged =
    call.kind === 'hold'
      ? listed.filter(({ sequence, end }) => end === 'done' && sequence <= call.ackSequence)
      : listed.clear();
  const logged = logCall(fleet, worker, call, step);
  const isLasting = step.started !== undefined && isLastingTask(fleet, step.started.task);
  const recorded = { worker, step, isLate, isLasting };
  const updated: Fleet = {
    ...logged,
    runRecords: recordCall(fleet.runRecords, recorded, fleet.nowMs),
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
