import { expect } from 'chai';
import type { MixKind } from './simmix';
import { countRepeats, playMix } from './simmix';

/** Plays seeds 1 to N of each mix in place of some, and prints the counts of all repeats. */
const MEASURED_SEEDS = process.env.REPEAT_SEEDS;

function seedsOf(firstSeed: number): readonly number[] {
  const first = MEASURED_SEEDS === undefined ? firstSeed : 1;
  return Array.from({ length: Number(MEASURED_SEEDS ?? 4) }, (_, index) => first + index);
}

/** Expects that no play starts a task again after a success that counts. */
function expectNoneCounted(kind: MixKind, firstSeed = 1): void {
  const plays = seedsOf(firstSeed).map((seed) => ({ seed, simulation: playMix(kind, seed) }));
  const counts = countRepeats(plays.map(({ simulation }) => simulation));
  if (MEASURED_SEEDS !== undefined) {
    process.stdout.write(`  ${kind}, seeds 1 to ${MEASURED_SEEDS}: ${JSON.stringify(counts)}\n`);
  }
  const found = plays.flatMap(({ seed, simulation }) =>
    simulation
      .violations()
      .flatMap((violation) =>
        violation.kind === 'repeatedTask'
          ? [`seed ${seed}: ${violation.task}`, ...violation.runs]
          : [],
      ),
  );
  expect(found).to.deep.equal([]);
}

// Guards against a success that a late claim, a lost answer of the store or a take-over leaves unseen.
it('repeatmix: no success is repeated while leaders, agents and the store fail', () => {
  expectNoneCounted('store');
});

// Guards against a success of a later instance that was not ordered, in any order of faults.
it('repeatmix: no success is repeated while workers restart under their ids', () => {
  expectNoneCounted('restarts');
});

// Guards against a success that is repeated when all faults come together.
it('repeatmix: no success is repeated under all faults', () => {
  expectNoneCounted('all');
});

// Guards against a young instance that a leader takes for an old one because its clock is wrong.
it('repeatmix: no success is repeated under all faults and clocks that differ', () => {
  expectNoneCounted('clocks', 5);
});
