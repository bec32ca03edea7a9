import type { AgentMessage } from '@bronzeyoke/wire';
import type { AgentEffect, AgentState } from './types';

/** Sends a message to every open link. */
export function broadcast(state: AgentState, message: AgentMessage): readonly AgentEffect[] {
  return state.links.map((linkId) => ({ kind: 'send', linkId, message }));
}
