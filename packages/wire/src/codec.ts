import type { Result } from '@bronzeyoke/types';
import { succeed } from '@bronzeyoke/types';
import type { DecodedPayload, TaggedMessage } from './frame';
import { encodeFrame } from './frame';

/** An encoded message, and the codec for the next one. */
export interface EncodedMessage<Message> {
  readonly frame: Buffer;
  readonly next: LinkCodec<Message>;
}

/** A decoded payload, and the codec for the next one. */
export interface DecodedMessage<Message> {
  readonly decoded: DecodedPayload<Message>;
  readonly next: LinkCodec<Message>;
}

/**
 * Encoding of the messages of one connection. Later messages may refer to earlier ones, so every
 * message has to pass, in order, and each connection starts with a new codec.
 */
export interface LinkCodec<Message> {
  readonly encode: (message: TaggedMessage) => EncodedMessage<Message>;
  readonly decode: (payload: Uint8Array) => Result<DecodedMessage<Message>>;
}

/** Returns a codec whose messages do not refer to each other. */
export function plainCodec<Message extends TaggedMessage>(
  decode: (payload: Uint8Array) => Result<DecodedPayload<Message>>,
): LinkCodec<Message> {
  const codec: LinkCodec<Message> = {
    encode: (message) => ({ frame: encodeFrame(message), next: codec }),
    decode: (payload) => {
      const result = decode(payload);
      return result.ok ? succeed({ decoded: result.value, next: codec }) : result;
    },
  };
  return codec;
}
