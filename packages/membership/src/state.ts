import { Map } from 'immutable';
import type { AgentProfile, Resources } from '@bronzeyoke/types';
import type { LinkLiveness } from './liveness';
import { INITIAL_LIVENESS } from './liveness';

/** An entry's view of an agent that announced itself. */
export interface AgentView {
  readonly profile: AgentProfile;
  readonly linkId: string;
  readonly isLeaving: boolean;
  readonly free: Resources;
  readonly lastMessageAtMs: number;
  readonly ticketInForce: number;
  readonly liveness: LinkLiveness;
}

/** The agents that are connected to an entry. */
export interface MembershipState {
  readonly agents: Map<string, AgentView>;
  readonly agentIdByLink: Map<string, string>;
  /** Whether the timer for the search for missing heartbeats runs; the first agent starts it. */
  readonly isSweepScheduled: boolean;
}

/** Membership without agents. */
export const EMPTY_MEMBERSHIP: MembershipState = {
  agents: Map(),
  agentIdByLink: Map(),
  isSweepScheduled: false,
};

const BEAT_BYTES = 100;
const MAX_BEAT_BYTES_PER_S = 1_500;
const MIN_BEAT_INTERVAL_MS = 1_000;
const MAX_BEAT_INTERVAL_MS = 30_000;

/** Returns the heartbeat interval at which all agents together stay within the control budget. */
export function beatIntervalMs(agentCount: number): number {
  const budgetIntervalMs = ((agentCount * BEAT_BYTES) / MAX_BEAT_BYTES_PER_S) * 1_000;
  return Math.min(MAX_BEAT_INTERVAL_MS, Math.max(MIN_BEAT_INTERVAL_MS, budgetIntervalMs));
}

/** Heartbeat intervals without a message after which an agent is pinged. */
const MAX_MISSED_BEATS = 3;

/** Returns the agents whose last message is too old. */
export function overdueAgents(state: MembershipState, nowMs: number): readonly AgentView[] {
  const limitMs = MAX_MISSED_BEATS * beatIntervalMs(state.agents.size);
  return state.agents
    .valueSeq()
    .filter((view) => nowMs - view.lastMessageAtMs > limitMs)
    .toArray();
}

/** Adds an agent that announced itself over a link; a link holds one agent. */
export function addAgent(
  state: MembershipState,
  linkId: string,
  profile: AgentProfile,
  nowMs: number,
): MembershipState {
  const view: AgentView = {
    profile,
    linkId,
    isLeaving: false,
    free: profile.total,
    lastMessageAtMs: nowMs,
    ticketInForce: 0,
    liveness: INITIAL_LIVENESS,
  };
  return {
    agents: state.agents.set(profile.agentId, view),
    agentIdByLink: state.agentIdByLink.set(linkId, profile.agentId),
    isSweepScheduled: true,
  };
}

/** Returns the agent at the other end of a link. */
export function agentOf(state: MembershipState, linkId: string): AgentView | undefined {
  const agentId = state.agentIdByLink.get(linkId);
  return agentId === undefined ? undefined : state.agents.get(agentId);
}

/** Updates the view of an agent, if it is known. */
export function updateAgent(
  state: MembershipState,
  agentId: string,
  update: (view: AgentView) => AgentView,
): MembershipState {
  const view = state.agents.get(agentId);
  return view === undefined ? state : { ...state, agents: state.agents.set(agentId, update(view)) };
}

/** Removes a link, and its agent unless the agent has reconnected over another link. */
export function removeLink(state: MembershipState, linkId: string): MembershipState {
  const agent = agentOf(state, linkId);
  const agentIdByLink = state.agentIdByLink.delete(linkId);
  return agent?.linkId === linkId
    ? { ...state, agents: state.agents.delete(agent.profile.agentId), agentIdByLink }
    : { ...state, agentIdByLink };
}
