import { assertNever, unchanged } from '@bronzeyoke/types';
import { taskProgress } from '@bronzeyoke/workflow';
import { hasRoomForClaims } from './loads';
import type { PostCommitAction } from './pending';
import { releaseRun } from './release';
import { putRun } from './runs';
import { sendToWorker, withEffects } from './state';
import { taskLog } from './tasklog';
import type { SchedulerState, SchedulerStep } from './types';
import { runRef } from './types';

function sendStart(
  state: SchedulerState,
  task: string,
  attempt: number,
  nowMs: number,
): SchedulerStep {
  const run = state.runs.byTask.get(task);
  const open = run === undefined ? undefined : state.jobs.get(run.jobId);
  if (run === undefined || open === undefined) return unchanged(state);
  const { workerKey, jobId } = run;
  const stored = taskProgress(open.progress, run.slot);
  const worker = state.workers.get(workerKey);
  const link = worker?.linkId === undefined ? undefined : state.links.get(worker.linkId);
  if (run.attempt !== attempt || open.isCancelled) return unchanged(state);
  // No worker would ever list the end of a run that was stopped before its order.
  if (stored.phase === 'stopping' && !run.isOrdered) {
    return releaseRun(state, task, 'stoppedBeforeOrder', nowMs);
  }
  if (stored.phase !== 'claimed') return unchanged(state);
  if (worker?.linkId === undefined || link === undefined) {
    return releaseRun(state, task, 'notConnected', nowMs);
  }
  if (!hasRoomForClaims(state, workerKey)) {
    return releaseRun(state, task, 'roomShrunk', nowMs);
  }
  const order = link.lastOrder + 1;
  const { checkpoint } = stored;
  return withEffects(
    {
      ...state,
      links: state.links.set(worker.linkId, { ...link, lastOrder: order }),
      runs: putRun(state.runs, task, {
        ...run,
        order,
        isOrdered: true,
        ...(worker.agentId === undefined ? {} : { orderedAgentId: worker.agentId }),
      }),
    },
    [
      {
        kind: 'send',
        linkId: worker.linkId,
        message: {
          kind: 'start',
          workerKey,
          order,
          run: runRef(task, attempt),
          payload: open.job.payload,
          ...(checkpoint === undefined ? {} : { checkpoint }),
        },
      },
      taskLog(run.stage, 'taskPlaced', {
        job: jobId,
        task,
        attempt,
        worker: workerKey,
        storedAfterMs: Math.round(nowMs - run.claimedAtMs),
      }),
    ],
  );
}

/** Performs an action once the rows that it depends on are stored. */
export function performPostCommit(
  state: SchedulerState,
  action: PostCommitAction,
  nowMs: number,
): SchedulerStep {
  switch (action.kind) {
    case 'start':
      return sendStart(state, action.task, action.attempt, nowMs);
    case 'acknowledge': {
      const { workerKey, sequence } = action;
      return withEffects(
        state,
        sendToWorker(state, workerKey, { kind: 'acknowledge', workerKey, sequence }),
      );
    }
    case 'confirmGone': {
      const { linkId, workerKey } = action;
      const message = { kind: 'goneRecorded', workerKey } as const;
      return withEffects(state, [{ kind: 'send', linkId, message }]);
    }
    default:
      return assertNever(action);
  }
}
