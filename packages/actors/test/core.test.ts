import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import * as nact from 'nact';
import { dispatch, spawnCore } from '@bronzeyoke/actors';

// Guards against a core that forgets what it has decided because one of its effects cannot be performed.
it('core: an effect that throws leaves the state and the other effects', async () => {
  const performed: number[] = [];
  const errors: unknown[] = [];
  const core = spawnCore<number, number, number>(nact.start(), {
    name: 'test',
    initial: 0,
    decide: (state, event) => ({ state: state + event, effects: [state + event, -1, 100] }),
    perform: (effect) => {
      if (effect < 0) throw new RangeError('Port should be >= 0 and < 65536');
      performed.push(effect);
    },
    onError: (error) => errors.push(error),
  });
  dispatch(core, 1);
  dispatch(core, 2);
  await sleep(20);
  expect(performed).to.deep.equal([1, 100, 3, 100]);
  expect(errors).to.have.length(2);
});
