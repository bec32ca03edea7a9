import { accepts } from '@bronzeyoke/chart';
import type { AgentProfile, Resources, SlowDown } from '@bronzeyoke/types';
import {
  NO_RESOURCES,
  addResources,
  assertNever,
  fitsIn,
  isDomainIn,
  subtractResources,
  unchanged,
  chainAll,
} from '@bronzeyoke/types';
import type { DeclineReason } from '@bronzeyoke/wire';
import { taskChart } from './chart';
import type { TaskPatch } from './transition';
import { advanceTask } from './transition';
import { endProbe } from './quarantine';
import type { BatchState, BatchStep, Candidate, BatchContext, TaskRecord } from './types';

/** A message about a task that had no visible effect for this long is repeated. */
const REPEAT_MS = 5_000;
/** Shorter than the 8 s for which an agent holds capacity for urgent work. */
const CAPACITY_HOLD_MS = 7_000;
const CAPACITY_RETRY_MS = 300;
/** Without a pause an agent that declines gets the same offer again at once, 750 times a second. */
const DECLINE_PAUSE_MS = 500;

function taskKeysOn(state: BatchState, worker: string): readonly string[] {
  return [...(state.byWorker.get(worker) ?? [])];
}

/** Adds an agent, and queries it about the tasks that its worker should run. */
export function onAgentUp(
  state: BatchState,
  agentId: string,
  profile: AgentProfile,
  context: BatchContext,
): BatchStep {
  const known = state.candidates.get(agentId);
  const candidate: Candidate = {
    agentId,
    profile,
    // Until its first heartbeat the agent declines tasks that do not fit, and reports what is free.
    free: known?.free ?? profile.total,
    slowDowns: known?.slowDowns ?? [],
    isLeaving: false,
    noOffersUntilMs: 0,
    noPreemptionUntilMs: 0,
  };
  const added = {
    ...state,
    candidates: state.candidates.set(agentId, candidate),
    agentByWorker: state.agentByWorker.set(profile.worker, agentId),
  };
  return chainAll(
    added,
    taskKeysOn(added, profile.worker).map(
      (key) => (from) => advanceTask(from, key, 'sync', {}, context),
    ),
  );
}

/** Removes an agent whose connection closed. Its tasks stay claimed until the lease expires. */
export function onAgentDown(state: BatchState, agentId: string, context: BatchContext): BatchStep {
  const candidate = state.candidates.get(agentId);
  if (candidate === undefined) return unchanged(state);
  const { worker } = candidate.profile;
  const removed = {
    ...state,
    candidates: state.candidates.delete(agentId),
    agentByWorker:
      state.agentByWorker.get(worker) === agentId
        ? state.agentByWorker.delete(worker)
        : state.agentByWorker,
  };
  const offered = [...state.offers.values()].filter((key) => {
    const task = state.tasks.get(key);
    return task?.phase === 'offered' && task.claim?.worker === worker;
  });
  return chainAll(
    removed,
    offered.map((key) => (from) => advanceTask(from, key, 'decline', {}, context)),
  );
}

function updateCandidate(
  state: BatchState,
  agentId: string,
  update: Partial<Omit<Candidate, 'agentId' | 'profile'>>,
): BatchState {
  const candidate = state.candidates.get(agentId);
  return candidate === undefined
    ? state
    : {
        ...state,
        needsScheduling: true,
        candidates: state.candidates.set(agentId, { ...candidate, ...update }),
      };
}

/** Stops offers to an agent that is leaving. */
export function onAgentLeaving(state: BatchState, agentId: string): BatchStep {
  return unchanged(updateCandidate(state, agentId, { isLeaving: true }));
}

/** Sums the open offers to a worker, which are not in the figures of its agent yet. */
function sumOffers(state: BatchState, worker: string): Resources {
  return [...state.offers.values()].reduce((sum, key) => {
    const task = state.tasks.get(key);
    return task?.phase === 'offered' && task.claim?.worker === worker
      ? addResources(sum, task.claim.reserved)
      : sum;
  }, NO_RESOURCES);
}

function setFree(state: BatchState, agentId: string, free: Resources): BatchState {
  const worker = state.candidates.get(agentId)?.profile.worker ?? '';
  const remaining = subtractResources(free, sumOffers(state, worker));
  return updateCandidate(state, agentId, { free: remaining });
}

/** Applies the free resources and slow-downs of a heartbeat. */
export function onBeat(
  state: BatchState,
  agentId: string,
  free: Resources,
  slowDowns: readonly SlowDown[],
): BatchStep {
  const known = state.candidates.get(agentId)?.slowDowns ?? [];
  const isUpdated = (old: SlowDown) =>
    slowDowns.some((next) => next.service === old.service && next.workKind === old.workKind);
  // Heartbeats carry only the slow-downs that changed.
  const merged = [...known.filter((old) => !isUpdated(old)), ...slowDowns];
  const updated = updateCandidate(state, agentId, { slowDowns: merged });
  return unchanged(setFree(updated, agentId, free));
}

function patchAfterDecline(
  agentId: string,
  reason: DeclineReason,
  { nowMs }: BatchContext,
): TaskPatch {
  return reason === 'makingRoom'
    ? {
        capacityHold: { agentId, untilMs: nowMs + CAPACITY_HOLD_MS },
        notBeforeMs: nowMs + CAPACITY_RETRY_MS,
      }
    : {};
}

function pauseAfterDecline(
  state: BatchState,
  agentId: string,
  reason: DeclineReason | undefined,
  hasRoom: boolean,
  nowMs: number,
): BatchState {
  switch (reason) {
    case undefined:
    case 'makingRoom':
      return state;
    // The reply reports what is free. An agent that declines in spite of room holds it for others.
    case 'noRoom':
      return hasRoom
        ? updateCandidate(state, agentId, { noOffersUntilMs: nowMs + DECLINE_PAUSE_MS })
        : state;
    case 'domainOut':
    case 'draining':
    case 'notRegistered':
    case 'tooLate':
      return updateCandidate(state, agentId, { noOffersUntilMs: nowMs + DECLINE_PAUSE_MS });
    default:
      return assertNever(reason);
  }
}

/** Handles the reply to an offer. */
export function onAnswer(
  state: BatchState,
  agentId: string,
  offerId: string,
  reason: DeclineReason | undefined,
  free: Resources,
  context: BatchContext,
): BatchStep {
  const isAccepted = reason === undefined;
  const key = state.offers.get(offerId);
  const task = key === undefined ? undefined : state.tasks.get(key);
  const claim = task?.claim;
  if (key === undefined || task?.phase !== 'offered' || claim?.offerId !== offerId) {
    const isClaiming = task?.phase === 'claiming' && claim?.offerId === offerId;
    // The offer is no longer open, so the agent may release its reservation.
    return isAccepted && !isClaiming
      ? { state, effects: [{ kind: 'send', agentId, message: { kind: 'claimFailed', offerId } }] }
      : unchanged(state);
  }
  const health = state.health.get(claim.worker);
  const probed =
    isAccepted || health === undefined
      ? state
      : { ...state, health: state.health.set(claim.worker, endProbe(health)) };
  const step = isAccepted
    ? advanceTask(
        probed,
        key,
        'accept',
        { claim: { ...claim, acceptedAtMs: context.nowMs } },
        context,
      )
    : advanceTask(probed, key, 'decline', patchAfterDecline(agentId, reason, context), context);
  const paused = pauseAfterDecline(
    step.state,
    agentId,
    reason,
    fitsIn(claim.reserved, free),
    context.nowMs,
  );
  return { state: setFree(paused, agentId, free), effects: step.effects };
}

function currentDomain(state: BatchState, task: TaskRecord): string {
  const agentId = state.agentByWorker.get(task.claim?.worker ?? '') ?? '';
  return state.candidates.get(agentId)?.profile.domain ?? task.claim?.domain ?? '';
}

/** Applies an event to the tasks assigned to workers for which `isDue` holds. */
function advanceAssigned(
  state: BatchState,
  event: 'evict' | 'sync',
  isDue: (task: TaskRecord) => boolean,
  context: BatchContext,
): BatchStep {
  const due = [...state.byWorker.values()]
    .flatMap((tasks) => [...tasks])
    .filter((key) => {
      const task = state.tasks.get(key);
      return task !== undefined && isDue(task);
    });
  return chainAll(
    state,
    due.map((key) => (from) => advanceTask(from, key, event, {}, context)),
  );
}

/** Evicts tasks that run in domains that are out. */
export function evictFromOutDomains(state: BatchState, context: BatchContext): BatchStep {
  const { configuration } = context.inputs;
  const out = configuration.entries.filter(
    (entry) => entry.kind === 'domain' && entry.state === 'out',
  );
  if (out.length === 0) return unchanged(state);
  return advanceAssigned(
    state,
    'evict',
    (task) =>
      accepts(taskChart, task.phase, 'evict') &&
      !isDomainIn(configuration, currentDomain(state, task)),
    context,
  );
}

/** Repeats messages about tasks that had no visible effect, for example after a lost connection. */
export function repeatMessages(state: BatchState, context: BatchContext): BatchStep {
  return advanceAssigned(
    state,
    'sync',
    ({ phase, phaseSinceMs }) => phase !== 'running' && context.nowMs - phaseSinceMs >= REPEAT_MS,
    context,
  );
}
