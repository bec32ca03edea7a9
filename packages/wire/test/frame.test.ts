import { Encoder } from 'cbor-x';
import { expect } from 'chai';
import fc from 'fast-check';
import type { Failure } from '@bronzeyoke/types';
import type { AgentMessage, EntryMessage, FrameBuffer } from '@bronzeyoke/wire';
import {
  EMPTY_FRAME_BUFFER,
  MAX_FRAME_BYTES,
  decodeAgentMessage,
  decodeEntryMessage,
  encodeFrame,
  splitFrames,
} from '@bronzeyoke/wire';

const SEED = 20_261_204;
const LENGTH_BYTES = 4;
const codec = new Encoder({ useRecords: false });

const answer: AgentMessage = {
  kind: 'answer',
  requestId: 'r1',
  attemptId: 'r1.1',
  status: 200,
  headers: { 'content-type': 'application/json' },
  body: Buffer.from('{"rate":1}'),
  slotsInUse: 3,
};

const ping: EntryMessage = { kind: 'ping', sequence: 7 };

function splitAll(chunks: readonly Buffer[]): readonly Buffer[] {
  return chunks.reduce<{ readonly rest: FrameBuffer; readonly payloads: readonly Buffer[] }>(
    ({ rest, payloads }, chunk) => {
      const split = splitFrames(rest, chunk);
      if (!split.ok) throw new Error(split.failure.kind);
      return { rest: split.value.rest, payloads: [...payloads, ...split.value.payloads] };
    },
    { rest: EMPTY_FRAME_BUFFER, payloads: [] },
  ).payloads;
}

function failureOf(payload: Uint8Array): Failure['kind'] | undefined {
  const result = decodeAgentMessage(payload);
  return result.ok ? undefined : result.failure.kind;
}

it('frame: a message is decoded unchanged from chunks of any size', () => {
  const stream = Buffer.concat([encodeFrame(answer), encodeFrame(answer)]);
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 40 }), (sizes) => {
      const cuts = sizes.reduce<readonly number[]>(
        (offsets, size) => [...offsets, Math.min(stream.length, (offsets.at(-1) ?? 0) + size)],
        [0],
      );
      const chunks = [...cuts, stream.length].map((end, index) =>
        stream.subarray(index === 0 ? 0 : cuts[index - 1], end),
      );
      const messages = splitAll(chunks).map(decodeAgentMessage);
      expect(messages).to.have.length(2);
      messages.forEach((message) =>
        expect(message).to.deep.equal({ ok: true, value: { kind: 'message', message: answer } }),
      );
    }),
    { seed: SEED, numRuns: 200 },
  );
});

// Guards against quadratic time or memory for a peer that sends single bytes.
it('frame: a large frame in many small chunks is joined once', () => {
  const large = encodeFrame({ ...answer, body: Buffer.alloc(100_000, 1) });
  const chunks = Array.from({ length: large.length }, (_, index) =>
    large.subarray(index, index + 1),
  );
  expect(splitAll(chunks)).to.have.length(1);
});

it('frame: a length over the limit is refused without buffering the payload', () => {
  const head = Buffer.alloc(LENGTH_BYTES);
  head.writeUInt32BE(MAX_FRAME_BYTES + 1);
  const result = splitFrames(EMPTY_FRAME_BUFFER, head);
  expect(result).to.deep.equal({
    ok: false,
    failure: { kind: 'tooLarge', limitBytes: MAX_FRAME_BYTES },
  });
});

it('frame: random bytes give a typed failure, never an exception', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      expect(failureOf(bytes)).to.equal('malformedFrame');
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

it('frame: deep nesting is refused', () => {
  const deep = Buffer.alloc(500_000, 0x81);
  expect(failureOf(deep)).to.equal('malformedFrame');
});

it('frame: negative, NaN and huge numbers are refused', () => {
  [-1, Number.NaN, Number.POSITIVE_INFINITY, 1e300, 1.5].forEach((slotsInUse) => {
    expect(failureOf(codec.encode({ ...answer, slotsInUse }))).to.equal('malformedFrame');
  });
});

it('frame: an unknown kind is skipped, for compatibility with newer peers', () => {
  expect(decodeEntryMessage(codec.encode({ kind: 'later', value: 1 }))).to.deep.equal({
    ok: true,
    value: { kind: 'skipped', messageKind: 'later' },
  });
});

it('frame: an unknown field is ignored', () => {
  expect(decodeEntryMessage(codec.encode({ ...ping, extra: 1 }))).to.deep.equal({
    ok: true,
    value: { kind: 'message', message: ping },
  });
});
