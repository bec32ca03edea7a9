import { Map } from 'immutable';
import { advance } from '@bronzeyoke/chart';
import type { ListedEnd, WorkerCall, WorkerCallResult, WorkerReport } from '@bronzeyoke/ports';
import { LATE_CALL_MS, workerKeyOf } from '@bronzeyoke/ports';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, unchanged, without } from '@bronzeyoke/types';
import type { WorkerEndCause, WorkerEndReason } from '@bronzeyoke/wire';
import { endEvidence, isLeaseOver, looksCrashed } from './failures';
import { recentStartsOf } from './recentstarts';
import { sendToLeader } from './report';
import type {
  GoneWorker,
  RunnerEffect,
  RunnerState,
  RunnerStep,
  StartCall,
  WorkerState,
} from './types';
import { goneChart, orderKey } from './types';

/** Without a leader, only the first of many short-lived instances may still have tasks. */
const MAX_GONE_WORKERS = 64;

/** Interval at which a gone worker is reported again until the leader has recorded it. */
const GONE_REPEAT_MS = 1_000;

/** How the agent learned that a worker is gone. */
export type GoneReason = Exclude<WorkerEndReason, 'unknown'>;

type GoneEvent =
  'settled' | 'successor' | 'replaced' | 'listed' | 'endsListed' | 'successorGone' | 'recorded';

/** Returns whether a later instance under the id may still carry out a start call. */
function mayTakeEffect({ calledAtMs }: StartCall, nowMs: number): boolean {
  return nowMs - calledAtMs < LATE_CALL_MS;
}

/** Returns the start calls of a gone worker that a later instance under its id may carry out. */
function openStartsOf(
  { pending }: WorkerState,
  reason: GoneReason,
  nowMs: number,
): Map<string, StartCall> {
  switch (reason) {
    case 'restarted':
      return pending;
    case 'leaseEnded':
      // Also those with a reply: a later instance may have given it.
      return pending.filter((call) => mayTakeEffect(call, nowMs));
    case 'otherWorker':
      // Calls name an id, and no other instance accepts them.
      return Map();
    default:
      return assertNever(reason);
  }
}

/** Returns the message about a worker that is gone, or of which a later instance may begin runs. */
function goneMessage(state: RunnerState, gone: GoneWorker): readonly RunnerEffect[] {
  const { workerKey, cause, reason, recentStarts, openStarts, phase } = gone;
  const end = { workerKey, cause, reason, recentStarts };
  const openRuns = openStarts
    .valueSeq()
    .map(({ run }) => run)
    .toArray();
  return sendToLeader(
    state,
    phase === 'ended' ? { kind: 'workerGone', ...end } : { kind: 'workerEnded', openRuns, ...end },
  );
}

/** Returns why a worker ended. It may have announced its end by draining, or by its last message. */
function causeOf(worker: WorkerState, reason: GoneReason): WorkerEndCause {
  if (worker.report.isDraining || worker.leftAtList !== undefined) return 'left';
  switch (reason) {
    case 'restarted':
    case 'otherWorker':
      return 'crashed';
    case 'leaseEnded':
      return looksCrashed(worker) ? 'crashed' : 'unreachable';
    default:
      return assertNever(reason);
  }
}

/** Applies an event to the gone workers for which `isMeant` holds. */
function advanceGone(
  state: RunnerState,
  event: GoneEvent,
  isMeant: (gone: GoneWorker) => boolean,
): RunnerStep {
  const changes = state.goneWorkers.map((gone) => {
    const { state: phase, actions } = isMeant(gone)
      ? advance(goneChart, gone.phase, event)
      : { state: gone.phase, actions: [] };
    const advanced = { ...gone, phase };
    const effects = actions.includes('report') ? goneMessage(state, advanced) : [];
    return { gone: advanced, effects };
  });
  return {
    state: { ...state, goneWorkers: changes.map(({ gone }) => gone) },
    effects: changes.flatMap(({ effects }) => effects),
  };
}

function settleEmpty(state: RunnerState): RunnerStep {
  return advanceGone(state, 'settled', ({ openStarts }) => openStarts.isEmpty());
}

/** Removes a worker that is gone, with everything that it ran. */
export function removeWorker(state: RunnerState, reason: GoneReason, nowMs: number): RunnerStep {
  const { worker } = state;
  const rest = without(state, 'worker', 'holdCallId');
  if (worker === undefined) return unchanged(state);
  const { workerKey } = worker;
  const gone: GoneWorker = {
    workerKey,
    id: worker.report.id,
    address: worker.report.address,
    reason,
    phase: goneChart.initial,
    openStarts: openStartsOf(worker, reason, nowMs),
    cause: causeOf(worker, reason),
    recentStarts: recentStartsOf(worker, nowMs),
  };
  const earlier = advanceGone(rest, 'successorGone', () => true);
  const step = settleEmpty({
    ...earlier.state,
    goneWorkers: [...earlier.state.goneWorkers, gone].slice(0, MAX_GONE_WORKERS),
  });
  const ended = gone.openStarts.isEmpty() ? [] : goneMessage(state, gone);
  const log = logEffect('workerGone', {
    worker: workerKey,
    reason,
    openStarts: gone.openStarts.size,
    cause: gone.cause,
    recentStarts: gone.recentStarts.length,
    ...endEvidence(worker, nowMs),
  });
  return { state: step.state, effects: [...ended, ...step.effects, log] };
}

/** Removes a worker that has not answered until its lease ended. */
export function endUnansweredWorker(state: RunnerState, nowMs: number): RunnerStep {
  const { worker } = state;
  return worker !== undefined && isLeaseOver(worker, nowMs)
    ? removeWorker(state, 'leaseEnded', nowMs)
    : unchanged(state);
}

/** Handles the first list of an instance that follows gone ones, or of one that was born earlier. */
export function onSuccessorSeen(
  state: RunnerState,
  { id, address }: WorkerReport,
  isLater: boolean,
): RunnerStep {
  // Calls to a gone worker reach its address, where they are refused under another id.
  const isReplaced = (gone: GoneWorker): boolean => gone.id !== id && gone.address === address;
  const replaced = advanceGone(state, 'replaced', (gone) => isLater && isReplaced(gone));
  const succeeded = advanceGone(replaced.state, 'successor', (gone) => gone.id === id);
  return { state: succeeded.state, effects: [...replaced.effects, ...succeeded.effects] };
}

/** Returns whether a gone worker waits for a list of its successor without runs. */
export function isListAwaited(state: RunnerState): boolean {
  return state.goneWorkers.some(({ phase }) => phase === 'awaitingList');
}

/**
 * Returns whether a start call to a gone worker has no result yet. Its successor refuses the call, but may
 * end before that, and the instance after it would carry the call out.
 */
export function hasOpenGoneCalls({ pendingCalls, goneWorkers }: RunnerState): boolean {
  return pendingCalls.some(
    ({ workerKey, call }) =>
      call.kind === 'start' &&
      goneWorkers.some((gone) => gone.workerKey === workerKey && gone.phase === 'awaitingList'),
  );
}

/**
 * Handles a list without runs of an instance that follows gone ones. It was made under a higher token
 * than all calls to these, so none of the calls starts a run any more. The ends of runs that the instance
 * has begun from these calls have to be acknowledged first: a leader that learns of the end of the earlier
 * instance before it has seen the list would give their tasks away.
 */
export function onSuccessorListed(state: RunnerState, ended: readonly ListedEnd[]): RunnerStep {
  const endedRuns = new Set(ended.map(orderKey));
  const hasOpenEnd = ({ openStarts }: GoneWorker): boolean =>
    openStarts.some((_, key) => endedRuns.has(key));
  const waiting = advanceGone(state, 'endsListed', hasOpenEnd);
  const listed = advanceGone(waiting.state, 'listed', (gone) => !hasOpenEnd(gone));
  return { state: listed.state, effects: [...waiting.effects, ...listed.effects] };
}

/** Handles the end of a call to a gone worker. */
export function onGoneCallDone(
  state: RunnerState,
  workerKey: string,
  call: WorkerCall,
  result: WorkerCallResult,
): RunnerStep {
  // A start with a good reply may have been carried out by the later instance.
  const mayRun = result.kind === 'done' || result.kind === 'lost';
  if (call.kind !== 'start' || mayRun) return unchanged(state);
  const goneWorkers = state.goneWorkers.map((gone) =>
    gone.workerKey === workerKey
      ? { ...gone, openStarts: gone.openStarts.delete(orderKey(call)) }
      : gone,
  );
  return settleEmpty({ ...state, goneWorkers });
}

/**
 * Returns whether a heartbeat names a later instance that may have carried out calls to a gone one. The gone
 * one itself refuses them, because their lease has ended.
 */
function hasCandidate({ candidates }: RunnerState, { id, workerKey }: GoneWorker): boolean {
  return candidates.some(({ report }) => report.id === id && workerKeyOf(report) !== workerKey);
}

/** Gives up the start calls that can have no late effect any more. */
export function settleGone(state: RunnerState, nowMs: number): RunnerStep {
  // An instance that is up may have begun a run that its first list will show.
  const goneWorkers = state.goneWorkers.map((gone) =>
    gone.phase === 'uncertain' && !hasCandidate(state, gone)
      ? {
          ...gone,
          openStarts: gone.openStarts.filter((call) => mayTakeEffect(call, nowMs)),
        }
      : gone,
  );
  return settleEmpty({ ...state, goneWorkers });
}

/** Returns the messages about all gone workers that no leader has recorded. */
export function goneEffects(state: RunnerState): readonly RunnerEffect[] {
  return state.goneWorkers.flatMap((gone) => goneMessage(state, gone));
}

/** Reports gone workers again that no leader has recorded yet. */
export function repeatGone(state: RunnerState, nowMs: number): RunnerStep {
  const isWaiting = state.isLinked && state.goneWorkers.length > 0;
  if (isWaiting && nowMs - state.goneSentAtMs < GONE_REPEAT_MS) return unchanged(state);
  return { state: { ...state, goneSentAtMs: nowMs }, effects: goneEffects(state) };
}

/** Handles a leader's confirmation that it has stored the release of a gone worker's tasks. */
export function onGoneRecorded(state: RunnerState, workerKey: string): RunnerStep {
  const step = advanceGone(state, 'recorded', (gone) => gone.workerKey === workerKey);
  const goneWorkers = step.state.goneWorkers.filter(({ phase }) => phase !== 'recorded');
  return { state: { ...step.state, goneWorkers }, effects: step.effects };
}
