import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, chainAfter, chainAll, unchanged } from '@bronzeyoke/types';
import type { RunnerMessage } from '@bronzeyoke/wire';
import { lookAtRoom } from './admission/look';
import { logAbsences } from './jobs/absences';
import { logBlockedWorkers } from './fleet/blocked';
import { passIntervalMs } from './leadership/budget';
import { onClaimResult, onPoll, pollLease, pollOffer, retryClaim } from './leadership/claim';
import { onClockGap } from './leadership/clockgap';
import { flush, onCommitResult, releaseLease, retryTransaction } from './leadership/flush';
import {
  goneReportOf,
  handleGoneReports,
  isAboutEnd,
  onWorkerGone,
  recordGoneWorker,
} from './fleet/gone';
import { askHolder, onHolderAnswer } from './leadership/endedholder';
import {
  endOffer,
  isBusy,
  isOffering,
  notePass,
  onLoadMeasured,
  passSlowdown,
} from './leadership/handover';
import { clearIsolation, noteIsolation, stepDownIfIsolated } from './leadership/isolation';
import { HELD_CALL, onHeldRows, readHeldJobs } from './jobs/held';
import { onJobRows, onLoaded } from './jobs/jobs';
import { advanceLeadership, CALLS, onLeader, onLeaderRow } from './leadership/leadership';
import { forgetLateEnds } from './fleet/lateends';
import { lateRunsOn } from './fleet/latestarts';
import { changeTimes } from './fleet/leases';
import { closeLink, openLink } from './fleet/links';
import { retryReads } from './leadership/load';
import {
  areEvacuationsCurrent,
  holdPlacement,
  onDomainsOut,
  resumePlacement,
} from './placement/evacuations';
import { logGaps } from './placement/gapcounts';
import { paceWorker } from './placement/pace';
import { recordPass } from './placement/passbudget';
import { placeTasks } from './placement/place';
import { releaseHeldStarts } from './leadership/postcommit';
import { traceRecovery } from './leadership/recovery';
import { releaseEndedRuns, releaseWorker } from './fleet/release';
import { forgetReleased } from './fleet/releasedruns';
import { onOrderRefused } from './fleet/refusal';
import { onReport } from './fleet/report';
import { forgetQuickEnds } from './jobs/restarts';
import { stopStalledRuns } from './jobs/stall';
import { policyOf } from './policy';
import { withEffects } from './state';
import type { SchedulerEvent, SchedulerState, SchedulerStep } from './types';
import {
  onWithdrawalRows,
  readWithdrawals,
  settleRemoval,
  WITHDRAWAL_CALLS,
} from './jobs/withdrawals';

/**
 * Longest pause after a placement pass, which is otherwise as long as the pass. A new connection of an
 * agent takes several turns of the event loop until its first report is answered, and a pass in each of
 * them delays that beyond the time after which agents replace the connection. A process that was
 * suspended during a pass reports a long one.
 */
const MAX_PASS_PAUSE_MS = 1_000;

/** Time between two looks at absences and blocked workers, which go through all lasting tasks. */
const LOOK_INTERVAL_MS = 1_000;

/** The same while events of the leader wait. */
const BUSY_LOOK_INTERVAL_MS = 5_000;

type AgentMessage = Exclude<RunnerMessage, { kind: 'leaderChanged' }>;

/**
 * Releases the tasks of a worker whose lease has ended, but for those that a later instance, which that
 * lease does not bind, may run from a late order.
 */
function expireWorker(state: SchedulerState, workerKey: string, nowMs: number): SchedulerStep {
  const openRuns = lateRunsOn(state, workerKey, nowMs);
  return openRuns.length > 0
    ? releaseEndedRuns(state, workerKey, openRuns, nowMs, 'leaseExpired')
    : releaseWorker(state, workerKey, 'leaseExpired', nowMs);
}

function expireWorkers(state: SchedulerState, nowMs: number): SchedulerStep {
  if (state.phase !== 'leading') return unchanged(state);
  const expired = state.workers.filter(({ expiresAtMs }) => nowMs >= expiresAtMs);
  if (expired.isEmpty()) return unchanged(state);
  return chainAll(state, [
    ...[...expired.keys()].map(
      (workerKey) => (current: SchedulerState) => expireWorker(current, workerKey, nowMs),
    ),
    (current) => unchanged(noteIsolation(current, nowMs)),
  ]);
}

/** Places waiting tasks once the evacuated domains are known. */
function placeInKnownDomains(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  if (!areEvacuationsCurrent(state, nowMs)) return holdPlacement(state, nowMs);
  return chainAfter(resumePlacement(state, nowMs), [
    (current) => placeTasks(current, nowMs, wallMs),
  ]);
}

/** Places waiting tasks unless a transaction is in flight, and sends the pending writes. */
function placeAndFlush(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const { phase, inFlight, needsPlacement, lastPassAtMs, passPausedUntilMs, workers } = state;
  const isPaused = nowMs < passPausedUntilMs || nowMs - lastPassAtMs < passIntervalMs(workers.size);
  const isDue = needsPlacement && !isPaused && !isOffering(state);
  const isReady = phase === 'leading' && inFlight === undefined && isDue;
  const placed = isReady ? placeInKnownDomains(state, nowMs, wallMs) : unchanged(state);
  return chainAfter(placed, [
    (current) => flush(current, nowMs, wallMs),
    (current) => releaseLease(current, nowMs),
  ]);
}

/** Logs what does not go on, at a leader. */
function logDelays(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const intervalMs = isBusy(state) ? BUSY_LOOK_INTERVAL_MS : LOOK_INTERVAL_MS;
  const isDue = nowMs - state.lookedAtMs >= intervalMs;
  if (state.phase !== 'leading' || !isDue) return unchanged(state);
  return chainAll({ ...state, lookedAtMs: nowMs }, [
    (current) => logAbsences(current, nowMs, wallMs),
    (current) => logBlockedWorkers(current, nowMs),
    (current) => logGaps(current),
  ]);
}

function onTick(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const hasExpired = state.backOff.some((untilMs) => untilMs <= nowMs);
  const isDue = hasExpired || nowMs >= state.placeAgainAtMs;
  const updated: SchedulerState = isDue
    ? {
        ...state,
        backOff: state.backOff.filter((untilMs) => untilMs > nowMs),
        needsPlacement: true,
      }
    : state;
  const remembered = forgetLateEnds(forgetQuickEnds(updated, nowMs), nowMs);
  return chainAll(forgetReleased(remembered, nowMs), [
    (current) => pollLease(current, nowMs),
    (current) => askHolder(current, nowMs),
    (current) => retryClaim(current, nowMs),
    (current) => retryReads(current, nowMs),
    (current) => retryTransaction(current, nowMs),
    (current) => readWithdrawals(current, nowMs),
    (current) => readHeldJobs(current, nowMs),
    (current) => expireWorkers(current, nowMs),
    (current) => releaseHeldStarts(current, nowMs),
    (current) => stepDownIfIsolated(current, nowMs),
    (current) => endOffer(current, nowMs),
    (current) => placeAndFlush(current, nowMs, wallMs),
    (current) => logDelays(current, nowMs, wallMs),
    (current) => lookAtRoom(current, nowMs, wallMs),
  ]);
}

function announceLeader(state: SchedulerState, linkId: string): SchedulerStep {
  const { leader, settings } = state;
  if (leader === undefined) return unchanged(state);
  const { term, host, port } = leader;
  const sender = policyOf(settings).detectsEndedHolder ? { entryId: settings.entryId } : {};
  return withEffects(state, [
    { kind: 'send', linkId, message: { kind: 'leader', term, host, port, ...sender } },
  ]);
}

/**
 * Returns whether the store has answered a leader lately. The first row after a load is still on its way
 * when the first reports come; it counts from the moment at which it was sent.
 */
function isConfirmed(state: SchedulerState, nowMs: number): boolean {
  const { mayGrantUntilMs, storedTimes, inFlight, settings } = state;
  if (storedTimes !== undefined) return nowMs < mayGrantUntilMs;
  return nowMs - (inFlight?.firstSentAtMs ?? nowMs) < settings.times.grantWindowMs;
}

/**
 * Answers a report that got no grant or order, so that the agent does not look for another leader. A
 * leader that the store has not answered lately says nothing: another entry may have taken over.
 */
function answerReport(step: SchedulerStep, linkId: string, nowMs: number): SchedulerStep {
  const isAnswered = step.effects.some(
    (effect) => effect.kind === 'send' && effect.linkId === linkId,
  );
  if (isAnswered || !isConfirmed(step.state, nowMs)) return step;
  return chainAfter(step, [(current) => announceLeader(current, linkId)]);
}

/** Returns whether an agent that has seen a later leader sent a message. */
function isOfLaterTerm({ leader }: SchedulerState, message: AgentMessage): boolean {
  return message.kind === 'report' && message.term > (leader?.term ?? 0);
}

/** Applies a message of an agent to the state of a leader. */
function onAgentMessage(
  state: SchedulerState,
  linkId: string,
  message: AgentMessage,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  switch (message.kind) {
    case 'report': {
      const step = chainAll(state, [
        (current) => onReport(current, linkId, message, nowMs, wallMs),
        (current) => paceWorker(current, message.workerKey, nowMs),
        (current) => stopStalledRuns(current, message.workerKey, nowMs),
      ]);
      return answerReport(step, linkId, nowMs);
    }
    case 'refused':
      return onOrderRefused(state, message, nowMs);
    case 'workerEnded':
    case 'workerGone':
      return onWorkerGone(state, goneReportOf(linkId, message), nowMs, wallMs);
    default:
      return assertNever(message);
  }
}

function onCommitDone(
  state: SchedulerState,
  { callId, result }: Extract<SchedulerEvent, { kind: 'commitDone' }>,
  nowMs: number,
): SchedulerStep {
  switch (callId) {
    case CALLS.claimLease:
      return onClaimResult(state, result, nowMs);
    case WITHDRAWAL_CALLS.remove:
      return unchanged(settleRemoval(state));
    default:
      return onCommitResult(state, callId, result, nowMs);
  }
}

function onRangeDone(
  state: SchedulerState,
  { callId, result, wallMs }: Extract<SchedulerEvent, { kind: 'rangeDone' }>,
  inputs: StepInputs,
): SchedulerStep {
  const { nowMs } = inputs;
  switch (callId) {
    case CALLS.poll:
      return onPoll(state, result, inputs);
    case WITHDRAWAL_CALLS.read:
      return onWithdrawalRows(state, result, nowMs);
    case HELD_CALL:
      return onHeldRows(state, result, { nowMs, wallMs });
    default:
      return handleGoneReports(
        state,
        onLoaded(state, callId, result, nowMs, wallMs),
        nowMs,
        wallMs,
      );
  }
}

function handleEvent(
  state: SchedulerState,
  event: SchedulerEvent,
  inputs: StepInputs,
): SchedulerStep {
  const { nowMs } = inputs;
  switch (event.kind) {
    case 'tick':
      return onTick(state, nowMs, event.wallMs);
    case 'passTook': {
      const tookMs = Math.min(MAX_PASS_PAUSE_MS, event.durationMs);
      return unchanged({
        ...notePass(state, tookMs),
        passPausedUntilMs: nowMs + Math.min(MAX_PASS_PAUSE_MS, tookMs * passSlowdown(state)),
        passPace: recordPass(state.passPace, state.passWork, tookMs),
      });
    }
    case 'loadMeasured':
      return onLoadMeasured(state, event.waitMs, nowMs);
    case 'clockGap':
      return onClockGap(state, event.gapMs, nowMs);
    case 'configChanged':
      return unchanged({ ...state, config: event.config, needsPlacement: true });
    case 'timesChanged':
      return unchanged(changeTimes(state, event.times, nowMs));
    case 'domainsOut':
      return onDomainsOut(state, event, nowMs);
    case 'leaderRow':
      return chainAfter(onLeaderRow(state, event.row), [
        (current) => pollOffer(current, event.row, nowMs),
      ]);
    case 'holderAnswered':
      return onHolderAnswer(state, event.version, event.answer, nowMs);
    case 'jobRows':
      return chainAfter(
        handleGoneReports(state, onJobRows(state, event, nowMs), nowMs, event.wallMs),
        [(current) => placeAndFlush(current, nowMs, event.wallMs)],
      );
    case 'commitDone':
      return chainAll(state, [
        (current) => onCommitDone(current, event, nowMs),
        (current) => placeAndFlush(current, nowMs, event.wallMs),
      ]);
    case 'rangeDone':
      return onRangeDone(state, event, inputs);
    case 'linkOpened':
      return announceLeader(openLink(state, event.linkId), event.linkId);
    case 'linkClosed':
      return unchanged(closeLink(state, event.linkId));
    case 'received': {
      const { linkId, message, wallMs } = event;
      if (message.kind === 'leaderChanged') return onLeader(state, message);
      if (state.phase === 'loading' && isAboutEnd(message)) {
        return unchanged(recordGoneWorker(state, goneReportOf(linkId, message)));
      }
      // The reply keeps the agent from looking for another leader during a long load.
      if (state.phase === 'loading') return announceLeader(state, linkId);
      if (state.phase !== 'leading' || isOfLaterTerm(state, message)) return unchanged(state);
      return chainAfter(onAgentMessage(clearIsolation(state), linkId, message, nowMs, wallMs), [
        (current) => placeAndFlush(current, nowMs, wallMs),
      ]);
    }
    case 'stop':
      return chainAfter(advanceLeadership(state, 'stop'), [
        (current) => releaseLease(current, nowMs),
      ]);
    default:
      return assertNever(event);
  }
}

/** Returns the next state and the effects of an event. */
export function stepScheduler(
  state: SchedulerState,
  event: SchedulerEvent,
  inputs: StepInputs,
): SchedulerStep {
  return traceRecovery(handleEvent(state, event, inputs), inputs.nowMs);
}
