import type { Socket } from 'node:net';
import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch } from '@bronzeyoke/actors';
import type { LinkCommand, LinkGuard } from '@bronzeyoke/link';
import { spawnLink } from '@bronzeyoke/link';
import type { SchedulerEvent } from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';
import type { LeaderMessage } from '@bronzeyoke/wire';
import { ENTRY_CODEC } from '@bronzeyoke/wire';
import { logMalformed } from './malformed';
import type { LogEvent } from './types';

/** Connections of an entry from agents and other entries. */
export interface AgentLinks {
  /** Starts the actor of a connection, which reports to the scheduler. */
  readonly accept: (socket: Socket, scheduler: Ref<SchedulerEvent>) => void;
  /** Sends a message; no effect when the connection is closed. */
  readonly send: (linkId: string, message: LeaderMessage) => void;
  /**
   * Called when a batch of the scheduler begins. Returns its longest time, undefined for the usual one, by
   * whether a connection was accepted since the batch before.
   */
  readonly beginBatch: () => number | undefined;
}

/**
 * Longest batch of a scheduler after a turn of the event loop in which a connection was accepted. Node.js
 * 20 accepts one in a turn, so others may wait, and agents without a connection lose their leases.
 */
const ACCEPTING_BATCH_MS = 2;

/** Creates the table of an entry's connections. */
export function createAgentLinks(
  system: ActorSystemRef,
  log: LogEvent,
  guard?: LinkGuard,
): AgentLinks {
  const links = new Map<string, Ref<LinkCommand>>();
  let linkCount = 0;
  let linkCountAtBatch = 0;
  return {
    accept: (socket, scheduler) => {
      linkCount += 1;
      const linkId = `link-${linkCount}`;
      const link = spawnLink(system, {
        linkId,
        socket,
        codec: ENTRY_CODEC,
        ...(guard === undefined ? {} : { guard }),
        report: (event) => {
          switch (event.kind) {
            case 'opened':
              dispatch(scheduler, { kind: 'linkOpened', linkId });
              return;
            case 'received': {
              const { message } = event;
              dispatch(scheduler, { kind: 'received', linkId, message, wallMs: Date.now() });
              return;
            }
            case 'skipped':
              log('malformed', { what: 'message', messageKind: event.messageKind });
              return;
            case 'closed':
              logMalformed(event, log);
              links.delete(linkId);
              dispatch(scheduler, { kind: 'linkClosed', linkId });
              return;
            default:
              assertNever(event);
          }
        },
      });
      links.set(linkId, link);
    },
    send: (linkId, message) => {
      const link = links.get(linkId);
      if (link !== undefined) dispatch(link, { kind: 'send', message });
    },
    beginBatch: () => {
      const hasAccepted = linkCount > linkCountAtBatch;
      linkCountAtBatch = linkCount;
      return hasAccepted ? ACCEPTING_BATCH_MS : undefined;
    },
  };
}
