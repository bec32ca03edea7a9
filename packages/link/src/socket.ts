import type { Socket } from 'node:net';
import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, spawn } from '@bronzeyoke/actors';
import type { Failure } from '@bronzeyoke/types';
import type { FrameBuffer, LinkCodec, TaggedMessage } from '@bronzeyoke/wire';
import { EMPTY_FRAME_BUFFER, splitFrames } from '@bronzeyoke/wire';
import type { LinkGuard } from './guard';

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

/** Options of a link: its socket, the codec of a new connection and the receiver of events. */
export interface LinkOptions<Message extends TaggedMessage> {
  readonly linkId: string;
  readonly socket: Socket;
  readonly codec: LinkCodec<Message>;
  readonly report: (event: LinkEvent<Message>) => void;
  /** Limits accepted connections; a dialled one, whose peer is chosen, has none. */
  readonly guard?: LinkGuard;
}

interface LinkState<Message> {
  readonly codec: LinkCodec<Message>;
  readonly receiveBuffer: FrameBuffer;
  readonly isOpen: boolean;
  /** Whether the peer has sent a valid message. */
  readonly isProven: boolean;
}

/** Starts an actor that owns a socket, encodes outgoing messages and validates incoming ones. */
export function spawnLink<Message extends TaggedMessage>(
  system: ActorSystemRef,
  options: LinkOptions<Message>,
): Ref<LinkCommand> {
  const { linkId, socket, report, guard } = options;
  type State = LinkState<Message>;

  const closeLink = (state: State, self: Ref<LinkMessage>, failure?: Failure): State => {
    if (!state.isOpen) return state;
    socket.destroy();
    guard?.closed(linkId);
    report({ kind: 'closed', linkId, ...(failure === undefined ? {} : { failure }) });
    self.stop();
    return { ...state, isOpen: false };
  };

  const receiveMessage = (state: State, payload: Buffer, self: Ref<LinkMessage>): State => {
    if (!state.isOpen) return state;
    const result = state.codec.decode(payload);
    if (!result.ok) return closeLink(state, self, result.failure);
    const { decoded, next } = result.value;
    if (decoded.kind === 'skipped') {
      report({ kind: 'skipped', linkId, messageKind: decoded.messageKind });
    } else {
      report({ kind: 'received', linkId, message: decoded.message });
    }
    if (!state.isProven) guard?.proven(linkId);
    return { ...state, codec: next, isProven: true };
  };

  const receive = (state: State, chunk: Buffer, self: Ref<LinkMessage>): State => {
    const split = splitFrames(state.receiveBuffer, chunk);
    if (!split.ok) return closeLink(state, self, split.failure);
    const { payloads, rest } = split.value;
    const received = payloads.reduce((current, payload) => receiveMessage(current, payload, self), {
      ...state,
      receiveBuffer: rest,
    });
    if (!received.isProven) guard?.buffered(linkId, rest.lengthBytes, rest.chunks.size);
    return received;
  };

  // Messages of one turn of the event loop are written in one system call.
  const write = (state: State, message: TaggedMessage): State => {
    if (socket.writableCorked === 0) {
      socket.cork();
      process.nextTick(() => socket.uncork());
    }
    const { frame, next } = state.codec.encode(message);
    socket.write(frame);
    return { ...state, codec: next };
  };

  const handle = (
    state: State,
    message: LinkMessage,
    context: { readonly self: Ref<LinkMessage> },
  ): State => {
    if (!state.isOpen) return state;
    switch (message.kind) {
      case 'send': {
        const written = write(state, message.message);
        return socket.writableLength > MAX_UNSENT_BYTES
          ? closeLink(written, context.self, { kind: 'unreachable', what: linkId })
          : written;
      }
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
    initialState: {
      codec: options.codec,
      receiveBuffer: EMPTY_FRAME_BUFFER,
      isOpen: true,
      isProven: false,
    },
  });
  socket.setNoDelay(true);
  socket.on('data', (chunk: Buffer) => dispatch(actor, { kind: 'bytes', chunk }));
  socket.on('error', () =>
    dispatch(actor, { kind: 'ended', failure: { kind: 'unreachable', what: linkId } }),
  );
  socket.on('close', () => dispatch(actor, { kind: 'ended' }));
  guard?.opened(linkId, () => socket.destroy());
  report({ kind: 'opened', linkId });
  return actor;
}
