import { expect } from 'chai';
import type { Fixture } from './fixture';
import { createLeader, jobOf, join, lasting, list, place, siteOf, sized, wait } from './fixture';

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
