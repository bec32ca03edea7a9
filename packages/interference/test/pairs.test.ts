import { expect } from 'chai';
import type { FillShare, PairEstimates } from '@bronzeyoke/interference';
import {
  EMPTY_PAIRS,
  classifyFills,
  findSuspects,
  learnFrom,
  updatePairs,
} from '@bronzeyoke/interference';

const SAMPLES = 200;

const bad: FillShare = { image: 'bad', share: 0.1 };
const good: FillShare = { image: 'good', share: 0.1 };

/** Returns tail latency over target of a serving task with fluctuating load of its own and fills. */
function ratioOf(sample: number, fills: readonly FillShare[]): number {
  const own = 0.3 + 0.2 * Math.sin(sample / 7);
  const harm = fills.reduce((sum, { image, share }) => sum + (image === 'bad' ? 5 * share : 0), 0);
  return 0.28 / (1 - Math.min(0.95, own + harm));
}

function learn(
  fillsAt: (sample: number) => readonly FillShare[],
  estimates = EMPTY_PAIRS,
): PairEstimates {
  return Array.from({ length: SAMPLES }, (_, sample) => sample).reduce((known, sample) => {
    const fills = fillsAt(sample);
    return updatePairs(known, { servingImage: 's', ratio: ratioOf(sample, fills), fills });
  }, estimates);
}

// Guards against holding back a harmless image because it ran beside a harmful one.
it('pairs: a harmful image is distinguished from a harmless one', () => {
  const turns = [[good], [bad, good], [bad], []] as const;
  const estimates = learn((sample) => turns[Math.floor(sample / 10) % turns.length] ?? []);
  expect(classifyFills(estimates, 's', [bad])).to.equal('harmful');
  expect(classifyFills(estimates, 's', [good])).to.equal('harmless');
  expect(findSuspects(estimates, { servingImage: 's', fills: [good, bad] })).to.deep.equal(['bad']);
});

// Guards against attributing a serving task's own load to the images beside it.
it('pairs: fluctuations of a serving task prove no harm', () => {
  const estimates = learn(() => [good]);
  expect(classifyFills(estimates, 's', [good])).to.equal('harmless');
});

// Guards against an image that counts as harmful because it began beside a serving task at its own peak.
it('pairs: a task that begins at the peak of a serving task is not blamed for it', () => {
  const known = EMPTY_PAIRS.set('s|', { mean: 0.3, variance: 0.0001 });
  const ownPeak = { mean: 0.5, variance: 0.01 };
  const observation = { servingImage: 's', ratio: 0.28 / (1 - 0.52), fills: [good] };
  const blamed = updatePairs(known, observation);
  const tracked = learnFrom(known, { ...observation, own: ownPeak }).estimates;
  expect(tracked.get('s|good')?.mean).to.be.lessThan(blamed.get('s|good')?.mean ?? 0);
  expect(classifyFills(tracked, 's', [good])).to.equal('harmless');
});

// Guards against a burst of tasks of a new image where most pairs are known to be heavy.
it('pairs: a pair that was never observed is expected to be like the others', () => {
  const many = Array.from({ length: 40 }, (_, index) => `s|known${index}`);
  const heavy = many.reduce(
    (pairs, key) => pairs.set(key, { mean: 3, variance: 0.05 }),
    EMPTY_PAIRS.set('s|', { mean: 0.3, variance: 0.0001 }),
  );
  const added = { image: 'new', share: 0.12 };
  expect(classifyFills(heavy, 's', [added])).to.equal('unknown');
  const light = heavy.map((estimate) => ({ ...estimate, mean: 0.2 }));
  expect(classifyFills(light, 's', [added])).to.equal('harmless');
});

// Guards against counting a serving task as unharmed because it has not served yet.
it('pairs: a serving task without a measured latency proves nothing', () => {
  const estimates = updatePairs(EMPTY_PAIRS, { servingImage: 's', ratio: 0, fills: [bad] });
  expect(classifyFills(estimates, 's', [bad])).to.equal('unknown');
});

// Guards against allowing many tasks of an image because a single one is harmless.
it('pairs: a larger share of a weakly harmful image is harmful', () => {
  const estimates = EMPTY_PAIRS.set('s|weak', { mean: 1, variance: 0.01 });
  expect(classifyFills(estimates, 's', [{ image: 'weak', share: 0.1 }])).to.equal('harmless');
  expect(classifyFills(estimates, 's', [{ image: 'weak', share: 0.4 }])).to.equal('harmful');
});

// Guards against a verdict that never changes although the behaviour of the pair has changed.
it('pairs: a pair is classified again when its behaviour changes', () => {
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

/** Bytes of a value before Base64 makes it a row of the store of at most 65,536 bytes. */
const ROW_BYTES = 49_152;

function observe(estimates: PairEstimates, servingImage: string, image: string): PairEstimates {
  const fills = [{ image, share: 0.1 }];
  return updatePairs(estimates, { servingImage, ratio: 0.4, fills });
}

// Guards against estimates of all pairs that were ever seen, which outgrow the row that they are stored
// in: the store refuses it, and with it the renewal of the leader's lease.
it('pairs: the estimates of many images fit a row, and those in use stay', () => {
  const images = Array.from({ length: 1_000 }, (_, index) => `"größe" ${index}`.padEnd(200, 'é'));
  const known = images.reduce(
    (estimates, image) => observe(observe(estimates, `serving ${image}`, image), 's', 'good'),
    EMPTY_PAIRS,
  );
  expect(Buffer.byteLength(JSON.stringify(known.toObject()))).to.be.lessThan(ROW_BYTES);
  expect(known.size).to.be.greaterThan(30);
  expect([
    known.has('s|good'),
    known.has('s|'),
    known.has(`serving ${images.at(-1)}|`),
  ]).to.deep.equal([true, true, true]);
});
