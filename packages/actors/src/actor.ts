import { performance } from 'node:perf_hooks';
import * as nact from 'nact';
import type { ActorSystemRef } from 'nact';

/**
 * Time in one turn of the event loop after which an actor leaves its other messages to the next one.
 * Node.js 20 accepts one connection in a turn, so a leader with long turns keeps a fleet waiting that
 * connects at the same moment.
 */
const MAX_BATCH_MS = 50;

/** Reference to an actor, through which messages are sent to it. */
export interface Ref<Message> {
  readonly post: (message: Message) => void;
  readonly stop: () => void;
}

/** Argument of an actor's function beside its state and the message. */
export interface Context<Message> {
  readonly self: Ref<Message>;
}

/** Function of an actor that returns the next state after a message. */
export type MessageHandler<State, Message> = (
  state: State,
  message: Message,
  context: Context<Message>,
) => State;

/** Messages that wait for an actor. */
export interface Mailbox<Message> {
  readonly push: (message: Message) => void;
  /** Removes and returns the message that is handled next; undefined if none waits. */
  readonly take: () => Message | undefined;
  readonly size: () => number;
}

/** Creates a mailbox that keeps the order of its messages. */
export function createMailbox<Message>(): Mailbox<Message> {
  const known: { waiting: Message[]; taken: number } = { waiting: [], taken: 0 };
  return {
    push: (message) => {
      known.waiting.push(message);
    },
    take: () => {
      const message = known.waiting[known.taken];
      known.taken += 1;
      // Taken messages are dropped together, because each removal at the front moves all others.
      if (known.taken >= known.waiting.length) {
        known.waiting = [];
        known.taken = 0;
      }
      return message;
    },
    size: () => known.waiting.length - known.taken,
  };
}

/** Options of an actor. */
export interface ActorOptions<State, Message> {
  readonly initialState: State;
  /** Mailbox of the actor; one that keeps the order of messages if absent. */
  readonly mailbox?: Mailbox<Message> | undefined;
  /** Returns the longest time for the batch that begins; undefined for the usual one. */
  readonly maxBatchMs?: (() => number | undefined) | undefined;
}

/**
 * Starts a nact actor that handles the waiting messages in batches. nact itself handles one message
 * in each turn of the event loop, which limited an entry to a third of a request per turn.
 */
export function spawn<State, Message>(
  system: ActorSystemRef,
  handle: MessageHandler<State, Message>,
  name: string | undefined,
  options: ActorOptions<State, Message>,
): Ref<Message> {
  const mailbox = options.mailbox ?? createMailbox<Message>();
  let isScheduled = false;

  const schedule = (actor: nact.Ref<'work'>): void => {
    if (isScheduled) return;
    isScheduled = true;
    nact.dispatch(actor, 'work');
  };

  // If handling a message throws, the state is kept, and the rest of the batch is handled.
  const handleMessage = (state: State, message: Message, self: Ref<Message>): State => {
    try {
      return handle(state, message, { self });
    } catch (error) {
      process.emitWarning(error instanceof Error ? error : String(error));
      return state;
    }
  };

  const refOf = (actor: nact.Ref<'work'>): Ref<Message> => ({
    post: (message) => {
      mailbox.push(message);
      schedule(actor);
    },
    stop: () => nact.stop(actor),
  });

  const handleBatch = (
    state: State,
    _message: 'work',
    context: { readonly self: nact.Ref<'work'> },
  ): State => {
    // Messages that come during the batch wait for the next turn, so that the event loop goes on.
    const waiting = mailbox.size();
    isScheduled = false;
    const self = refOf(context.self);
    const endMs = performance.now() + (options.maxBatchMs?.() ?? MAX_BATCH_MS);
    let current = state;
    // Ends with the first message after which the time is up.
    Array.from({ length: waiting }).some(() => {
      const message = mailbox.take();
      if (message !== undefined) current = handleMessage(current, message, self);
      return performance.now() >= endMs;
    });
    if (mailbox.size() > 0) schedule(context.self);
    return current;
  };

  return refOf(nact.spawn(system, handleBatch, name, options));
}

/** Sends a message to an actor. */
export function dispatch<Message>(target: Ref<Message>, message: Message): void {
  target.post(message);
}
