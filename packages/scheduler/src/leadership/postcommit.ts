import type { Map } from 'immutable';
import { largestMilli, sizeClassOf } from '@bronzeyoke/runtimes';
import type { EventFields } from '@bronzeyoke/telemetry';
import { assertNever, chainAll, unchanged } from '@bronzeyoke/types';
import { taskProgress } from '@bronzeyoke/workflow';
import { hasRoomForClaims } from '../fleet/loads';
import { HOLD_START_MS } from './holdstart';
import type { PostCommitAction } from './pending';
import { releaseRun } from '../fleet/release';
import { recordTaskTime } from '../jobs/openjob';
import { mayStartIn } from '../placement/evacuations';
import { policyOf } from '../policy';
import { dropRuns, putRun, runsOn } from '../runs';
import { sendToWorker, withEffects } from '../state';
import { taskLog } from '../tasklog';
import type { SchedulerState, SchedulerStep } from '../types';
import { runRef } from '../types';
import type { HeldStart, OpenJob, RunView } from '../views';

/** Keeps a stored claim until its agent reports on its next connection. */
function holdStart(
  state: SchedulerState,
  task: string,
  run: RunView,
  nowMs: number,
): SchedulerState {
  const { workerKey, attempt } = run;
  const held = { workerKey, attempt, untilMs: nowMs + HOLD_START_MS };
  const recorded = recordTaskTime(state, run, { kind: 'held' }, nowMs);
  return { ...recorded, heldStarts: putRun(state.heldStarts, task, held) };
}

/** Returns whether a held claim is still that of its task. */
export function isClaimedOn(state: SchedulerState, task: string, held: HeldStart): boolean {
  const run = state.runs.byTask.get(task);
  return run?.attempt === held.attempt && run.workerKey === held.workerKey && !run.isOrdered;
}

/**
 * Returns the workers of some claimed tasks that have room for all runs that were claimed there. They
 * keep it while claims are only ordered or released, so one check serves all orders of an event.
 */
function workersWithRoom(state: SchedulerState, tasks: readonly string[]): ReadonlySet<string> {
  const claimedOn = tasks.flatMap((task) => state.runs.byTask.get(task)?.workerKey ?? []);
  return new Set([...new Set(claimedOn)].filter((workerKey) => hasRoomForClaims(state, workerKey)));
}

/** Returns how long the first claim of a task has waited for room, and its size; not without look-ahead. */
function noRoomFields(
  { settings }: SchedulerState,
  { latency }: OpenJob,
  run: RunView,
): EventFields {
  const times = latency.tasks.get(run.slot);
  if (!policyOf(settings).looksAhead || times?.runCount !== 1) return {};
  return {
    noRoomMs: Math.round(times.firstClaimAtMs - times.firstNoRoomSinceMs),
    upToMilli: largestMilli(sizeClassOf(run.stage.needs.processorsMilli)),
  };
}

/** Orders a stored claim. The room of a worker that is not in `withRoom` is checked once more. */
function sendStart(
  state: SchedulerState,
  task: string,
  attempt: number,
  withRoom: ReadonlySet<string>,
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
    return unchanged(holdStart(state, task, run, nowMs));
  }
  // The evacuation may have come, or its confirmation may have become too old, since the claim.
  if (worker.report !== undefined && !mayStartIn(state, worker.report.domain, nowMs)) {
    return releaseRun(state, task, 'domainOut', nowMs);
  }
  if (!withRoom.has(workerKey) && !hasRoomForClaims(state, workerKey)) {
    return releaseRun(state, task, 'roomShrunk', nowMs);
  }
  const order = link.lastOrder + 1;
  const { checkpoint } = stored;
  return withEffects(
    {
      ...recordTaskTime(state, run, { kind: 'ordered' }, nowMs),
      links: state.links.set(worker.linkId, { ...link, lastOrder: order }),
      runs: putRun(state.runs, task, {
        ...run,
        order,
        isOrdered: true,
        orderedAtMs: nowMs,
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
        ...noRoomFields(state, open, run),
      }),
    ],
  );
}

/** Takes some held claims out, and settles those that are still the claims of their tasks. */
function settleHeldStarts(
  state: SchedulerState,
  due: Map<string, HeldStart>,
  settle: (current: SchedulerState, task: string, attempt: number) => SchedulerStep,
): SchedulerStep {
  return chainAll(
    { ...state, heldStarts: dropRuns(state.heldStarts, due.keys()) },
    [...due].map(
      ([task, held]) =>
        (current: SchedulerState) =>
          isClaimedOn(current, task, held)
            ? settle(current, task, held.attempt)
            : unchanged(current),
    ),
  );
}

/** Orders the claims that have waited for a connection of a worker's agent. */
export function orderHeldStarts(
  state: SchedulerState,
  workerKey: string,
  nowMs: number,
): SchedulerStep {
  const due = runsOn(state.heldStarts, workerKey);
  // An agent that has no lease yet would refuse the order.
  if (due.isEmpty() || state.dueGrants.has(workerKey)) return unchanged(state);
  const withRoom = workersWithRoom(state, [...due.keys()]);
  return settleHeldStarts(state, due, (current, task, attempt) =>
    sendStart(current, task, attempt, withRoom, nowMs),
  );
}

/** Orders the held claims of workers whose agents are connected and have got their leases. */
export function orderGrantedStarts(state: SchedulerState, nowMs: number): SchedulerStep {
  return chainAll(
    state,
    [...state.heldStarts.byWorker.keys()]
      .filter((workerKey) => state.workers.get(workerKey)?.linkId !== undefined)
      .map((workerKey) => (current: SchedulerState) => orderHeldStarts(current, workerKey, nowMs)),
  );
}

/** Gives back the claims whose agents have stayed away. */
export function releaseHeldStarts(state: SchedulerState, nowMs: number): SchedulerStep {
  const late = state.heldStarts.byTask.filter(({ untilMs }) => untilMs <= nowMs);
  if (late.isEmpty()) return unchanged(state);
  return settleHeldStarts(state, late, (current, task) =>
    releaseRun(current, task, 'notConnected', nowMs),
  );
}

function performAction(
  state: SchedulerState,
  action: PostCommitAction,
  withRoom: ReadonlySet<string>,
  nowMs: number,
): SchedulerStep {
  switch (action.kind) {
    case 'start':
      return sendStart(state, action.task, action.attempt, withRoom, nowMs);
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

/** Performs the actions whose rows a transaction has stored. */
export function performPostCommit(
  state: SchedulerState,
  actions: readonly PostCommitAction[],
  nowMs: number,
): SchedulerStep {
  const started = actions.flatMap((action) => (action.kind === 'start' ? [action.task] : []));
  const withRoom = workersWithRoom(state, started);
  return chainAll(
    state,
    actions.map(
      (action) => (current: SchedulerState) => performAction(current, action, withRoom, nowMs),
    ),
  );
}
