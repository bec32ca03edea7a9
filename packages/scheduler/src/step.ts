import { logEffect } from '@bronzeyoke/telemetry';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import { onClaimResult, onPoll, pollLease, retryClaim } from './claim';
import { flush, onCommitResult, releaseLease, retryTransaction } from './flush';
import { onJobRows, onLoaded } from './jobs';
import { advanceLeadership, CALLS, onLeader, onLeaderRow } from './leadership';
import { retryReads } from './load';
import { paceWorker } from './pace';
import { placeTasks } from './place';
import { releaseWorker } from './release';
import { onOrderRefused, onReport } from './report';
import { stopStalledRuns } from './stall';
import { chainAll, chainAfter, unchanged, withEffects } from './state';
import type { SchedulerEvent, SchedulerState, SchedulerStep } from './types';

function expireWorkers(state: SchedulerState, nowMs: number): SchedulerStep {
  if (state.phase !== 'leading') return unchanged(state);
  const expired = state.workers.filter(({ expiresAtMs }) => nowMs >= expiresAtMs);
  return chainAll(
    state,
    [...expired.keys()].map(
      (workerKey) => (current: SchedulerState) =>
        releaseWorker(current, workerKey, 'leaseExpired', nowMs),
    ),
  );
}

/** Records a worker that is gone until the runs are loaded. */
function recordGoneWorker(state: SchedulerState, workerKey: string): SchedulerState {
  const goneWorkerKeys = [...(state.loading.goneWorkerKeys ?? []), workerKey];
  return { ...state, loading: { ...state.loading, goneWorkerKeys } };
}

/** Places waiting tasks unless a transaction is in flight, and sends the pending writes. */
function placeAndFlush(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const isReady = state.phase === 'leading' && state.inFlight === undefined && state.needsPlacement;
  const placed = isReady ? placeTasks(state, nowMs, wallMs) : unchanged(state);
  return chainAfter(placed, [
    (current) => flush(current, nowMs, wallMs),
    (current) => releaseLease(current, nowMs),
  ]);
}

function onTick(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const hasExpired = state.backOff.some((untilMs) => untilMs <= nowMs);
  const updated: SchedulerState = hasExpired
    ? {
        ...state,
        backOff: state.backOff.filter((untilMs) => untilMs > nowMs),
        needsPlacement: true,
      }
    : state;
  return chainAll(updated, [
    (current) => pollLease(current, nowMs),
    (current) => retryClaim(current, nowMs),
    (current) => retryReads(current, nowMs),
    (current) => retryTransaction(current, nowMs),
    (current) => expireWorkers(current, nowMs),
    (current) => placeAndFlush(current, nowMs, wallMs),
  ]);
}

function announceLeader(state: SchedulerState, linkId: string): SchedulerStep {
  const { leader } = state;
  if (leader === undefined) return unchanged(state);
  const { term, host, port } = leader;
  return withEffects(state, [
    { kind: 'send', linkId, message: { kind: 'leader', term, host, port } },
  ]);
}

/** Returns the next state and the effects of an event. */
export function stepScheduler(
  state: SchedulerState,
  event: SchedulerEvent,
  inputs: StepInputs,
): SchedulerStep {
  const { nowMs } = inputs;
  switch (event.kind) {
    case 'tick':
      return onTick(state, nowMs, event.wallMs);
    case 'configChanged':
      return unchanged({ ...state, config: event.config, needsPlacement: true });
    case 'timesChanged':
      return unchanged({ ...state, settings: { ...state.settings, times: event.times } });
    case 'domainsOut':
      return withEffects({ ...state, domainsOut: event.domains, needsPlacement: true }, [
        logEffect('domainsOut', { domains: [...event.domains].join(',') }),
      ]);
    case 'leaderRow':
      return onLeaderRow(state, event.row);
    case 'jobRows':
      return chainAll(state, [
        (current) => onJobRows(current, event, nowMs),
        (current) => placeAndFlush(current, nowMs, event.wallMs),
      ]);
    case 'commitDone':
      return chainAll(state, [
        (current) =>
          event.callId === CALLS.claimLease
            ? onClaimResult(current, event.result, nowMs)
            : onCommitResult(current, event.callId, event.result, nowMs),
        (current) => placeAndFlush(current, nowMs, event.wallMs),
      ]);
    case 'rangeDone':
      return event.callId === CALLS.poll
        ? onPoll(state, event.result, inputs)
        : onLoaded(state, event.callId, event.result, nowMs, event.wallMs);
    case 'linkOpened':
      return announceLeader(
        {
          ...state,
          linksOpened: state.linksOpened + 1,
          links: state.links.set(event.linkId, { lastOrder: 0, number: state.linksOpened }),
        },
        event.linkId,
      );
    case 'linkClosed': {
      const workers = state.workers.map((worker) => {
        const { linkId, ...rest } = worker;
        return linkId === event.linkId ? rest : worker;
      });
      return unchanged({ ...state, workers, links: state.links.delete(event.linkId) });
    }
    case 'received': {
      const { linkId, message, wallMs } = event;
      if (message.kind === 'leaderChanged') return onLeader(state, message);
      if (state.phase === 'loading' && message.kind === 'workerGone') {
        return unchanged(recordGoneWorker(state, message.workerKey));
      }
      if (state.phase !== 'leading') return unchanged(state);
      switch (message.kind) {
        case 'report':
          if (message.term > (state.leader?.term ?? 0)) return unchanged(state);
          return chainAll(state, [
            (current) => onReport(current, linkId, message, nowMs, wallMs),
            (current) => paceWorker(current, message.workerKey, nowMs),
            (current) => stopStalledRuns(current, message.workerKey, nowMs),
            (current) => placeAndFlush(current, nowMs, wallMs),
          ]);
        case 'refused':
          return chainAll(state, [
            (current) => onOrderRefused(current, message, nowMs),
            (current) => placeAndFlush(current, nowMs, wallMs),
          ]);
        case 'workerGone':
          return chainAll(state, [
            (current) => releaseWorker(current, message.workerKey, 'workerGone', nowMs),
            (current) => placeAndFlush(current, nowMs, wallMs),
          ]);
        default:
          return assertNever(message);
      }
    }
    case 'stop':
      return chainAfter(advanceLeadership(state, 'stop'), [
        (current) => releaseLease(current, nowMs),
      ]);
    default:
      return assertNever(event);
  }
}
