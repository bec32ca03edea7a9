import { expect } from 'chai';
import type { FillShare, PairEstimates } from '@bronzeyoke/interference';
import { EMPTY_PAIRS, classifyFills, updatePairs, findSuspects } from '@bronzeyoke/interference';

const SAMPLES = 200;

const bad: FillShare = { image: 'bad', share: 0.1 };
const good: FillShare = { image: 'good', share: 0.1 };

/** Tail over target of a serving task whose own load goes up and down, with the harm by fills. */
function ratioOf(sample: number, fills: readonly FillShare[]): number {
  const own = 0.3 + 0.2 * Math.sin(sample / 7);
  const harm = fills.reduce((sum, { image, share }) => sum + (image === 'bad' ? 5 * share : 0), 0);
  return 0.28 / (1 - Math.min(0.95, own + harm));
}

function learn(
  fillsAt: (sample: number) => readonly FillShare[],
  book = EMPTY_PAIRS,
): PairEstimates {
  return Array.from({ length: SAMPLES }, (_, sample) => sample).reduce((known, sample) => {
    const fills = fillsAt(sample);
    return updatePairs(known, { servingImage: 's', ratio: ratioOf(sample, fills), fills });
  }, book);
}

// Guards against a harmless image that is kept away because it worked beside a harmful one.
it('pairs: the harmful image is told from the harmless one', () => {
  const turns = [[good], [bad, good], [bad], []] as const;
  const book = learn((sample) => turns[Math.floor(sample / 10) % turns.length] ?? []);
  expect(classifyFills(book, 's', [bad])).to.equal('harmful');
  expect(classifyFills(book, 's', [good])).to.equal('harmless');
  expect(findSuspects(book, { servingImage: 's', fills: [good, bad] })).to.deep.equal(['bad']);
});

// Guards against a verdict on images by a serving task's own load.
it('pairs: the ups and downs of a serving task prove no harm', () => {
  const book = learn(() => [good]);
  expect(classifyFills(book, 's', [good])).to.equal('harmless');
});

// Guards against a serving task that counts as calm because it has not worked yet.
it('pairs: a serving task without a figure proves nothing', () => {
  const book = updatePairs(EMPTY_PAIRS, { servingImage: 's', ratio: 0, fills: [bad] });
  expect(classifyFills(book, 's', [bad])).to.equal('unknown');
});

// Guards against many tasks of an image that one task of it does not harm by.
it('pairs: more of a weak disturbance is harmful', () => {
  const book = EMPTY_PAIRS.set('s|weak', { mean: 1, variance: 0.01 });
  expect(classifyFills(book, 's', [{ image: 'weak', share: 0.1 }])).to.equal('harmless');
  expect(classifyFills(book, 's', [{ image: 'weak', share: 0.4 }])).to.equal('harmful');
});

// Guards against a pair that is judged for good although its behaviour has changed.
it('pairs: a proven pair is judged anew when it changes', () => {
  const before = EMPTY_PAIRS.set('s|good', { mean: 5, variance: 0.01 });
  expect(classifyFills(before, 's', [good])).to.equal('harmful');
  expect(
    classifyFills(
      learn(() => [good], before),
      's',
      [good],
    ),
  ).to.equal('harmless');
});
