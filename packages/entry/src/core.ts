import { advance } from '@bronzeyoke/chart';
import type { RoleAction } from '@bronzeyoke/lifecycle';
import { STOP_LIMIT_MS, roleChart } from '@bronzeyoke/lifecycle';
import { NO_MEMBERS, addAgent, agentOf, beatIntervalMs, updateAgent } from '@bronzeyoke/membership';
import { createRequests, isIdle } from '@bronzeyoke/requests';
import type { AgentProfile, Instant, Step } from '@bronzeyoke/types';
import { EMPTY_CONFIGURATION, assertNever, unchanged } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';
import { PROTOCOL_VERSION } from '@bronzeyoke/wire';
import {
  applyDomains,
  checkLink,
  dropLink,
  endAttempt,
  noteHeard,
  runRequests,
  sweepMembers,
} from './requests';
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
  const sweep: readonly EntryEffect[] = state.membership.isSwept
    ? []
    : [{ kind: 'wake', timer: { kind: 'memberSweep' }, afterMs: welcome.beatIntervalMs }];
  return {
    state: step.state,
    effects: [
      ...replaced,
      ...sweep,
      { kind: 'send', linkId, message: welcome },
      { kind: 'send', linkId, message: { kind: 'config', configuration: state.configuration } },
      ...step.effects,
    ],
  };
}

function onAgentMessage(
  heard: EntryState,
  linkId: string,
  agentId: string,
  message: Exclude<AgentMessage, { readonly kind: 'hello' }>,
  instant: Instant,
): EntryStep {
  const { membership } = heard;
  switch (message.kind) {
    case 'answer':
    case 'notRun':
    case 'outcomeUnknown':
    case 'unknownRequest':
      return endAttempt(heard, agentId, message, instant);
    case 'draining': {
      const leaving = updateAgent(membership, agentId, (view) => ({ ...view, isLeaving: true }));
      return runRequests(
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
      // Lets the agent see that this connection still carries what the entry sends.
      return {
        state: heard,
        effects: [{ kind: 'send', linkId, message: { kind: 'ping', sequence: 0 } }],
      };
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
  const heard = noteHeard(state, linkId, agentId, message, instant);
  const step = onAgentMessage(heard.state, linkId, agentId, message, instant);
  return { state: step.state, effects: [...heard.effects, ...step.effects] };
}

function onTimer(state: EntryState, timer: EntryTimer, instant: Instant): EntryStep {
  switch (timer.kind) {
    case 'requestExpiry':
    case 'requestHedge':
    case 'agentReturn':
    case 'upstreamProbe':
      return runRequests(state, { kind: 'timer', timer }, instant);
    case 'linkCheck':
      return checkLink(state, timer.linkId, timer.sequence, instant);
    case 'memberSweep':
      return sweepMembers(state, instant);
    case 'stopLimit':
      return changeRole(state, 'limit');
    default:
      return assertNever(timer);
  }
}

function decide(state: EntryState, event: EntryEvent, instant: Instant): EntryStep {
  switch (event.kind) {
    case 'linkOpened':
      return unchanged(state);
    case 'linkClosed':
      return dropLink(state, event.linkId, instant);
    case 'received':
      return onMessage(state, event.linkId, event.message, instant);
    case 'arrived':
    case 'commitDone':
    case 'readDone':
      return runRequests(state, event, instant);
    case 'timer':
      return onTimer(state, event.timer, instant);
    case 'stop': {
      const drained = runRequests(state, { kind: 'drain' }, instant);
      const changed = changeRole(drained.state, 'stop');
      return { state: changed.state, effects: [...drained.effects, ...changed.effects] };
    }
    default:
      return assertNever(event);
  }
}

/** Decides for an entry. */
export function stepEntry(state: EntryState, event: EntryEvent, instant: Instant): EntryStep {
  const step = applyDomains(decide(state, event, instant), state.configuration, instant);
  if (step.state.role !== 'draining' || !isIdle(step.state.requests)) return step;
  const stopped = changeRole(step.state, 'idle');
  return { state: stopped.state, effects: [...step.effects, ...stopped.effects] };
}
