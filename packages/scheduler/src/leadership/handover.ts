import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, unchanged } from '@bronzeyoke/types';
import { advanceHandover } from './handoverstate';
import type { LeaseOffer } from './rows';
import { comparePass, isSlowed } from './slowpasses';
import { policyOf } from '../policy';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep, SeenLease } from '../types';

/**
 * Shares of the lease of an agent. Events that wait the first one for some time show that the leader
 * falls behind, the second one if its passes have become slow too, and sooner if they wait the third one.
 * The last one endangers leases, because a handover takes up to a second, whatever the leader before has
 * measured.
 */
const LONG_WAIT_SHARE = 0.04;
const SLOWED_WAIT_SHARE = 0.01;
const SEVERE_WAIT_SHARE = 0.08;
const DANGEROUS_WAIT_SHARE = 0.25;

/** Share of a long wait below which a leader has caught up. Waits of a busy one vary from window to window. */
const CAUGHT_UP_SHARE = 0.5;

/**
 * Time for which waits have to be long, and severe. What has waited during a single block of the event
 * loop is measured in up to two windows.
 */
const SUSTAINED_MS = 400;
const SEVERE_SUSTAINED_MS = 200;

/** The same for a leader whose passes have become slow, which a single block does not show. */
const SLOWED_SUSTAINED_MS = 100;

/** Time after a claim, or after an offer that nobody took, in which a leader makes no offer. */
const REST_MS = 5_000;

/**
 * Time for which an offer stands. Covers a poll of the other entries and the claim delay of a small
 * machine. It counts from the sending of the row, as the grants that rest on the row do, so that the next
 * row can be stored before they end and before others take over an unchanged row.
 */
const OFFER_MS = 1_000;

/** Time from an offer in which its entry lets the others go first. */
const YIELD_MS = 10_000;

/**
 * Time that it lets them have. Longer than the claim delay of a small machine with its random spread, and
 * short enough for a fleet in which no other entry is left.
 */
const YIELD_DELAY_MS = 1_000;

/**
 * Time for which an entry remembers its own offer. It takes that of another one in this time only if the
 * other one is clearly worse off, so that the lease does not pass to and fro between slow entries.
 */
const REMEMBERED_MS = 60_000;

/** Longest delay of a claim by an entry's own waits. The fleet has no leader meanwhile. */
const MAX_OWN_DELAY_MS = 1_000;

/** Time for which a leader compares its waits with those of the overloaded leader before it. */
const COMPARED_MS = 30_000;

/** Multiple of the waits of the leader before from which on another change of the leader helps. */
const WORSE_FACTOR = 1.5;

/** Share of the wait in an offer up to which another entry takes it. */
const BETTER_SHARE = 0.5;

/** Share of the earlier wait that counts beside a new one, so that one short window is no recovery. */
const KEPT_WAIT_SHARE = 0.5;

/** Wait of events from which on a leader postpones what is not urgent. */
const BUSY_WAIT_MS = 100;

/** Largest factor by which a leader whose events wait slows its passes down. */
const MAX_SLOWDOWN = 2;

/**
 * Returns the wait from which on an entry is clearly worse off than one that has offered its lease. An
 * early offer tells of short waits, and does not show how long they would have become.
 */
function worseWaitMs(agentLeaseMs: number, offeredWaitMs: number): number {
  return Math.max(offeredWaitMs, agentLeaseMs * SEVERE_WAIT_SHARE) * WORSE_FACTOR;
}

/** Returns the wait of events from which on a leader should offer its lease. */
function offerWaitMs(state: SchedulerState, nowMs: number): number {
  const { agentLeaseMs } = state.settings.times;
  const { beforeWaitMs } = state.handover;
  const isCompared = beforeWaitMs !== undefined && nowMs - state.claimedAtMs < COMPARED_MS;
  const worseMs = isCompared ? worseWaitMs(agentLeaseMs, beforeWaitMs) : 0;
  const share = isSlowed(state.slowPasses) ? SLOWED_WAIT_SHARE : LONG_WAIT_SHARE;
  const longMs = Math.max(agentLeaseMs * share, worseMs);
  return Math.min(agentLeaseMs * DANGEROUS_WAIT_SHARE, longMs);
}

function logHandover(state: SchedulerState, step: 'offered' | 'declined'): SchedulerStep {
  const { leader, eventWaitMs, pendingWrites, dueGrants } = state;
  const fields = {
    term: leader?.term ?? 0,
    step,
    waitMs: Math.round(eventWaitMs),
    pendingRows: pendingWrites.jobs.size,
    dueGrants: dueGrants.size,
  };
  return withEffects(state, [logEffect('leaderHandover', fields)]);
}

/**
 * Returns whether a leader that falls behind should offer its lease. The events of the last window count,
 * so that it makes no offer after a single long wait.
 */
function isOfferDue(state: SchedulerState, waitMs: number, nowMs: number): boolean {
  const { handover, settings, slowPasses } = state;
  if (waitMs < offerWaitMs(state, nowMs) * CAUGHT_UP_SHARE) return false;
  const lagMs = nowMs - handover.sinceMs;
  if (isSlowed(slowPasses)) return lagMs >= SLOWED_SUSTAINED_MS;
  const isSevere = waitMs >= settings.times.agentLeaseMs * SEVERE_WAIT_SHARE;
  return lagMs >= (isSevere ? SEVERE_SUSTAINED_MS : SUSTAINED_MS);
}

function makeOffer(state: SchedulerState, nowMs: number): SchedulerStep {
  const handover = advanceHandover(state.handover, 'offer', nowMs);
  const lastOffer = { atMs: nowMs, waitMs: state.eventWaitMs };
  return logHandover({ ...state, handover, lastOffer }, 'offered');
}

/** Decides from the wait of its events whether a leader offers its lease. */
function considerOffer(state: SchedulerState, waitMs: number, nowMs: number): SchedulerStep {
  const { handover, eventWaitMs } = state;
  const longMs = offerWaitMs(state, nowMs);
  switch (handover.phase) {
    case 'resting':
      return nowMs - handover.sinceMs < REST_MS
        ? unchanged(state)
        : unchanged({ ...state, handover: advanceHandover(handover, 'rested', nowMs) });
    case 'keeping':
      return eventWaitMs >= longMs
        ? unchanged({ ...state, handover: advanceHandover(handover, 'lag', nowMs) })
        : unchanged(state);
    case 'lagging':
      if (eventWaitMs < longMs * CAUGHT_UP_SHARE) {
        return unchanged({ ...state, handover: advanceHandover(handover, 'catchUp', nowMs) });
      }
      return isOfferDue(state, waitMs, nowMs) ? makeOffer(state, nowMs) : unchanged(state);
    case 'offering':
      return unchanged(state);
    default:
      return assertNever(handover.phase);
  }
}

/** Notes how long events of this entry have waited in a short window. No effect without the policy. */
export function onLoadMeasured(
  state: SchedulerState,
  waitMs: number,
  nowMs: number,
): SchedulerStep {
  if (!policyOf(state.settings).handsOver) return unchanged(state);
  const eventWaitMs = Math.max(waitMs, state.eventWaitMs * KEPT_WAIT_SHARE);
  const measured = { ...state, eventWaitMs };
  return state.phase === 'leading' ? considerOffer(measured, waitMs, nowMs) : unchanged(measured);
}

/** Notes how long a pass of a leader has taken. No effect without the policy. */
export function notePass(state: SchedulerState, tookMs: number): SchedulerState {
  if (!policyOf(state.settings).handsOver) return state;
  return { ...state, slowPasses: comparePass(state.slowPasses, state.passWork, tookMs) };
}

/** Returns whether a leader makes an offer, whose row a pass would delay. */
export function isOffering({ phase, handover }: SchedulerState): boolean {
  return phase === 'leading' && handover.phase === 'offering';
}

/** Returns the offer that the next lease row of a leader carries. */
export function nextOffer(state: SchedulerState): { readonly offer?: LeaseOffer } {
  return isOffering(state) ? { offer: { waitMs: Math.round(state.eventWaitMs) } } : {};
}

/** Returns whether the stored row offers the lease, so that a claim should find it unchanged. */
export function isOfferOpen({ phase, handover }: SchedulerState): boolean {
  return (
    phase === 'leading' && handover.phase === 'offering' && handover.storedSentAtMs !== undefined
  );
}

/** Notes that a row with an offer was stored, and when it was sent. */
export function noteStoredOffer(state: SchedulerState, sentAtMs: number): SchedulerState {
  const { handover } = state;
  if (handover.phase !== 'offering') return state;
  return { ...state, handover: { ...handover, storedSentAtMs: sentAtMs } };
}

/** Ends an offer that nobody has taken. The next row of the leader renews its lease as usual. */
export function endOffer(state: SchedulerState, nowMs: number): SchedulerStep {
  const { storedSentAtMs = Infinity } = state.handover;
  if (!isOfferOpen(state) || nowMs - storedSentAtMs < OFFER_MS) return unchanged(state);
  const handover = advanceHandover(state.handover, 'decline', nowMs);
  return logHandover({ ...state, handover, renewAtMs: nowMs }, 'declined');
}

/** Returns whether this entry has clearly more room than a leader that offers its lease. */
export function takesOffer(
  { settings, eventWaitMs, lastOffer }: SchedulerState,
  { value }: SeenLease,
  nowMs: number,
): boolean {
  if (!policyOf(settings).handsOver || value?.offer === undefined) return false;
  const { waitMs } = value.offer;
  const isRemembered = lastOffer !== undefined && nowMs - lastOffer.atMs < REMEMBERED_MS;
  const isWorse =
    !isRemembered || waitMs >= worseWaitMs(settings.times.agentLeaseMs, lastOffer.waitMs);
  const shortMs = settings.times.agentLeaseMs * SLOWED_WAIT_SHARE;
  return isWorse && eventWaitMs <= Math.max(shortMs, waitMs * BETTER_SHARE);
}

/** Returns how long an entry leaves a free lease to others, beside the delay by its capacity. */
export function ownDelayMs({ eventWaitMs, lastOffer }: SchedulerState, nowMs: number): number {
  const yields = lastOffer !== undefined && nowMs - lastOffer.atMs < YIELD_MS;
  const waitMs = eventWaitMs < BUSY_WAIT_MS ? 0 : eventWaitMs;
  return Math.min(MAX_OWN_DELAY_MS, waitMs) + (yields ? YIELD_DELAY_MS : 0);
}

/** Returns the factor by which a leader should slow its passes down, so that waiting events come first. */
export function passSlowdown({ eventWaitMs, slowPasses }: SchedulerState): number {
  if (isSlowed(slowPasses)) return MAX_SLOWDOWN;
  return Math.min(MAX_SLOWDOWN, Math.max(1, eventWaitMs / BUSY_WAIT_MS));
}

/** Returns whether what is not urgent should wait for other events. */
export function isBusy({ eventWaitMs }: SchedulerState): boolean {
  return eventWaitMs >= BUSY_WAIT_MS;
}
