import type { AdmissionEffect, AdmissionEvent } from '@bronzeyoke/admission';
import { createAdmission, isIdle, stepAdmission } from '@bronzeyoke/admission';
import { advance } from '@bronzeyoke/chart';
import type { RoleAction } from '@bronzeyoke/lifecycle';
import { STOP_LIMIT_MS, roleChart } from '@bronzeyoke/lifecycle';
import type { AgentProfile, Instant, Step } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import type { EntryMessage } from '@bronzeyoke/wire';
import { PROTOCOL_VERSION } from '@bronzeyoke/wire';
import type { AgentEffect, AgentEvent, AgentState, AgentTimer } from './types';

const FIRST_BEAT_INTERVAL_MS = 1_000;

type AgentStep = Step<AgentState, AgentEffect>;

/** The state of an agent before its first connection. */
export function createAgent(profile: AgentProfile): AgentState {
  return {
    profile,
    role: roleChart.initial,
    incarnation: 0,
    links: [],
    beatIntervalMs: FIRST_BEAT_INTERVAL_MS,
    admission: createAdmission(profile.slots, profile.connections),
  };
}

function fromAdmission(effect: AdmissionEffect): AgentEffect {
  switch (effect.kind) {
    case 'send':
    case 'callUpstream':
      return effect;
    case 'expireLater':
      return {
        kind: 'wake',
        timer: { kind: 'attemptExpiry', attemptId: effect.attemptId },
        afterMs: effect.afterMs,
      };
    default:
      return assertNever(effect);
  }
}

function admission(state: AgentState, event: AdmissionEvent, instant: Instant): AgentStep {
  const step = stepAdmission(state.admission, event, instant);
  return { state: { ...state, admission: step.state }, effects: step.effects.map(fromAdmission) };
}

function beat(state: AgentState): AgentStep {
  const message = {
    kind: 'beat',
    free: state.profile.total,
    slotsInUse: state.admission.runningCount,
    slowDowns: [],
  } as const;
  return {
    state,
    effects: [
      ...state.links.map((linkId) => ({ kind: 'send', linkId, message }) as const),
      { kind: 'wake', timer: { kind: 'beat' }, afterMs: state.beatIntervalMs },
    ],
  };
}

function roleEffects(state: AgentState, action: RoleAction): readonly AgentEffect[] {
  switch (action) {
    case 'announce':
      return state.links.map((linkId) => ({ kind: 'send', linkId, message: { kind: 'draining' } }));
    case 'startLimit':
      return [{ kind: 'wake', timer: { kind: 'stopLimit' }, afterMs: STOP_LIMIT_MS }];
    case 'exit':
      return [{ kind: 'exit' }];
    default:
      return assertNever(action);
  }
}

function changeRole(state: AgentState, event: 'stop' | 'idle' | 'limit'): AgentStep {
  const next = advance(roleChart, state.role, event);
  return {
    state: { ...state, role: next.state },
    effects: next.actions.flatMap((action) => roleEffects(state, action)),
  };
}

function stopRole(state: AgentState, instant: Instant): AgentStep {
  const drained = admission(state, { kind: 'drain' }, instant);
  const changed = changeRole(drained.state, 'stop');
  return { state: changed.state, effects: [...drained.effects, ...changed.effects] };
}

function onTimer(state: AgentState, timer: AgentTimer, instant: Instant): AgentStep {
  switch (timer.kind) {
    case 'attemptExpiry':
      return admission(state, { kind: 'expire', attemptId: timer.attemptId }, instant);
    case 'beat':
      return beat(state);
    case 'stopLimit':
      return changeRole(state, 'limit');
    default:
      return assertNever(timer);
  }
}

function onMessage(
  state: AgentState,
  linkId: string,
  message: EntryMessage,
  instant: Instant,
): AgentStep {
  switch (message.kind) {
    case 'welcome':
      return unchanged({ ...state, beatIntervalMs: message.beatIntervalMs });
    case 'request': {
      const { kind, ...attempt } = message;
      return admission(state, { kind, linkId, attempt }, instant);
    }
    case 'collect':
      return admission(state, { ...message, linkId }, instant);
    case 'cancelRequest':
      return admission(state, { kind: 'cancel', attemptId: message.attemptId }, instant);
    case 'ping':
      return {
        state,
        effects: [{ kind: 'send', linkId, message: { kind: 'pong', sequence: message.sequence } }],
      };
    case 'config':
      return {
        state,
        effects: [
          {
            kind: 'send',
            linkId,
            message: { kind: 'inForce', number: message.configuration.number },
          },
        ],
      };
    case 'offer':
    case 'claimed':
    case 'claimFailed':
    case 'stopTask':
    case 'askTask':
    case 'recorded':
    case 'workerRegistered':
    case 'workerRenewed':
    case 'workerFenced':
      return unchanged(state);
    default:
      return assertNever(message);
  }
}

function linkOpened(state: AgentState, linkId: string): AgentStep {
  const { profile, incarnation } = state;
  const hello = { kind: 'hello', version: PROTOCOL_VERSION, profile, incarnation } as const;
  const leaving: readonly AgentEffect[] =
    state.role === 'serving' ? [] : [{ kind: 'send', linkId, message: { kind: 'draining' } }];
  return {
    state: { ...state, links: [...state.links.filter((link) => link !== linkId), linkId] },
    effects: [{ kind: 'send', linkId, message: hello }, ...leaving],
  };
}

function decide(state: AgentState, event: AgentEvent, instant: Instant): AgentStep {
  switch (event.kind) {
    case 'started':
      return beat(state);
    case 'linkOpened':
      return linkOpened(state, event.linkId);
    case 'linkClosed': {
      const { linkId } = event;
      const links = state.links.filter((link) => link !== linkId);
      return admission({ ...state, links }, { kind: 'linkClosed', linkId }, instant);
    }
    case 'received':
      return onMessage(state, event.linkId, event.message, instant);
    case 'upstreamAnswered':
      return admission(state, { ...event, kind: 'answered' }, instant);
    case 'upstreamNotReached':
      return admission(state, { ...event, kind: 'notReached' }, instant);
    case 'upstreamLost':
      return admission(state, { ...event, kind: 'lost' }, instant);
    case 'timer':
      return onTimer(state, event.timer, instant);
    case 'stop':
      return stopRole(state, instant);
    default:
      return assertNever(event);
  }
}

/** Decides for an agent. */
export function stepAgent(state: AgentState, event: AgentEvent, instant: Instant): AgentStep {
  const step = decide(state, event, instant);
  if (step.state.role !== 'draining' || !isIdle(step.state.admission)) return step;
  const stopped = changeRole(step.state, 'idle');
  return { state: stopped.state, effects: [...step.effects, ...stopped.effects] };
}
