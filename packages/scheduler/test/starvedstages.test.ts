import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  createLeader,
  jobOf,
  join,
  lasting,
  leave,
  list,
  place,
  report,
  siteOf,
  sized,
  wait,
} from './fixture';

const STEP_MS = 500;
const STEPS = 24;

/** A worker of 4 cores with a lasting task of 1 core, and stages of 4 cores that wait in vain. */
function waitingInVain(count: number): Fixture {
  const base = list(place(join(createLeader(), 'w0'), lasting('base', 1_000)), 'w0');
  return Array.from({ length: count }).reduce<Fixture>(
    (current, _, index) => place(current, jobOf(`large${index}`, [sized(4_000)])),
    list(place(base, jobOf('quick0', [sized(1_000)])), 'w0'),
  );
}

/** Lets a quick task of 1 core begin before the one before it ends, until a task has a place. */
function keepBusyUntil(fixture: Fixture, task: string): Fixture {
  return Array.from({ length: STEPS }).reduce<Fixture>((current, _, index) => {
    if (siteOf(current, task) !== undefined) return current;
    const next = place(current, jobOf(`quick${index + 1}`, [sized(1_000)]));
    return list(wait(next, STEP_MS), 'w0', { [`quick${index}.0.0.0`]: 'done' });
  }, fixture);
}

// Guards against stages for which no worker can have room that take all the turns for kept room.
it('starvedstages: room is kept for a stage behind four that can have none', () => {
  const later = list(wait(waitingInVain(4), STEP_MS), 'w0');
  const waiting = place(later, jobOf('middle', [sized(3_000)]));
  expect(siteOf(keepBusyUntil(waiting, 'middle.0.0.0'), 'middle.0.0.0')).to.equal('w0');
});

const CROWD_SIZE = 45;
const CROWD_MILLI = 5_000;

/** Lets lasting tasks run on a worker that is large enough for all of them. The others are too small. */
function withCrowd(): Fixture {
  const large = report(createLeader(), 'large', { processorsMilli: CROWD_SIZE * CROWD_MILLI });
  const crowd = place(large, lasting('crowd', CROWD_MILLI, CROWD_SIZE));
  return list(join(list(crowd, 'large'), 'w0', 'w1'), 'large');
}

/** Delivers lists of w0 and w1, on which all runs go on, for some time. */
function goOn(fixture: Fixture, steps: number): Fixture {
  return Array.from({ length: steps }).reduce<Fixture>((current, _, index) => {
    const waited = list(wait(current, STEP_MS), 'w0', {}, index + 1);
    return list(waited, 'w1', {}, index + 1);
  }, fixture);
}

/** A stage that starves while w0 is kept for it, where a run takes far longer than it was declared to. */
function starvedBesideLongRun(): Fixture {
  const long = place(withCrowd(), jobOf('long', [sized(2_000)]));
  const busy = place(long, jobOf('other', [sized(4_000, 1, { estimateMs: 600_000 })]));
  const starved = place(busy, jobOf('starved', [sized(3_000)]));
  return goOn(starved, 14);
}

// Guards against a starved stage that sees only its kept worker while many lasting tasks find no place.
it('starvedstages: a stage takes room on another worker while many tasks wait', () => {
  const starved = starvedBesideLongRun();
  expect(starved.state.waits.get('starved.0.0.0')?.workerKey).to.equal('w0@5');
  const crowded = goOn(leave(starved, 'large'), 2);
  const freed = list(crowded, 'w1', { 'other.0.0.0': 'done' });
  expect(siteOf(goOn(freed, 10), 'starved.0.0.0')).to.equal('w1');
});
