import type { Socket } from 'node:net';
import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, spawn } from '@bronzeyoke/actors';
import type { Failure, Result } from '@bronzeyoke/types';
import type { FrameBuffer, DecodedPayload, TaggedMessage } from '@bronzeyoke/wire';
import { EMPTY_FRAME_BUFFER, encodeFrame, splitFrames } from '@bronzeyoke/wire';

/** Unsent bytes above which a peer that does not read is disconnected. */
const MAX_UNSENT_BYTES = 16 * 1_048_576;

/** Events that a link reports to its owner. */
export type LinkEvent<Message> =
  | { readonly kind: 'opened'; readonly linkId: string }
  | { readonly kind: 'received'; readonly linkId: string; readonly message: Message }
  | { readonly kind: 'skipped'; readonly linkId: string; readonly messageKind: string }
  | { readonly kind: 'closed'; readonly linkId: string; readonly failure?: Failure };

/** Commands to a link from its owner. */
export type LinkCommand =
  { readonly kind: 'send'; readonly message: TaggedMessage } | { readonly kind: 'close' };

type LinkMessage =
  | LinkCommand
  | { readonly kind: 'bytes'; readonly chunk: Buffer }
  | { readonly kind: 'ended'; readonly failure?: Failure };

/** Options of a link: its socket, the decoder of received payloads and the receiver of events. */
export interface LinkOptions<Message extends TaggedMessage> {
  readonly linkId: string;
  readonly socket: Socket;
  readonly decode: (payload: Uint8Array) => Result<DecodedPayload<Message>>;
  readonly report: (event: LinkEvent<Message>) => void;
}

interface LinkState {
  readonly receiveBuffer: FrameBuffer;
  readonly isOpen: boolean;
}

/** Starts an actor that owns a socket, encodes outgoing messages and validates incoming ones. */
export function spawnLink<Message extends TaggedMessage>(
  system: ActorSystemRef,
  options: LinkOptions<Message>,
): Ref<LinkCommand> {
  const { linkId, socket, decode, report } = options;

  const closeLink = (state: LinkState, self: Ref<LinkMessage>, failure?: Failure): LinkState => {
    if (!state.isOpen) return state;
    socket.destroy();
    report({ kind: 'closed', linkId, ...(failure === undefined ? {} : { failure }) });
    self.stop();
    return { ...state, isOpen: false };
  };

  const receive = (state: LinkState, chunk: Buffer, self: Ref<LinkMessage>): LinkState => {
    const split = splitFrames(state.receiveBuffer, chunk);
    if (!split.ok) return closeLink(state, self, split.failure);
    const decoded = split.value.payloads.map(decode);
    const firstInvalid = decoded.findIndex((result) => !result.ok);
    const valid = firstInvalid === -1 ? decoded : decoded.slice(0, firstInvalid);
    valid.forEach((result) => {
      if (!result.ok) return;
      if (result.value.kind === 'skipped') {
        report({ kind: 'skipped', linkId, messageKind: result.value.messageKind });
      } else {
        report({ kind: 'received', linkId, message: result.value.message });
      }
    });
    const invalid = decoded[firstInvalid];
    if (invalid !== undefined && !invalid.ok) return closeLink(state, self, invalid.failure);
    return { ...state, receiveBuffer: split.value.rest };
  };

  // Messages of one turn of the event loop are written in one system call.
  const write = (message: TaggedMessage): void => {
    if (socket.writableCorked === 0) {
      socket.cork();
      process.nextTick(() => socket.uncork());
    }
    socket.write(encodeFrame(message));
  };

  const handle = (
    state: LinkState,
    message: LinkMessage,
    context: { readonly self: Ref<LinkMessage> },
  ): LinkState => {
    if (!state.isOpen) return state;
    switch (message.kind) {
      case 'send':
        write(message.message);
        return socket.writableLength > MAX_UNSENT_BYTES
          ? closeLink(state, context.self, { kind: 'unreachable', what: linkId })
          : state;
      case 'bytes':
        return receive(state, message.chunk, context.self);
      case 'ended':
        return closeLink(state, context.self, message.failure);
      case 'close':
        socket.end();
        return closeLink(state, context.self);
    }
  };

  const actor: Ref<LinkMessage> = spawn(system, handle, undefined, {
    initialState: { receiveBuffer: EMPTY_FRAME_BUFFER, isOpen: true },
  });
  socket.setNoDelay(true);
  socket.on('data', (chunk: Buffer) => dispatch(actor, { kind: 'bytes', chunk }));
  socket.on('error', () =>
    dispatch(actor, { kind: 'ended', failure: { kind: 'unreachable', what: linkId } }),
  );
  socket.on('close', () => dispatch(actor, { kind: 'ended' }));
  report({ kind: 'opened', linkId });
  return actor;
}
