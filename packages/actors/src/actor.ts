import * as nact from 'nact';
import type { ActorSystemRef } from 'nact';

/** Most messages that an actor handles in one turn of the event loop, so that sockets get their turn. */
const MAX_BATCH_MESSAGES = 512;

/** Where messages for an actor go. */
export interface Ref<Message> {
  readonly post: (message: Message) => void;
  readonly stop: () => void;
}

/** What an actor's function gets beside its state and the message. */
export interface Context<Message> {
  readonly self: Ref<Message>;
}

/** An actor's function: the next state after a message. */
export type MessageHandler<State, Message> = (
  state: State,
  message: Message,
  context: Context<Message>,
) => State;

/**
 * Starts a nact actor that takes all waiting messages at once. nact handles one message in each turn
 * of the event loop, which limited an entry to a third of a request per turn.
 */
export function spawn<State, Message>(
  system: ActorSystemRef,
  handle: MessageHandler<State, Message>,
  name: string | undefined,
  options: { readonly initialState: State },
): Ref<Message> {
  let waiting: Message[] = [];
  let isScheduled = false;

  const schedule = (actor: nact.Ref<'work'>): void => {
    if (isScheduled) return;
    isScheduled = true;
    nact.dispatch(actor, 'work');
  };

  // A message whose handling throws changes nothing; the others of its batch are handled.
  const handleOne = (state: State, message: Message, self: Ref<Message>): State => {
    try {
      return handle(state, message, { self });
    } catch (error) {
      process.emitWarning(error instanceof Error ? error : String(error));
      return state;
    }
  };

  const refOf = (actor: nact.Ref<'work'>): Ref<Message> => ({
    post: (message) => {
      waiting.push(message);
      schedule(actor);
    },
    stop: () => nact.stop(actor),
  });

  const handleBatch = (
    state: State,
    _message: 'work',
    context: { readonly self: nact.Ref<'work'> },
  ): State => {
    const batch = waiting.slice(0, MAX_BATCH_MESSAGES);
    waiting = waiting.slice(MAX_BATCH_MESSAGES);
    isScheduled = false;
    if (waiting.length > 0) schedule(context.self);
    const self = refOf(context.self);
    return batch.reduce((current, message) => handleOne(current, message, self), state);
  };

  return refOf(nact.spawn(system, handleBatch, name, options));
}

/** Puts a message into an actor's mailbox. */
export function dispatch<Message>(target: Ref<Message>, message: Message): void {
  target.post(message);
}
