import { expect } from 'chai';
import type { Fixture } from './fixture';
import { advance, createLeader, join, lasting, leave, listAll, place, wait } from './fixture';

const SITES = Array.from({ length: 20 }, (_, index) => `w${index}`);

/** Returns a leader whose workers are full of movable tasks, and a task that waits for a place. */
function waitingOnFullFleet(): Fixture {
  const fleet = join(createLeader(), ...SITES, 'last');
  const alone = place(fleet, lasting('alone', 4_000));
  const full = Array.from({ length: 5 }, (_, index) => `job${index}`).reduce(
    (current, jobId) => place(current, lasting(jobId, 1_000, 16, { maxUnavailable: 1 })),
    alone,
  );
  const listed = listAll(wait(full, 50), ...SITES, 'last');
  const site = listed.state.runs.byTask.get('alone.0.0.0')?.workerKey.split('@')[0] ?? '';
  return leave(listed, site);
}

/** Counts the looks at the room of empty workers while some time passes. */
function countLooks(fixture: Fixture, forMs: number): number {
  const seen = { looks: 0 };
  const counted = {
    get processorsMilli(): number {
      seen.looks += 1;
      return 4_000;
    },
    memoryMb: 8_000,
    accelerators: 0,
  };
  const workers = fixture.state.workers.map((view) =>
    view.report === undefined ? view : { ...view, report: { ...view.report, capacity: counted } },
  );
  advance({ ...fixture, state: { ...fixture.state, workers } }, forMs);
  return seen.looks;
}

// Guards against a search for moves that looks at the fleet for each run of each worker.
it('moves: a search in vain looks at each worker a few times', () => {
  const looks = countLooks(waitingOnFullFleet(), 1_100);
  expect(looks).to.be.within(20, 20 * 15);
});
