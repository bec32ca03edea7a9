import { Encoder } from 'cbor-x';
import { List } from 'immutable';
import type { Result } from '@bronzeyoke/types';
import { fail, succeed } from '@bronzeyoke/types';
import type { z } from 'zod';
import type { AgentMessage, EntryMessage } from './message';
import { agentMessageSchema, entryMessageSchema } from './schema';

/** Largest body of a request or an answer. */
export const MAX_BODY_BYTES = 1_048_576;

/** Largest frame: a body, and room for headers and fields. */
export const MAX_FRAME_BYTES = MAX_BODY_BYTES + 262_144;

const LENGTH_BYTES = 4;

// Records and shared structures would tie frames to the state of one connection.
const codec = new Encoder({ useRecords: false, mapsAsObjects: true, variableMapSize: true });

/** A message of any protocol between processes. */
export interface TaggedMessage {
  readonly kind: string;
}

/** Encodes a message with its length in front. */
export function encodeFrame<Message extends TaggedMessage>(message: Message): Buffer {
  const payload = codec.encode(message);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, LENGTH_BYTES);
  return frame;
}

/** What came out of a received payload. Kinds added by a later minor version are skipped. */
export type DecodedPayload<Message> =
  | { readonly kind: 'message'; readonly message: Message }
  | { readonly kind: 'skipped'; readonly messageKind: string };

/** Decodes a payload against the schema of its protocol. */
export function decodePayload<Message>(
  payload: Uint8Array,
  schema: z.ZodType,
  kinds: ReadonlySet<string>,
): Result<DecodedPayload<Message>> {
  let raw: unknown;
  try {
    raw = codec.decode(payload);
  } catch (error) {
    return fail({
      kind: 'malformedFrame',
      problem: error instanceof Error ? error.message : 'undecodable',
    });
  }
  const messageKind =
    typeof raw === 'object' && raw !== null && 'kind' in raw ? raw.kind : undefined;
  if (typeof messageKind !== 'string') return fail({ kind: 'malformedFrame', problem: 'no kind' });
  if (!kinds.has(messageKind)) return succeed({ kind: 'skipped', messageKind });
  const parsed = schema.safeParse(raw);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return fail({
      kind: 'malformedFrame',
      problem: `${messageKind}: ${issue?.path.join('.') ?? ''}`,
    });
  }
  return succeed({ kind: 'message', message: parsed.data as Message });
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

/** Bytes of an unfinished frame. */
export interface FrameBuffer {
  readonly chunks: List<Buffer>;
  readonly lengthBytes: number;
}

/** No bytes received yet. */
export const EMPTY_FRAME_BUFFER: FrameBuffer = { chunks: List(), lengthBytes: 0 };

/** Payloads that a chunk completed, and what is left over. */
export interface SplitFrames {
  readonly payloads: readonly Buffer[];
  readonly rest: FrameBuffer;
}

/** Splits a byte stream into payloads. A length over the limit is a failure: the stream is lost. */
export function splitFrames(buffered: FrameBuffer, chunk: Buffer): Result<SplitFrames> {
  const lengthBytes = buffered.lengthBytes + chunk.length;
  const first = buffered.chunks.first() ?? chunk;
  // Joining only when the head is complete keeps a large frame in small chunks linear.
  if (first.length >= LENGTH_BYTES) {
    const wanted = first.readUInt32BE(0);
    if (wanted > MAX_FRAME_BYTES) return fail({ kind: 'tooLarge', limitBytes: MAX_FRAME_BYTES });
    if (lengthBytes < LENGTH_BYTES + wanted) {
      return succeed({ payloads: [], rest: { chunks: buffered.chunks.push(chunk), lengthBytes } });
    }
  }
  const joined = buffered.chunks.isEmpty() ? chunk : Buffer.concat([...buffered.chunks, chunk]);
  const payloads: Buffer[] = [];
  let offset = 0;
  while (joined.length - offset >= LENGTH_BYTES) {
    const wanted = joined.readUInt32BE(offset);
    if (wanted > MAX_FRAME_BYTES) return fail({ kind: 'tooLarge', limitBytes: MAX_FRAME_BYTES });
    const end = offset + LENGTH_BYTES + wanted;
    if (end > joined.length) break;
    payloads.push(joined.subarray(offset + LENGTH_BYTES, end));
    offset = end;
  }
  const left = joined.subarray(offset);
  return succeed({
    payloads,
    rest:
      left.length === 0 ? EMPTY_FRAME_BUFFER : { chunks: List([left]), lengthBytes: left.length },
  });
}
