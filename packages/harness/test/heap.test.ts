import { expect } from 'chai';
import type { Heap } from '@bronzeyoke/harness';
import { pop, push } from '@bronzeyoke/harness';
import fc from 'fast-check';

function drain(heap: Heap<number>, taken: readonly number[] = []): readonly number[] {
  return heap === undefined ? taken : drain(pop(heap), [...taken, heap.first.item]);
}

// Guards against a heap that swaps equal times: a harmless change would alter the run of a seed.
it('heap: takes items by time and, at equal times, in the order of their addition', () => {
  fc.assert(
    fc.property(fc.array(fc.nat({ max: 20 }), { maxLength: 100 }), (times) => {
      const heap = times.reduce<Heap<number>>(
        (current, atMs, sequence) => push(current, { atMs, sequence, item: sequence }),
        undefined,
      );
      const expected = times
        .map((atMs, sequence) => ({ atMs, sequence }))
        .toSorted((one, other) => one.atMs - other.atMs || one.sequence - other.sequence)
        .map(({ sequence }) => sequence);
      expect(drain(heap)).to.deep.equal(expected);
    }),
    { seed: 7, numRuns: 100 },
  );
});
