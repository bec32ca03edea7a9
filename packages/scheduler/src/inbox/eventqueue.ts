import { List, Map } from 'immutable';
import type { SchedulerEvent } from '../types';

/** An event of a connection. Those of one connection are handled in the order of their arrival. */
type LinkEvent = Extract<SchedulerEvent, { readonly linkId: string }>;

/**
 * Events of an entry that wait for its processor. Answers of the store, ticks and new jobs come before the
 * connections of agents: placement, start orders and renewals of the lease depend on them, they are few, and
 * behind the reports of a fleet each would wait for all of these.
 */
export interface EventQueue {
  readonly urgent: List<SchedulerEvent>;
  readonly links: List<LinkEvent>;
  /** Events of connections that were taken so far, which is the position of the first one that waits. */
  readonly taken: number;
  /** Position of the last event of each connection that waits. */
  readonly lastOfLink: Map<string, number>;
}

/** A queue without events. */
export const NO_EVENTS: EventQueue = {
  urgent: List(),
  links: List(),
  taken: 0,
  lastOfLink: Map(),
};

/** Returns how many events wait. */
export function queuedCount({ urgent, links }: EventQueue): number {
  return urgent.size + links.size;
}

function isLinkEvent(event: SchedulerEvent): event is LinkEvent {
  return 'linkId' in event;
}

/**
 * Returns whether a report makes an earlier one needless that still waits: both tell all that runs on one
 * worker and the same ends until they are acknowledged.
 */
function replaces(earlier: LinkEvent, later: LinkEvent): boolean {
  return (
    earlier.kind === 'received' &&
    later.kind === 'received' &&
    earlier.message.kind === 'report' &&
    later.message.kind === 'report' &&
    earlier.message.workerKey === later.message.workerKey &&
    earlier.message.term === later.message.term
  );
}

function enqueueLinkEvent(queue: EventQueue, event: LinkEvent): EventQueue {
  const { links, taken, lastOfLink } = queue;
  const last = lastOfLink.get(event.linkId);
  const waiting = last === undefined ? undefined : links.get(last - taken);
  if (last !== undefined && waiting !== undefined && replaces(waiting, event)) {
    return { ...queue, links: links.set(last - taken, event) };
  }
  return {
    ...queue,
    links: links.push(event),
    lastOfLink: lastOfLink.set(event.linkId, taken + links.size),
  };
}

/** Adds an event. A report takes the place of the last event of its connection if it makes that needless. */
export function enqueueEvent(queue: EventQueue, event: SchedulerEvent): EventQueue {
  if (isLinkEvent(event)) return enqueueLinkEvent(queue, event);
  return { ...queue, urgent: queue.urgent.push(event) };
}

/** The next event, and those that go on waiting. */
export interface DequeuedEvent {
  readonly event: SchedulerEvent;
  readonly queue: EventQueue;
}

/** Takes the next event; undefined if none waits. */
export function dequeueEvent(queue: EventQueue): DequeuedEvent | undefined {
  const { urgent, links, taken, lastOfLink } = queue;
  const first = urgent.first();
  if (first !== undefined) return { event: first, queue: { ...queue, urgent: urgent.shift() } };
  const event = links.first();
  if (event === undefined) return undefined;
  const isLast = lastOfLink.get(event.linkId) === taken;
  return {
    event,
    queue: {
      ...queue,
      links: links.shift(),
      taken: taken + 1,
      lastOfLink: isLast ? lastOfLink.delete(event.linkId) : lastOfLink,
    },
  };
}
