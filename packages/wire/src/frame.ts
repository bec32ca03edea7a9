import { Encoder } from 'cbor-x';
import { List } from 'immutable';
import { checkValue, decodeCbor, describeDecodeFault } from '@bronzeyoke/decoding';
import type { Result } from '@bronzeyoke/types';
import { fail, succeed } from '@bronzeyoke/types';
import type { z } from 'zod';
import type { AgentMessage, EntryMessage } from './message';
import { agentMessageSchema, entryMessageSchema } from './schema';

/** Largest body of a request or an answer. */
export const MAX_BODY_BYTES = 1_048_576;

/** Largest frame: a body plus space for headers and other fields. */
export const MAX_FRAME_BYTES = MAX_BODY_BYTES + 262_144;

const LENGTH_BYTES = 4;

/** Longest name of an unknown kind that is reported. */
const MAX_KIND_CHARS = 64;

// With records or shared structures, decoding a frame would depend on earlier frames of its connection.
const encoder = new Encoder({ useRecords: false, variableMapSize: true });

/** Message of any protocol between processes, tagged with its kind. */
export interface TaggedMessage {
  readonly kind: string;
}

/** Encodes a message as a frame: the length of the payload, followed by the payload. */
export function encodeFrame<Message extends TaggedMessage>(message: Message): Buffer {
  const payload = encoder.encode(message);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Decoded payload. Messages of kinds that a later minor version has added are skipped. */
export type DecodedPayload<Message> =
  | { readonly kind: 'message'; readonly message: Message }
  | { readonly kind: 'skipped'; readonly messageKind: string };

/** Decodes a payload against the schema of its protocol. */
export function decodePayload<Message>(
  payload: Uint8Array,
  schema: z.ZodType,
  kinds: ReadonlySet<string>,
): Result<DecodedPayload<Message>> {
  const decoded = decodeCbor(payload);
  if (!decoded.ok) {
    return fail({ kind: 'malformedFrame', problem: describeDecodeFault(decoded.failure) });
  }
  const raw = decoded.value;
  const messageKind =
    typeof raw === 'object' && raw !== null && 'kind' in raw ? raw.kind : undefined;
  if (typeof messageKind !== 'string') return fail({ kind: 'malformedFrame', problem: 'no kind' });
  if (!kinds.has(messageKind)) {
    return succeed({ kind: 'skipped', messageKind: messageKind.slice(0, MAX_KIND_CHARS) });
  }
  const checked = checkValue(schema, raw);
  if (!checked.ok) {
    const problem = `${messageKind}: ${describeDecodeFault(checked.failure)}`;
    return fail({ kind: 'malformedFrame', problem });
  }
  return succeed({ kind: 'message', message: checked.value as Message });
}

const agentKinds = new Set(agentMessageSchema.options.map((option) => option.shape.kind.value));
const entryKinds = new Set(entryMessageSchema.options.map((option) => option.shape.kind.value));

/** Decodes a payload from an agent. */
export function decodeAgentMessage(payload: Uint8Array): Result<DecodedPayload<AgentMessage>> {
  return decodePayload<AgentMessage>(payload, agentMessageSchema, agentKinds);
}

/** Decodes a payload from an entry. */
export function decodeEntryMessage(payload: Uint8Array): Result<DecodedPayload<EntryMessage>> {
  return decodePayload<EntryMessage>(payload, entryMessageSchema, entryKinds);
}

/** Bytes received of an incomplete frame. */
export interface FrameBuffer {
  readonly chunks: List<Buffer>;
  readonly lengthBytes: number;
}

/** Buffer without bytes. */
export const EMPTY_FRAME_BUFFER: FrameBuffer = { chunks: List(), lengthBytes: 0 };

/** Payloads that a chunk has completed, and the bytes of the next frame. */
export interface SplitFrames {
  readonly payloads: readonly Buffer[];
  readonly rest: FrameBuffer;
}

/** Splits a byte stream into payloads. Fails at a length over the limit, since the rest is unusable. */
export function splitFrames(buffered: FrameBuffer, chunk: Buffer): Result<SplitFrames> {
  const lengthBytes = buffered.lengthBytes + chunk.length;
  const first = buffered.chunks.first() ?? chunk;
  // Once its length is known, a frame is joined only when it is complete, so that a large frame in small
  // chunks takes linear time.
  if (first.length >= LENGTH_BYTES) {
    const sizeBytes = first.readUInt32BE(0);
    if (sizeBytes > MAX_FRAME_BYTES) return fail({ kind: 'tooLarge', limitBytes: MAX_FRAME_BYTES });
    if (lengthBytes < LENGTH_BYTES + sizeBytes) {
      return succeed({ payloads: [], rest: { chunks: buffered.chunks.push(chunk), lengthBytes } });
    }
  }
  const joined = buffered.chunks.isEmpty() ? chunk : Buffer.concat([...buffered.chunks, chunk]);
  const payloads: Buffer[] = [];
  let offset = 0;
  while (joined.length - offset >= LENGTH_BYTES) {
    const sizeBytes = joined.readUInt32BE(offset);
    if (sizeBytes > MAX_FRAME_BYTES) return fail({ kind: 'tooLarge', limitBytes: MAX_FRAME_BYTES });
    const end = offset + LENGTH_BYTES + sizeBytes;
    if (end > joined.length) break;
    payloads.push(joined.subarray(offset + LENGTH_BYTES, end));
    offset = end;
  }
  const rest = joined.subarray(offset);
  return succeed({
    payloads,
    rest:
      rest.length === 0 ? EMPTY_FRAME_BUFFER : { chunks: List([rest]), lengthBytes: rest.length },
  });
}
