import * as nact from 'nact';
import type { ActorSystemRef } from 'nact';

/** Largest number of messages per turn of the event loop, so that sockets are served in between. */
const MAX_BATCH_MESSAGES = 512;

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

/**
 * Starts a nact actor that handles all waiting messages in one batch. nact itself handles one message
 * in each turn of the event loop, which limited an entry to a third of a request per turn.
 */
export function spawn<State, Message>(
  system: ActorSystemRef,
  handle: MessageHandler<State, Message>,
  name: string | undefined,
  options: { readonly initialState: State },
): Ref<Message> {
  let mailbox: Message[] = [];
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
    const batch = mailbox.slice(0, MAX_BATCH_MESSAGES);
    mailbox = mailbox.slice(MAX_BATCH_MESSAGES);
    isScheduled = false;
    if (mailbox.length > 0) schedule(context.self);
    const self = refOf(context.self);
    return batch.reduce((current, message) => handleMessage(current, message, self), state);
  };

  return refOf(nact.spawn(system, handleBatch, name, options));
}

/** Sends a message to an actor. */
export function dispatch<Message>(target: Ref<Message>, message: Message): void {
  target.post(message);
}
