import { expect } from 'chai';
import fc from 'fast-check';
import type { FillShare } from '@bronzeyoke/interference';
import { EMPTY_PAIRS, fillRoom, reducedPaces, sustainablePaces } from '@bronzeyoke/interference';

const heavy: FillShare = { image: 'heavy', share: 0.1 };
const light: FillShare = { image: 'light', share: 0.1 };

const ESTIMATES = EMPTY_PAIRS.set('s|', { mean: 0.3, variance: 0.0001 })
  .set('s|heavy', { mean: 4, variance: 0.01 })
  .set('s|light', { mean: 0.5, variance: 0.01 });

// Guards against light tasks that are slowed down although that gains nothing.
it('paces: the image with the highest load is slowed down', () => {
  const paces = sustainablePaces(ESTIMATES, ['s'], [heavy, light]);
  expect(paces.has('light')).to.equal(false);
  expect(paces.get('heavy')).to.be.closeTo((fillRoom(ESTIMATES, 's') - 0.05) / 0.4, 0.001);
});

// Guards against tasks that are slowed down beside serving tasks that have room for them.
it('paces: fills that fit work at full pace', () => {
  expect(sustainablePaces(ESTIMATES, ['s'], [light]).isEmpty()).to.equal(true);
  expect(sustainablePaces(ESTIMATES, [], [heavy]).isEmpty()).to.equal(true);
});

// Guards against a serving task that stays over its target because its fills are slowed down too little.
it('paces: a harmed serving task is relieved of its excess', () => {
  const fills = { fullFills: [heavy, light], presentFills: [heavy, light] };
  const calm = reducedPaces(ESTIMATES, { servingImage: 's', ratio: 0.8, ...fills });
  const harmed = reducedPaces(ESTIMATES, { servingImage: 's', ratio: 1.2, ...fills });
  const saturated = reducedPaces(ESTIMATES, { servingImage: 's', ratio: 12, ...fills });
  expect(calm.isEmpty()).to.equal(true);
  expect(harmed.get('heavy')).to.be.within(0.5, 0.9);
  expect(saturated.get('heavy')).to.be.lessThan(0.4);
});

// Guards against paces that together put more load on a serving image than it has room for.
it('paces: the loads at the planned paces fit beside each serving image', () => {
  const images = ['a', 'b', 'c'];
  const means = fc.array(fc.double({ min: 0, max: 5, noNaN: true }), {
    minLength: 6,
    maxLength: 6,
  });
  fc.assert(
    fc.property(means, (drawn) => {
      const estimates = ['s', 't'].reduce(
        (known, serving, row) =>
          images.reduce(
            (pairs, image, column) =>
              pairs.set(`${serving}|${image}`, {
                mean: drawn[row * images.length + column] ?? 0,
                variance: 0.01,
              }),
            known.set(`${serving}|`, { mean: 0.3, variance: 0.0001 }),
          ),
        EMPTY_PAIRS,
      );
      const fills = images.map((image) => ({ image, share: 0.2 }));
      const paces = sustainablePaces(estimates, ['s', 't'], fills);
      ['s', 't'].forEach((serving) => {
        const load = fills.reduce((sum, { image, share }) => {
          const mean = estimates.get(`${serving}|${image}`)?.mean ?? 0;
          return sum + mean * share * paces.get(image, 1);
        }, 0);
        expect(load).to.be.at.most(fillRoom(estimates, serving) + 1e-9);
      });
    }),
    { seed: 44 },
  );
});
