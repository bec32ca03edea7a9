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
import { createRequests, isIdle } from '@bronzeyoke/requests';
import { createTickets } from '@bronzeyoke/tickets';
import type { Instant, Step } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';
import { PROTOCOL_VERSION } from '@bronzeyoke/wire';
import { createWorkers } from '@bronzeyoke/workers';
import { administer } from './admin';
import {
  applyLostAgents,
  runBatch,
  checkWorkers,
  onStoreEvent,
  sequence,
  startComponents,
  runTickets,
  runWorkers,
} from './control';
import {
  applyOutDomains,
  checkLink,
  dropLink,
  endAttempt,
  recordMessage,
  runRequests,
  pingOverdueAgents,
} from './requests';
import type { EntryEffect, EntryEvent, EntryState, EntryTimer } from './types';

type EntryStep = Step<EntryState, EntryEffect>;

/** The state of an entry before the first agent announced itself. */
export function createEntry(entryId: string, domain: string): EntryState {
  return {
    entryId,
    role: lifecycleChart.initial,
    domain,
    tickets: createTickets(entryId),
    workers: createWorkers(),
    batch: createBatch(entryId, domain),
    membership: EMPTY_MEMBERSHIP,
    requests: createRequests(domain),
    wallOffsetMs: 0,
  };
}

function roleEffects(action: LifecycleAction): readonly EntryEffect[] {
  switch (action) {
    case 'announce':
      return [];
    case 'startTimeout':
      return [{ kind: 'wake', timer: { kind: 'stopLimit' }, afterMs: DRAIN_TIMEOUT_MS }];
    case 'exit':
      return [{ kind: 'exit' }];
    default:
      return assertNever(action);
  }
}

function transitionRole(state: EntryState, event: 'stop' | 'idle' | 'timeout'): EntryStep {
  const next = advance(lifecycleChart, state.role, event);
  return { state: { ...state, role: next.state }, effects: next.actions.flatMap(roleEffects) };
}

function onHello(
  state: EntryState,
  linkId: string,
  message: Extract<AgentMessage, { readonly kind: 'hello' }>,
  instant: Instant,
): EntryStep {
  const { version, profile, incarnation } = message;
  if (version !== PROTOCOL_VERSION) return { state, effects: [{ kind: 'closeLink', linkId }] };
  const known = state.membership.agents.get(profile.agentId);
  const membership = addAgent(state.membership, linkId, profile, instant.nowMs);
  const { agentId, service, domain, slots, connections } = profile;
  const upstream = { agentId, service, domain, slots, connections };
  const step = runRequests({ ...state, membership }, { kind: 'upstreamUp', upstream }, instant);
  const welcome = {
    kind: 'welcome',
    version: PROTOCOL_VERSION,
    entryId: state.entryId,
    beatIntervalMs: beatIntervalMs(membership.agents.size),
  } as const;
  const replaced: readonly EntryEffect[] =
    known === undefined || known.linkId === linkId
      ? []
      : [{ kind: 'closeLink', linkId: known.linkId }];
  const sweep: readonly EntryEffect[] = state.membership.isSweepScheduled
    ? []
    : [{ kind: 'wake', timer: { kind: 'memberSweep' }, afterMs: welcome.beatIntervalMs }];
  const { worker } = profile;
  const announced = sequence(step.state, [
    (from) => runWorkers(from, { kind: 'announced', worker, incarnation }, instant),
    (from) => runBatch(from, { kind: 'agentUp', agentId, profile }, instant),
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
  heard: EntryState,
  linkId: string,
  agent: AgentView,
  message: Exclude<AgentMessage, { readonly kind: 'hello' }>,
  instant: Instant,
): EntryStep {
  const { membership } = heard;
  const { agentId } = agent.profile;
  switch (message.kind) {
    case 'answer':
    case 'notRun':
    case 'outcomeUnknown':
    case 'unknownRequest':
      return endAttempt(heard, agentId, message, instant);
    case 'draining': {
      const leaving = updateAgent(membership, agentId, (view) => ({ ...view, isLeaving: true }));
      return sequence({ ...heard, membership: leaving }, [
        (from) => runRequests(from, { kind: 'upstreamLeaving', agentId }, instant),
        (from) => runBatch(from, { kind: 'agentLeaving', agentId }, instant),
      ]);
    }
    case 'inForce':
      return unchanged({
        ...heard,
        membership: updateAgent(membership, agentId, (view) => ({
          ...view,
          ticketInForce: message.number,
        })),
      });
    case 'progress':
    case 'pong':
      return unchanged(heard);
    case 'beat': {
      const { free, slowDowns } = message;
      const fresh = updateAgent(membership, agentId, (view) => ({ ...view, free }));
      const beat = { kind: 'beat', agentId, free, slowDowns } as const;
      const step = runBatch({ ...heard, membership: fresh }, beat, instant);
      // Lets the agent see that this connection still carries what the entry sends.
      const ping = { kind: 'ping', sequence: 0 } as const;
      return {
        state: step.state,
        effects: [{ kind: 'send', linkId, message: ping }, ...step.effects],
      };
    }
    case 'accepted':
    case 'declined':
      return runBatch(heard, { ...message, agentId }, instant);
    case 'taskReport': {
      const { id, epoch, report } = message;
      return runBatch(heard, { kind: 'report', agentId, id, epoch, report }, instant);
    }
    case 'registerWorker': {
      const { worker, token } = message;
      // An agent speaks for its own worker only.
      if (worker !== agent.profile.worker) return unchanged(heard);
      return runWorkers(heard, { kind: 'register', agentId, worker, token }, instant);
    }
    case 'renewWorker': {
      const { worker, incarnation, token } = message;
      if (worker !== agent.profile.worker) return unchanged(heard);
      return runWorkers(heard, { kind: 'renew', agentId, worker, incarnation, token }, instant);
    }
    default:
      return assertNever(message);
  }
}

function onMessage(
  state: EntryState,
  linkId: string,
  message: AgentMessage,
  instant: Instant,
): EntryStep {
  if (message.kind === 'hello') {
    return onHello(state, linkId, message, instant);
  }
  const agent = agentOf(state.membership, linkId);
  // An agent has to announce itself before anything else.
  if (agent === undefined) return { state, effects: [{ kind: 'closeLink', linkId }] };
  const { agentId } = agent.profile;
  const heard = recordMessage(state, linkId, agentId, message, instant);
  const step = onAgentMessage(heard.state, linkId, agent, message, instant);
  return { state: step.state, effects: [...heard.effects, ...step.effects] };
}

function onTimer(state: EntryState, timer: EntryTimer, instant: Instant): EntryStep {
  switch (timer.kind) {
    case 'requestExpiry':
    case 'requestHedge':
    case 'agentReturn':
    case 'intentFlush':
    case 'upstreamProbe':
      return runRequests(state, { kind: 'timer', timer }, instant);
    case 'linkCheck':
      return checkLink(state, timer.linkId, timer.sequence, instant);
    case 'memberSweep':
      return pingOverdueAgents(state, instant);
    case 'stopLimit':
      return transitionRole(state, 'timeout');
    case 'checkWorkers':
      return checkWorkers(state, instant);
    case 'batch':
      return runBatch(state, { kind: 'timer', timer: timer.timer }, instant);
    case 'tickets':
      return runTickets(state, { kind: 'timer', timer: timer.timer }, instant);
    case 'workers':
      return runWorkers(state, { kind: 'timer', timer: timer.timer }, instant);
    default:
      return assertNever(timer);
  }
}

function handleEvent(state: EntryState, event: EntryEvent, instant: Instant): EntryStep {
  switch (event.kind) {
    case 'started':
      return startComponents(state, event.wallOffsetMs, instant);
    case 'commitDone':
    case 'readDone':
      return onStoreEvent(state, event, instant);
    case 'admin':
      return administer(state, event.callId, event.command, instant);
    case 'linkOpened':
      return unchanged(state);
    case 'linkClosed':
      return dropLink(state, event.linkId, instant);
    case 'received':
      return onMessage(state, event.linkId, event.message, instant);
    case 'arrived':
      return runRequests(state, event, instant);
    case 'timer':
      return onTimer(state, event.timer, instant);
    case 'stop': {
      const drained = sequence(state, [
        (from) => runRequests(from, { kind: 'drain' }, instant),
        (from) => runBatch(from, { kind: 'drain' }, instant),
      ]);
      const changed = transitionRole(drained.state, 'stop');
      return { state: changed.state, effects: [...drained.effects, ...changed.effects] };
    }
    default:
      return assertNever(event);
  }
}

/** Decides for an entry. */
export function stepEntry(state: EntryState, event: EntryEvent, instant: Instant): EntryStep {
  const decided = applyLostAgents(handleEvent(state, event, instant), state.membership, instant);
  const step = applyOutDomains(decided, state.tickets.configuration, instant);
  if (step.state.role !== 'draining' || !isIdle(step.state.requests)) return step;
  // Shards that are given back are taken by others at once instead of after their lease.
  if (!isBatchIdle(step.state.batch)) return step;
  const stopped = transitionRole(step.state, 'idle');
  return { state: stopped.state, effects: [...step.effects, ...stopped.effects] };
}
