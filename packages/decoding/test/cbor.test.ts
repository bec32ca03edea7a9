import { Encoder } from 'cbor-x';
import { expect } from 'chai';
import fc from 'fast-check';
import { decodeCbor, MAX_DEPTH } from '@bronzeyoke/decoding';

const SEED = 20_261_207;
const MB = 1_048_576;

/** Largest message between processes. */
const FRAME_BYTES = 1_310_720;

const encoder = new Encoder({ useRecords: false, variableMapSize: true });

function kindOf(bytes: Buffer, maxCostBytes?: number): string {
  const decoded = decodeCbor(bytes, maxCostBytes);
  return decoded.ok ? 'decoded' : decoded.failure.kind;
}

/** Returns a list of as many equal items as a message holds. */
function listOf(item: Buffer): Buffer {
  const count = Math.floor((FRAME_BYTES - 5) / item.length);
  const head = Buffer.from([0x9a, 0, 0, 0, 0]);
  head.writeUInt32BE(count, 1);
  return Buffer.concat([head, ...Array.from({ length: count }, () => item)]);
}

function member(name: string): Buffer {
  return Buffer.concat([Buffer.from([0xa1]), encoder.encode(name), Buffer.from([0])]);
}

// Guards against messages of our own that are refused, or decoded otherwise than they were sent.
it('cbor: what the encoder writes is decoded unchanged', () => {
  const value = fc.anything({
    withNullPrototype: false,
    withBigInt: false,
    withDate: false,
    maxDepth: 6,
    key: fc.string().filter((name) => name !== '__proto__'),
  });
  fc.assert(
    fc.property(value, (sent) => {
      const bytes = encoder.encode(sent);
      const decoded = decodeCbor(bytes);
      expect(decoded).to.deep.equal({ ok: true, value: encoder.decode(bytes) });
    }),
    { seed: SEED },
  );
  const body = decodeCbor(encoder.encode({ body: new Uint8Array([1, 2]), text: 'ä'.repeat(300) }));
  expect(body).to.deep.equal({
    ok: true,
    value: { body: new Uint8Array([1, 2]), text: 'ä'.repeat(300) },
  });
});

const DENSE: Readonly<Record<string, Buffer>> = {
  'empty maps': Buffer.from([0xa0]),
  'empty lists': Buffer.from([0x80]),
  'empty byte strings': Buffer.from([0x40]),
  'byte arrays': Buffer.from([0xd8, 0x40, 0x40]),
  // V8 reserved 12 KB for each, and one message took 2.3 GB.
  'numbered members': member('1023'),
  'numbered members of two digits': member('99'),
};

Object.entries(DENSE).forEach(([name, item]) =>
  // Guards against a message within the limit of bytes that exhausts the heap.
  it(`cbor: a message of ${name} is refused before it is decoded`, () => {
    expect(kindOf(listOf(item), 56 * MB)).to.equal('tooCostly');
  }),
);

// Guards against a decoder that allocates what a head announces, and reads it later or never.
it('cbor: announced items that are not there are unreadable', () => {
  [
    [0x9a, 0x06, 0, 0, 0],
    [0xba, 0x06, 0, 0, 0],
    [0x5a, 0xff, 0xff, 0xff, 0xff],
    [0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
    [0x82, 0],
    [0x19, 0],
    [],
  ].forEach((bytes) => expect(kindOf(Buffer.from(bytes)), String(bytes)).to.equal('unreadable'));
});

// Guards against big numbers, whose decoding takes a time that grows with the square of their length, and
// against what the measure and the decoder could read differently.
it('cbor: what the encoder does not write is not supported', () => {
  const bigNumber = Buffer.concat([Buffer.from([0xc2, 0x5a, 0, 1, 0, 0]), Buffer.alloc(65_536, 1)]);
  [
    bigNumber,
    Buffer.from([0xd8, 0x40, 0x80]),
    Buffer.from([0x9f, 0, 0xff]),
    Buffer.from([0x7f, 0x61, 0x61, 0xff]),
    Buffer.from([0xa1, 0x7f, 0x61, 0x61, 0xff, 0]),
    Buffer.from([0xa1, 0, 0]),
    Buffer.from([0xf8, 0xff]),
    Buffer.from([0xe0]),
  ].forEach((bytes) => expect(kindOf(bytes), bytes.toString('hex')).to.equal('unsupported'));
});

it('cbor: the deepest nesting is decoded, a deeper one refused', () => {
  const nested = (depth: number) => Buffer.from([...Array<number>(depth - 1).fill(0x81), 0x80]);
  expect(kindOf(nested(MAX_DEPTH))).to.equal('decoded');
  expect(kindOf(nested(MAX_DEPTH + 1))).to.equal('tooDeep');
});

// Guards against an exception for bytes of a stranger.
it('cbor: no bytes make the decoder throw', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      decodeCbor(bytes);
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});
