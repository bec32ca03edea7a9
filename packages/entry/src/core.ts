import { advance } from '@bronzeyoke/chart';
import type { RoleAction } from '@bronzeyoke/lifecycle';
import { STOP_LIMIT_MS, roleChart } from '@bronzeyoke/lifecycle';
import {
  NO_MEMBERS,
  addAgent,
  agentOf,
  beatIntervalMs,
  removeLink,
  updateAgent,
} from '@bronzeyoke/membership';
import type { RequestsEffect, RequestsEvent } from '@bronzeyoke/requests';
import { createRequests, isIdle, stepRequests } from '@bronzeyoke/requests';
import type { AgentProfile, Instant, Step } from '@bronzeyoke/types';
import { EMPTY_CONFIGURATION, assertNever, fail, unchanged } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';
import { PROTOCOL_VERSION } from '@bronzeyoke/wire';
import type { EntryEffect, EntryEvent, EntryState, EntryTimer } from './types';

type EntryStep = Step<EntryState, EntryEffect>;

/** The state of an entry before the first agent announced itself. */
export function createEntry(entryId: string, domain: string): EntryState {
  return {
    entryId,
    role: roleChart.initial,
    configuration: EMPTY_CONFIGURATION,
    membership: NO_MEMBERS,
    requests: createRequests(domain),
    wallOffsetMs: 0,
  };
}

function fromRequests(state: EntryState, effect: RequestsEffect): readonly EntryEffect[] {
  switch (effect.kind) {
    case 'send': {
      const agent = state.membership.agents.get(effect.agentId);
      return agent === undefined
        ? []
        : [{ kind: 'send', linkId: agent.linkId, message: effect.message }];
    }
    case 'reply':
    case 'storeIntent':
      return [effect];
    case 'expireLater': {
      const { requestId, afterMs } = effect;
      return [{ kind: 'wake', timer: { kind: 'requestExpiry', requestId }, afterMs }];
    }
    default:
      return assertNever(effect);
  }
}

function requests(state: EntryState, event: RequestsEvent, instant: Instant): EntryStep {
  const step = stepRequests(state.requests, event, instant);
  return {
    state: { ...state, requests: step.state },
    effects: step.effects.flatMap((effect) => fromRequests(state, effect)),
  };
}

function roleEffects(action: RoleAction): readonly EntryEffect[] {
  switch (action) {
    case 'announce':
      return [];
    case 'startLimit':
      return [{ kind: 'wake', timer: { kind: 'stopLimit' }, afterMs: STOP_LIMIT_MS }];
    case 'exit':
      return [{ kind: 'exit' }];
    default:
      return assertNever(action);
  }
}

function changeRole(state: EntryState, event: 'stop' | 'idle' | 'limit'): EntryStep {
  const next = advance(roleChart, state.role, event);
  return { state: { ...state, role: next.state }, effects: next.actions.flatMap(roleEffects) };
}

function hello(
  state: EntryState,
  linkId: string,
  version: number,
  profile: AgentProfile,
  instant: Instant,
): EntryStep {
  if (version !== PROTOCOL_VERSION) return { state, effects: [{ kind: 'closeLink', linkId }] };
  const membership = addAgent(state.membership, linkId, profile, instant.nowMs);
  const { agentId, service, domain, slots, connections } = profile;
  const upstream = { agentId, service, domain, slots, connections };
  const step = requests({ ...state, membership }, { kind: 'upstreamUp', upstream }, instant);
  const welcome = {
    kind: 'welcome',
    version: PROTOCOL_VERSION,
    entryId: state.entryId,
    beatIntervalMs: beatIntervalMs(membership.agents.size),
  } as const;
  return {
    state: step.state,
    effects: [
      { kind: 'send', linkId, message: welcome },
      { kind: 'send', linkId, message: { kind: 'config', configuration: state.configuration } },
      ...step.effects,
    ],
  };
}

function linkClosed(state: EntryState, linkId: string, instant: Instant): EntryStep {
  const agent = agentOf(state.membership, linkId);
  const left = { ...state, membership: removeLink(state.membership, linkId) };
  return agent?.linkId === linkId
    ? requests(left, { kind: 'upstreamDown', agentId: agent.profile.agentId }, instant)
    : unchanged(left);
}

function onMessage(
  state: EntryState,
  linkId: string,
  message: AgentMessage,
  instant: Instant,
): EntryStep {
  if (message.kind === 'hello') {
    return hello(state, linkId, message.version, message.profile, instant);
  }
  const agent = agentOf(state.membership, linkId);
  // An agent has to announce itself before anything else.
  if (agent === undefined) return { state, effects: [{ kind: 'closeLink', linkId }] };
  const { agentId } = agent.profile;
  const membership = updateAgent(state.membership, agentId, (view) => ({
    ...view,
    heardAtMs: instant.nowMs,
  }));
  const heard = { ...state, membership };
  switch (message.kind) {
    case 'answer': {
      const { requestId, attemptId, status, headers, body } = message;
      const answer = { status, headers, body };
      return requests(heard, { kind: 'answered', requestId, attemptId, answer }, instant);
    }
    case 'notRun':
    case 'outcomeUnknown':
      return requests(heard, message, instant);
    case 'unknownRequest':
      return requests(heard, { ...message, kind: 'notRun', reason: 'cancelled' }, instant);
    case 'draining': {
      const leaving = updateAgent(membership, agentId, (view) => ({ ...view, isLeaving: true }));
      return requests(
        { ...heard, membership: leaving },
        { kind: 'upstreamLeaving', agentId },
        instant,
      );
    }
    case 'inForce':
      return unchanged({
        ...heard,
        membership: updateAgent(membership, agentId, (view) => ({
          ...view,
          ticketInForce: message.number,
        })),
      });
    case 'beat':
    case 'progress':
    case 'pong':
    case 'accepted':
    case 'declined':
    case 'taskReport':
    case 'registerWorker':
    case 'renewWorker':
      return unchanged(heard);
    default:
      return assertNever(message);
  }
}

function onTimer(state: EntryState, timer: EntryTimer, instant: Instant): EntryStep {
  switch (timer.kind) {
    case 'requestExpiry':
      return requests(state, { kind: 'expire', requestId: timer.requestId }, instant);
    case 'stopLimit':
      return changeRole(state, 'limit');
    default:
      return assertNever(timer);
  }
}

function decide(state: EntryState, event: EntryEvent, instant: Instant): EntryStep {
  switch (event.kind) {
    case 'started':
      return unchanged({ ...state, wallOffsetMs: event.wallOffsetMs });
    case 'commitDone':
    case 'readDone':
      return unchanged(state);
    case 'admin': {
      const { callId } = event;
      const failure = { kind: 'storeUnavailable' } as const;
      return { state, effects: [{ kind: 'adminReply', callId, result: fail(failure) }] };
    }
    case 'linkOpened':
      return unchanged(state);
    case 'linkClosed':
      return linkClosed(state, event.linkId, instant);
    case 'received':
      return onMessage(state, event.linkId, event.message, instant);
    case 'arrived':
    case 'intentStored':
    case 'intentFound':
    case 'intentFailed':
      return requests(state, event, instant);
    case 'timer':
      return onTimer(state, event.timer, instant);
    case 'stop': {
      const drained = requests(state, { kind: 'drain' }, instant);
      const changed = changeRole(drained.state, 'stop');
      return { state: changed.state, effects: [...drained.effects, ...changed.effects] };
    }
    default:
      return assertNever(event);
  }
}

/** Decides for an entry. */
export function stepEntry(state: EntryState, event: EntryEvent, instant: Instant): EntryStep {
  const step = decide(state, event, instant);
  if (step.state.role !== 'draining' || !isIdle(step.state.requests)) return step;
  const stopped = changeRole(step.state, 'idle');
  return { state: stopped.state, effects: [...step.effects, ...stopped.effects] };
}
