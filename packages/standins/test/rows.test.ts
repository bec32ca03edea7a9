import { expect } from 'chai';
import fc from 'fast-check';
import type { Transaction } from '@bronzeyoke/ports';
import type { TableState } from '@bronzeyoke/standins';
import { EMPTY_TABLE, commitRows, readRows, scanRows } from '@bronzeyoke/standins';

const keys = ['a/1', 'a/2', 'b/1'] as const;
const transactions = fc.record<Transaction>({
  conditions: fc.array(fc.record({ key: fc.constantFrom(...keys), version: fc.nat(4) }), {
    maxLength: 2,
  }),
  writes: fc.uniqueArray(
    fc.oneof(
      fc.record({
        kind: fc.constant('put' as const),
        key: fc.constantFrom(...keys),
        value: fc.nat(),
      }),
      fc.record({ kind: fc.constant('delete' as const), key: fc.constantFrom(...keys) }),
    ),
    { maxLength: 3, selector: (write) => write.key },
  ),
});

// If a deleted row reused its versions, a condition of a fenced writer could hold again.
it('rows: a version names one value of a row for ever', () => {
  fc.assert(
    fc.property(fc.array(transactions, { maxLength: 30 }), (list) => {
      const seen = new Map<string, unknown>();
      list.reduce((state: TableState, transaction) => {
        const next = commitRows(state, transaction).state;
        readRows(next, keys).forEach((row) => {
          const name = `${row.key}@${row.version}`;
          if (seen.has(name)) expect(seen.get(name)).to.equal(row.value);
          seen.set(name, row.value);
        });
        return next;
      }, EMPTY_TABLE);
    }),
    { seed: 11, numRuns: 300 },
  );
});

it('rows: a conflict writes nothing', () => {
  const first = commitRows(EMPTY_TABLE, {
    conditions: [{ key: 'a/1', version: 0 }],
    writes: [{ kind: 'put', key: 'a/1', value: 1 }],
  });
  const second = commitRows(first.state, {
    conditions: [{ key: 'a/1', version: 0 }],
    writes: [{ kind: 'put', key: 'b/1', value: 2 }],
  });
  expect(second.result.kind).to.equal('conflict');
  expect(second.state).to.equal(first.state);
});

it('rows: a scan goes on after a key', () => {
  const { state } = commitRows(EMPTY_TABLE, {
    conditions: [],
    writes: ['a/2', 'a/1', 'a/3', 'ab/1'].map((key) => ({ kind: 'put', key, value: key })),
  });
  expect(scanRows(state, 'a/', 'a/1', 1).map((row) => row.key)).to.deep.equal(['a/2']);
  expect(scanRows(state, 'a/', 'a/3', 9)).to.deep.equal([]);
});
