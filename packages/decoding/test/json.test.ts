import { expect } from 'chai';
import fc from 'fast-check';
import { DENSE_SHAPES, TEXT_SHAPES } from '@bronzeyoke/harness';
import {
  decodeJson,
  decodeJsonParts,
  describeDecodeFault,
  MAX_DEPTH,
  measureJson,
} from '@bronzeyoke/decoding';

const SEED = 20_261_207;
const MB = 1_048_576;
const NO_LIMIT = Number.MAX_SAFE_INTEGER;

function decode(text: string, maxCostBytes?: number): unknown {
  const decoded = decodeJson(Buffer.from(text), maxCostBytes);
  return decoded.ok ? decoded.value : decoded.failure.kind;
}

function costOf(text: string): number {
  const cost = measureJson(Buffer.from(text), NO_LIMIT);
  return cost.ok ? cost.value : Infinity;
}

// Guards against a document that is refused, or changed, although it costs little.
it('json: documents within the limit are decoded as by the parser', () => {
  fc.assert(
    fc.property(fc.jsonValue({ maxDepth: 8 }), (value) => {
      const text = JSON.stringify(value);
      expect(decode(text)).to.deep.equal(JSON.parse(text));
    }),
    { seed: SEED },
  );
});

// Guards against a cost that a document hides in its texts, or that braces in texts add.
it('json: brackets and quotes in texts cost nothing', () => {
  const plain = costOf(JSON.stringify({ a: 'xxxxxxxxxxxx' }));
  ['[[[{{{,,,:::', '\\"[,[,[,"', '\\\\"},{":[1'].forEach((text) => {
    const json = JSON.stringify({ a: text });
    const textBytes = json.length - JSON.stringify({ a: 'xxxxxxxxxxxx' }).length;
    expect(costOf(json), json).to.equal(plain + textBytes * 5);
  });
});

// Guards against values that cost more memory than was counted: the figures are 64-bit V8's.
it('json: each value of a dense document is counted', () => {
  const perValue = (text: string, count: number) => costOf(text) / count;
  expect(perValue(`[${Array(1_000).fill('{}').join(',')}]`, 1_000)).to.be.above(110);
  expect(perValue(`[${Array(1_000).fill('[0]').join(',')}]`, 1_000)).to.be.above(120);
  expect(perValue(`[${Array(1_000).fill('{"a":0}').join(',')}]`, 1_000)).to.be.above(290);
  expect(perValue(`[${Array(1_000).fill('-0').join(',')}]`, 1_000)).to.be.above(45);
});

Object.entries(DENSE_SHAPES).forEach(([name, shape]) =>
  // Guards against a document whose bytes are within the limit, and whose values exhaust the heap.
  it(`json: 4 MiB of ${name} are refused before they are parsed`, () => {
    expect(decode(shape(4 * MB), 40 * MB)).to.equal('tooCostly');
  }),
);

Object.entries(TEXT_SHAPES).forEach(([name, shape]) =>
  // Guards against a bound on memory that refuses what is only long.
  it(`json: 4 MiB of ${name} are decoded`, () => {
    expect(decode(shape(4 * MB), 24 * MB))
      .to.be.a('string')
      .with.length.above(MB / 2);
  }),
);

// Guards against values that functions which walk them cannot bear.
it('json: the deepest nesting is decoded, a deeper one refused', () => {
  const nested = (depth: number) => `${'['.repeat(depth)}${']'.repeat(depth)}`;
  expect(decode(nested(MAX_DEPTH))).to.be.an('array');
  expect(decode(nested(MAX_DEPTH + 1))).to.equal('tooDeep');
});

// Guards against an exception for bytes of another writer.
it('json: other bytes are unreadable', () => {
  ['', '{', '{"a":', '"', '"\\', 'nul', '[1,]', '\u0000'].forEach((text) =>
    expect(decode(text), text).to.equal('unreadable'),
  );
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      decodeJson(Buffer.from(bytes));
    }),
    { seed: SEED },
  );
});

// Guards against documents that are each within the limit and exhaust the heap together, and against one odd
// document that has its neighbours refused.
it('json: documents that came together share the limit by their bytes', () => {
  const usual = Buffer.from(JSON.stringify({ name: 'x'.repeat(90_000) }));
  const dense = Buffer.from(`[${Array(30_000).fill('{}').join(',')}]`);
  const limitBytes = 20 * (usual.length * 3 + dense.length);
  const kinds = decodeJsonParts([usual, dense, usual, usual], limitBytes).map((part) => part.ok);
  expect(kinds).to.deep.equal([true, false, true, true]);
  expect(decodeJsonParts([Buffer.alloc(0)]).map((part) => part.ok)).to.deep.equal([false]);
});

it('json: faults are described with their limits', () => {
  const tooCostly = decodeJson(Buffer.from('[[]]'), 10);
  expect(tooCostly.ok ? '' : describeDecodeFault(tooCostly.failure)).to.equal(
    'would take more than 10 bytes of memory',
  );
});
