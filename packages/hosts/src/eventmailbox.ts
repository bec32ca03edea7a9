import type { Mailbox } from '@bronzeyoke/actors';
import type { EventQueue, SchedulerEvent } from '@bronzeyoke/scheduler';
import { dequeueEvent, enqueueEvent, NO_EVENTS, queuedCount } from '@bronzeyoke/scheduler';

/** Creates the mailbox of a scheduler that orders its events. */
export function createEventMailbox(): Mailbox<SchedulerEvent> {
  const known: { queue: EventQueue } = { queue: NO_EVENTS };
  return {
    push: (event) => {
      known.queue = enqueueEvent(known.queue, event);
    },
    take: () => {
      const next = dequeueEvent(known.queue);
      if (next === undefined) return undefined;
      known.queue = next.queue;
      return next.event;
    },
    size: () => queuedCount(known.queue),
  };
}
