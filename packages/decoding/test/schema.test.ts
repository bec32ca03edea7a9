import { Readable } from 'node:stream';
import { expect } from 'chai';
import { z } from 'zod';
import type { CollectFault } from '@bronzeyoke/decoding';
import {
  acceptValue,
  checkAll,
  checkValue,
  collectBytes,
  listOf,
  recordOf,
} from '@bronzeyoke/decoding';
import type { Result } from '@bronzeyoke/types';

const list = z.object({ names: z.array(z.string()) });
const ownList = z.object({ names: listOf(z.string()) });
const FAULTY = { names: Array.from({ length: 1_000 }, () => ({})) };

function faultCount(value: unknown, partCount: number): number {
  const checked = checkAll(list, value, partCount);
  return checked.ok ? 0 : checked.failure.length;
}

function collect(stream: Readable, limitBytes: number): Promise<Result<Buffer, CollectFault>> {
  return new Promise((resolve) => {
    collectBytes(stream, limitBytes, resolve);
  });
}

// Guards against a check that records a fault for each element: those of 4 MiB took 1.1 GB.
it('schema: a check ends at the first fault', () => {
  const checked: unknown[] = [];
  const counting = z.unknown().refine((value) => checked.push(value) < 0);
  const countOf = (schema: z.ZodType, value: unknown): number => {
    checked.length = 0;
    expect(checkValue(schema, value).ok).to.equal(false);
    expect(acceptValue(schema, value)).to.equal(undefined);
    return checked.length / 2;
  };
  expect(countOf(listOf(counting), [1, 2, 3])).to.equal(1);
  expect(countOf(listOf(z.tuple([z.number(), counting])), Array(9).fill([1, 2]))).to.equal(1);
  expect(countOf(recordOf(counting), { a: 1, b: 2, c: 3 })).to.equal(1);
  expect(countOf(z.array(counting).max(2), [1, 2, 3])).to.equal(0);
});

// Guards against a limit on all faults that is taken from an option which the library does not document.
it('schema: the option that ends a check at the first fault is there', () => {
  const texts = z.array(z.string());
  expect(texts.safeParse([1, 2], { abortEarly: true } as object).error?.issues).to.have.length(1);
});

it('schema: the first fault names its field', () => {
  expect(checkValue(ownList, FAULTY)).to.deep.equal({
    ok: false,
    failure: {
      kind: 'notAccepted',
      field: 'names.0',
      problem: 'Invalid input: expected string, received object',
    },
  });
  const unknown = checkValue(z.strictObject({}), { ['x'.repeat(1_000)]: 1 });
  expect(!unknown.ok && unknown.failure.kind === 'notAccepted' && unknown.failure.field).to.equal(
    'x'.repeat(256),
  );
});

it('schema: an accepted value has the defaults of its schema', () => {
  const row = z.object({ part: z.string().default('') });
  expect(acceptValue(row, {})).to.deep.equal({ part: '' });
  expect(acceptValue(listOf(row), [{}])).to.deep.equal([{ part: '' }]);
  expect(acceptValue(recordOf(row), { a: {} })).to.deep.equal({ a: { part: '' } });
});

// Guards against a person who corrects a file fault by fault, and against faults that exhaust the heap.
it('schema: all faults are listed while their number is bounded', () => {
  expect(faultCount(FAULTY, 1_000)).to.equal(1_000);
  expect(faultCount(FAULTY, 10_000_000)).to.equal(1);
});

// Guards against an answer without end.
it('schema: a stream is collected up to the limit', async () => {
  const chunks = () => Readable.from([Buffer.from('ab'), Buffer.from('cd')]);
  const whole = await collect(chunks(), 4);
  expect(whole.ok && whole.value.toString()).to.equal('abcd');
  expect(await collect(chunks(), 3)).to.deep.equal({
    ok: false,
    failure: { kind: 'tooLong', limitBytes: 3 },
  });
  const broken = new Readable({ read() {} });
  const collected = collect(broken, 4);
  const cause = new Error('reset');
  broken.destroy(cause);
  expect(await collected).to.deep.equal({ ok: false, failure: { kind: 'brokeOff', cause } });
});
