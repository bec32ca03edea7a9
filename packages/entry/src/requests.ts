import type { AgentView, LivenessEffect, LivenessEvent } from '@bronzeyoke/membership';
import {
  agentOf,
  beatIntervalMs,
  overdueAgents,
  removeLink,
  stepLiveness,
  updateAgent,
} from '@bronzeyoke/membership';
import type { RequestsEffect, RequestsEvent } from '@bronzeyoke/requests';
import { stepRequests } from '@bronzeyoke/requests';
import { inFlightAt } from '@bronzeyoke/routing';
import type { Configuration, StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, chain } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';
import type { EntryEffect, EntryState, EntryStep } from './types';

/** Messages of an agent that end an attempt. */
export type AttemptResultMessage = Extract<
  AgentMessage,
  { readonly kind: 'answer' | 'notRun' | 'outcomeUnknown' | 'unknownRequest' }
>;

function livenessEffects(agent: AgentView, effect: LivenessEffect): readonly EntryEffect[] {
  const { linkId } = agent;
  switch (effect.kind) {
    case 'checkLater': {
      const { sequence, afterMs } = effect;
      return [{ kind: 'wake', timer: { kind: 'linkCheck', linkId, sequence }, afterMs }];
    }
    case 'ping':
      return [{ kind: 'send', linkId, message: { kind: 'ping', sequence: effect.sequence } }];
    case 'close':
      return [{ kind: 'closeLink', linkId }];
    case 'clearSuspicion':
      return [];
    default:
      return assertNever(effect);
  }
}

function requestsEffects(state: EntryState, effect: RequestsEffect): readonly EntryEffect[] {
  if (effect.kind !== 'send') return [effect];
  const agent = state.membership.agents.get(effect.agentId);
  return agent === undefined
    ? []
    : [{ kind: 'send', linkId: agent.linkId, message: effect.message }];
}

function recordSent(
  step: EntryStep,
  sent: readonly RequestsEffect[],
  inputs: StepInputs,
): EntryStep {
  return sent.reduce<EntryStep>((current, effect) => {
    if (effect.kind !== 'send' || effect.message.kind === 'cancelRequest') return current;
    const agent = current.state.membership.agents.get(effect.agentId);
    if (agent?.liveness.phase !== 'idle') return current;
    const livenessStep = stepLiveness(agent.liveness, { kind: 'sent' }, inputs.nowMs);
    const membership = updateAgent(current.state.membership, effect.agentId, (view) => ({
      ...view,
      liveness: livenessStep.state,
    }));
    return {
      state: { ...current.state, membership },
      effects: [
        ...current.effects,
        ...livenessStep.effects.flatMap((next) => livenessEffects(agent, next)),
      ],
    };
  }, step);
}

/** Applies an event to the requests, and starts liveness checks for the attempts it sends. */
export function handleRequests(
  state: EntryState,
  event: RequestsEvent,
  inputs: StepInputs,
): EntryStep {
  const step = stepRequests(state.requests, event, inputs);
  const next = { ...state, requests: step.state };
  const effects = step.effects.flatMap((effect) => requestsEffects(state, effect));
  return recordSent({ state: next, effects }, step.effects, inputs);
}

/** Removes a link, and its agent unless that has reconnected over another link. */
export function dropLink(state: EntryState, linkId: string, inputs: StepInputs): EntryStep {
  const agent = agentOf(state.membership, linkId);
  const remaining = { ...state, membership: removeLink(state.membership, linkId) };
  return agent?.linkId === linkId
    ? handleRequests(remaining, { kind: 'upstreamDown', agentId: agent.profile.agentId }, inputs)
    : unchanged(remaining);
}

function handleLiveness(
  state: EntryState,
  agent: AgentView,
  event: LivenessEvent,
  inputs: StepInputs,
): EntryStep {
  const { agentId } = agent.profile;
  const livenessStep = stepLiveness(agent.liveness, event, inputs.nowMs);
  const membership = updateAgent(state.membership, agentId, (view) => ({
    ...view,
    liveness: livenessStep.state,
  }));
  const step: EntryStep = {
    state: { ...state, membership },
    effects: livenessStep.effects.flatMap((effect) => livenessEffects(agent, effect)),
  };
  return livenessStep.effects.reduce<EntryStep>((current, effect) => {
    switch (effect.kind) {
      case 'ping':
      case 'clearSuspicion': {
        const isSuspect = effect.kind === 'ping';
        return chain(current, (next) =>
          handleRequests(next, { kind: 'upstreamSuspect', agentId, isSuspect }, inputs),
        );
      }
      case 'close':
        return chain(current, (next) => dropLink(next, agent.linkId, inputs));
      case 'checkLater':
        return current;
      default:
        return assertNever(effect);
    }
  }, step);
}

/** Returns whether a message shows that messages of the entry arrive. Others are unsolicited. */
function isReply(message: AgentMessage): boolean {
  switch (message.kind) {
    case 'answer':
    case 'notRun':
    case 'outcomeUnknown':
    case 'unknownRequest':
    case 'progress':
    case 'accepted':
    case 'declined':
    case 'inForce':
    case 'pong':
      return true;
    case 'hello':
    case 'beat':
    case 'draining':
    case 'taskReport':
    case 'registerWorker':
    case 'renewWorker':
      return false;
    default:
      return assertNever(message);
  }
}

/** Records the time of a message from an agent. A reply counts as progress on its link. */
export function recordMessage(
  state: EntryState,
  linkId: string,
  agentId: string,
  message: AgentMessage,
  inputs: StepInputs,
): EntryStep {
  const membership = updateAgent(state.membership, agentId, (view) => ({
    ...view,
    lastMessageAtMs: inputs.nowMs,
  }));
  const updated = { ...state, membership };
  const agent = membership.agents.get(agentId);
  return agent?.linkId === linkId && isReply(message)
    ? handleLiveness(updated, agent, { kind: 'replied' }, inputs)
    : unchanged(updated);
}

/** Checks whether the agent of a link has made progress. */
export function checkLink(
  state: EntryState,
  linkId: string,
  sequence: number,
  inputs: StepInputs,
): EntryStep {
  const agent = agentOf(state.membership, linkId);
  if (agent?.linkId !== linkId) return unchanged(state);
  const isBusy = inFlightAt(state.requests.routing, agent.profile.agentId) > 0;
  return handleLiveness(state, agent, { kind: 'check', sequence, isBusy }, inputs);
}

/** Pings the agents with overdue heartbeats, and repeats this after the next heartbeat interval. */
export function pingOverdueAgents(state: EntryState, inputs: StepInputs): EntryStep {
  const { membership } = state;
  const afterMs = beatIntervalMs(membership.agents.size);
  return overdueAgents(membership, inputs.nowMs).reduce<EntryStep>(
    (step, agent) =>
      chain(step, (current) => handleLiveness(current, agent, { kind: 'beatsMissed' }, inputs)),
    { state, effects: [{ kind: 'wake', timer: { kind: 'memberSweep' }, afterMs }] },
  );
}

/** Ends an attempt with the result that its agent reports. */
export function handleAttemptResult(
  state: EntryState,
  agentId: string,
  message: AttemptResultMessage,
  inputs: StepInputs,
): EntryStep {
  const { requestId, attemptId } = message;
  const event = { kind: 'attemptEnded', agentId, requestId, attemptId } as const;
  switch (message.kind) {
    case 'answer': {
      const { status, headers, body } = message;
      const result = { kind: 'answered', answer: { status, headers, body } } as const;
      return handleRequests(state, { ...event, result }, inputs);
    }
    case 'notRun': {
      const { reason } = message;
      return handleRequests(state, { ...event, result: { kind: 'notRun', reason } }, inputs);
    }
    case 'outcomeUnknown': {
      const { reason } = message;
      return handleRequests(
        state,
        { ...event, result: { kind: 'outcomeUnknown', reason } },
        inputs,
      );
    }
    case 'unknownRequest':
      return handleRequests(state, { ...event, result: { kind: 'neverArrived' } }, inputs);
    default:
      return assertNever(message);
  }
}

/** Passes the failure domains that are out to routing after the configuration changed. */
export function applyOutDomains(
  step: EntryStep,
  before: Configuration,
  inputs: StepInputs,
): EntryStep {
  const { configuration } = step.state.tickets;
  if (configuration === before) return step;
  const outDomains = configuration.entries
    .filter((entry) => entry.kind === 'domain' && entry.state === 'out')
    .map((entry) => entry.name);
  return chain(step, (state) => handleRequests(state, { kind: 'domains', outDomains }, inputs));
}
