import { expect } from 'chai';
import { memoize } from '@bronzeyoke/types';

// Guards against a look at the whole fleet that is repeated for each task of a stage.
it('memoize: a value is computed once for each key, also if it is undefined', () => {
  const computed: string[] = [];
  const firstLetter = memoize(
    (word: string) => word.charAt(0),
    (word) => {
      computed.push(word);
      return word === 'absent' ? undefined : word.charAt(0);
    },
  );
  expect(['bus', 'absent', 'bird', 'apple'].map(firstLetter)).to.deep.equal([
    'b',
    undefined,
    'b',
    undefined,
  ]);
  expect(computed).to.deep.equal(['bus', 'absent']);
});
