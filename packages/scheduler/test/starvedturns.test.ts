import { expect } from 'chai';
import type { Played } from './fixture';
import {
  jobOf,
  jobsOf,
  lasting,
  listRuns,
  play,
  playTurns,
  report,
  sized,
  submit,
  submitAndPlay,
  takeOver,
} from './fixture';

const WORKERS = 160;

/** Room of the worker that is lost, for all tasks that need a larger one than the others. */
const LARGE_MILLI = 12 * 10_000;

/** Turns in which the tasks on that worker start. */
const STARTING_TURNS = 10;

/** Turns of 50 ms and more in which a worker without reports loses its tasks, and in which a stage starves. */
const LEASE_TURNS = 110;
const STARVING_TURNS = 70;

/** Turns in which each of the stages has to have its turn, four in a pass at most. */
const ROUND_TURNS = 60;

/** Lets lasting tasks run on a worker that is large enough for them, until it is gone. */
function loseLargeTasks(played: Played): Played {
  const hopeless = jobsOf(12, (index) => lasting(`hopeless${index}`, 9_000 + index));
  const joined = play(played, (fixture) =>
    report(fixture, 'large', { processorsMilli: LARGE_MILLI }),
  );
  const submitted = hopeless.reduce(
    (current, job) => play(current, (fixture) => submit(fixture, job)),
    joined,
  );
  const started = playTurns(submitted, STARTING_TURNS);
  const listed = play(started, (fixture) => listRuns(fixture, 'large', LARGE_MILLI));
  return playTurns(listed, LEASE_TURNS);
}

/**
 * Returns a slow leader whose passes are cut: lasting tasks fit nowhere, and 14 stages wait. Each worker has
 * a lasting task beside its temporary ones, so that room can be kept for the last stage alone.
 */
function createStarving(): Played {
  const base = lasting('base', 1_000, WORKERS, { maxPerWorker: 1 });
  const busy = jobOf('busy', [sized(2_500, 2 * WORKERS, { estimateMs: 60_000 })]);
  const full = loseLargeTasks(playTurns(takeOver([base, busy], WORKERS), LEASE_TURNS));
  const large = jobsOf(13, (index) => jobOf(`large${index}`, [sized(7_500 - index)]));
  const submitted = large.reduce(
    (current, job) => play(current, (fixture) => submit(fixture, job)),
    full,
  );
  const later = playTurns(submitted, 10);
  return submitAndPlay(later, jobOf('middle', [sized(6_000)]), STARVING_TURNS);
}

// Guards against starved stages behind others in passes that are cut: those that a pass had no work left
// for lost their turns, and the one for which room can be kept never had one.
it('starvedturns: 14 stages have their turns while lasting tasks use up the passes', () => {
  const starving = createStarving();
  const { waits: before, unplacedSince } = starving.fixture.state;
  expect(unplacedSince.size).to.equal(14);
  expect(before.count(({ cause }) => cause === 'returning')).to.equal(12);
  expect(before.count(({ leftOutSinceMs }) => leftOutSinceMs !== undefined)).to.be.greaterThan(0);
  const after = playTurns(starving, ROUND_TURNS);
  const { missedTurns, waits } = after.fixture.state;
  expect(missedTurns.size).to.equal(13);
  expect(waits.get('middle.0.0.0')?.phase).to.equal('reserved');
  const kept = playTurns(after, ROUND_TURNS).fixture.state.waits.get('middle.0.0.0');
  expect(kept?.workerKey).to.equal(waits.get('middle.0.0.0')?.workerKey);
});
