import { createBatch, isBatchIdle } from '@bronzeyoke/batch';
import { advance } from '@bronzeyoke/chart';
import type { LifecycleAction } from '@bronzeyoke/lifecycle';
import { DRAIN_TIMEOUT_MS, lifecycleChart } from '@bronzeyoke/lifecycle';
import type { AgentView } from '@bronzeyoke/membership';
import {
  EMPTY_MEMBERSHIP,
  addAgent,
  agentOf,
  beatIntervalMs,
  updateAgent,
} from '@bronzeyoke/membership';
import { createRequests, isRequestsIdle } from '@bronzeyoke/requests';
import { createTickets } from '@bronzeyoke/tickets';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, chainAll } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';
import { PROTOCOL_VERSION } from '@bronzeyoke/wire';
import { createWorkers } from '@bronzeyoke/workers';
import { administer } from './admin';
import {
  applyLostAgents,
  handleBatch,
  checkWorkers,
  onStoreEvent,
  startComponents,
  handleTickets,
  handleWorkers,
} from './control';
import {
  applyOutDomains,
  checkLink,
  dropLink,
  handleAttemptResult,
  recordMessage,
  handleRequests,
  pingOverdueAgents,
} from './requests';
import type { EntryEffect, EntryEvent, EntryState, EntryTimer, EntryStep } from './types';

/** Creates the state of an entry before the first agent connects. */
export function createEntry(entryId: string, domain: string): EntryState {
  return {
    entryId,
    lifecycle: lifecycleChart.initial,
    domain,
    tickets: createTickets(entryId),
    workers: createWorkers(),
    batch: createBatch(entryId, domain),
    membership: EMPTY_MEMBERSHIP,
    requests: createRequests(domain),
    wallOffsetMs: 0,
  };
}

function lifecycleEffects(action: LifecycleAction): readonly EntryEffect[] {
  switch (action) {
    case 'announce':
      return [];
    case 'startTimeout':
      return [{ kind: 'wake', timer: { kind: 'stopTimeout' }, afterMs: DRAIN_TIMEOUT_MS }];
    case 'exit':
      return [{ kind: 'exit' }];
    default:
      return assertNever(action);
  }
}

function advanceLifecycle(state: EntryState, event: 'stop' | 'idle' | 'timeout'): EntryStep {
  const next = advance(lifecycleChart, state.lifecycle, event);
  return {
    state: { ...state, lifecycle: next.state },
    effects: next.actions.flatMap(lifecycleEffects),
  };
}

function onHello(
  state: EntryState,
  linkId: string,
  message: Extract<AgentMessage, { readonly kind: 'hello' }>,
  inputs: StepInputs,
): EntryStep {
  const { version, profile, incarnation } = message;
  if (version !== PROTOCOL_VERSION) return { state, effects: [{ kind: 'closeLink', linkId }] };
  const previous = state.membership.agents.get(profile.agentId);
  const membership = addAgent(state.membership, linkId, profile, inputs.nowMs);
  const { agentId, service, domain, slots, connections } = profile;
  const upstream = { agentId, service, domain, slots, connections };
  const step = handleRequests({ ...state, membership }, { kind: 'upstreamUp', upstream }, inputs);
  const welcome = {
    kind: 'welcome',
    version: PROTOCOL_VERSION,
    entryId: state.entryId,
    beatIntervalMs: beatIntervalMs(membership.agents.size),
  } as const;
  const replaced: readonly EntryEffect[] =
    previous === undefined || previous.linkId === linkId
      ? []
      : [{ kind: 'closeLink', linkId: previous.linkId }];
  const sweep: readonly EntryEffect[] = state.membership.isSweepScheduled
    ? []
    : [{ kind: 'wake', timer: { kind: 'memberSweep' }, afterMs: welcome.beatIntervalMs }];
  const { worker } = profile;
  const announced = chainAll(step.state, [
    (from) => handleWorkers(from, { kind: 'announced', worker, incarnation }, inputs),
    (from) => handleBatch(from, { kind: 'agentUp', agentId, profile }, inputs),
  ]);
  return {
    state: announced.state,
    effects: [
      ...replaced,
      ...sweep,
      { kind: 'send', linkId, message: welcome },
      {
        kind: 'send',
        linkId,
        message: { kind: 'config', configuration: state.tickets.configuration },
      },
      ...step.effects,
      ...announced.effects,
    ],
  };
}

function onAgentMessage(
  state: EntryState,
  linkId: string,
  agent: AgentView,
  message: Exclude<AgentMessage, { readonly kind: 'hello' }>,
  inputs: StepInputs,
): EntryStep {
  const { membership } = state;
  const { agentId } = agent.profile;
  switch (message.kind) {
    case 'answer':
    case 'notRun':
    case 'outcomeUnknown':
    case 'unknownRequest':
      return handleAttemptResult(state, agentId, message, inputs);
    case 'draining': {
      const leaving = updateAgent(membership, agentId, (view) => ({ ...view, isLeaving: true }));
      return chainAll({ ...state, membership: leaving }, [
        (from) => handleRequests(from, { kind: 'upstreamLeaving', agentId }, inputs),
        (from) => handleBatch(from, { kind: 'agentLeaving', agentId }, inputs),
      ]);
    }
    case 'inForce':
      return unchanged({
        ...state,
        membership: updateAgent(membership, agentId, (view) => ({
          ...view,
          ticketInForce: message.number,
        })),
      });
    case 'progress':
    case 'pong':
      return unchanged(state);
    case 'beat': {
      const { free, slowDowns } = message;
      const updated = updateAgent(membership, agentId, (view) => ({ ...view, free }));
      const beat = { kind: 'beat', agentId, free, slowDowns } as const;
      const step = handleBatch({ ...state, membership: updated }, beat, inputs);
      // Shows the agent that messages of the entry still arrive over this connection.
      const ping = { kind: 'ping', sequence: 0 } as const;
      return {
        state: step.state,
        effects: [{ kind: 'send', linkId, message: ping }, ...step.effects],
      };
    }
    case 'accepted':
    case 'declined':
      return handleBatch(state, { ...message, agentId }, inputs);
    case 'taskReport': {
      const { id, epoch, report } = message;
      return handleBatch(state, { kind: 'report', agentId, id, epoch, report }, inputs);
    }
    case 'registerWorker': {
      const { worker, token } = message;
      // An agent may register and renew its own worker only.
      if (worker !== agent.profile.worker) return unchanged(state);
      return handleWorkers(state, { kind: 'register', agentId, worker, token }, inputs);
    }
    case 'renewWorker': {
      const { worker, incarnation, token } = message;
      if (worker !== agent.profile.worker) return unchanged(state);
      return handleWorkers(state, { kind: 'renew', agentId, worker, incarnation, token }, inputs);
    }
    default:
      return assertNever(message);
  }
}

function onMessage(
  state: EntryState,
  linkId: string,
  message: AgentMessage,
  inputs: StepInputs,
): EntryStep {
  if (message.kind === 'hello') {
    return onHello(state, linkId, message, inputs);
  }
  const agent = agentOf(state.membership, linkId);
  // The first message over a link has to be `hello`.
  if (agent === undefined) return { state, effects: [{ kind: 'closeLink', linkId }] };
  const { agentId } = agent.profile;
  const recorded = recordMessage(state, linkId, agentId, message, inputs);
  const step = onAgentMessage(recorded.state, linkId, agent, message, inputs);
  return { state: step.state, effects: [...recorded.effects, ...step.effects] };
}

function onTimer(state: EntryState, timer: EntryTimer, inputs: StepInputs): EntryStep {
  switch (timer.kind) {
    case 'requestExpiry':
    case 'requestHedge':
    case 'agentReturn':
    case 'intentFlush':
    case 'upstreamProbe':
      return handleRequests(state, { kind: 'timer', timer }, inputs);
    case 'linkCheck':
      return checkLink(state, timer.linkId, timer.sequence, inputs);
    case 'memberSweep':
      return pingOverdueAgents(state, inputs);
    case 'stopTimeout':
      return advanceLifecycle(state, 'timeout');
    case 'checkWorkers':
      return checkWorkers(state, inputs);
    case 'batch':
      return handleBatch(state, { kind: 'timer', timer: timer.timer }, inputs);
    case 'tickets':
      return handleTickets(state, { kind: 'timer', timer: timer.timer }, inputs);
    case 'workers':
      return handleWorkers(state, { kind: 'timer', timer: timer.timer }, inputs);
    default:
      return assertNever(timer);
  }
}

function handleEvent(state: EntryState, event: EntryEvent, inputs: StepInputs): EntryStep {
  switch (event.kind) {
    case 'started':
      return startComponents(state, event.wallOffsetMs, inputs);
    case 'commitDone':
    case 'readDone':
      return onStoreEvent(state, event, inputs);
    case 'admin':
      return administer(state, event.callId, event.command, inputs);
    case 'linkOpened':
      return unchanged(state);
    case 'linkClosed':
      return dropLink(state, event.linkId, inputs);
    case 'received':
      return onMessage(state, event.linkId, event.message, inputs);
    case 'arrived':
      return handleRequests(state, event, inputs);
    case 'timer':
      return onTimer(state, event.timer, inputs);
    case 'stop': {
      const drained = chainAll(state, [
        (from) => handleRequests(from, { kind: 'drain' }, inputs),
        (from) => handleBatch(from, { kind: 'drain' }, inputs),
      ]);
      const changed = advanceLifecycle(drained.state, 'stop');
      return { state: changed.state, effects: [...drained.effects, ...changed.effects] };
    }
    default:
      return assertNever(event);
  }
}

/** Handles one event of an entry. A draining entry stops once its work has ended. */
export function stepEntry(state: EntryState, event: EntryEvent, inputs: StepInputs): EntryStep {
  const handled = applyLostAgents(handleEvent(state, event, inputs), state.membership, inputs);
  const step = applyOutDomains(handled, state.tickets.configuration, inputs);
  if (step.state.lifecycle !== 'draining' || !isRequestsIdle(step.state.requests)) return step;
  // Waits for the release of shards, which others then take at once instead of after the lease.
  if (!isBatchIdle(step.state.batch)) return step;
  const stopped = advanceLifecycle(step.state, 'idle');
  return { state: stopped.state, effects: [...step.effects, ...stopped.effects] };
}
