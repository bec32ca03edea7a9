import { expect } from 'chai';
import {
  areWaitsDue,
  closeWindow,
  nextWaits,
  openWaits,
  openWindow,
  recordEvent,
  recordWait,
} from '@bronzeyoke/hosts';

const EVENT = {
  kind: 'received',
  waitMs: 1,
  durationMs: 2,
  hasPlaced: false,
  starts: 0,
  ends: 1,
} as const;
const NOTHING = { rows: 0, actions: 0, grants: 0, away: 0 };

// Guards against an overloaded leader that says nothing of it in its log.
it('loadmeter: a leader whose events wait long is overloaded within a second', () => {
  const late = {
    ...EVENT,
    kind: 'tick',
    waitMs: 700,
    durationMs: 90,
    hasPlaced: true,
    ends: 0,
  } as const;
  const window = [EVENT, late, EVENT].reduce(recordEvent, openWindow(0));
  expect(closeWindow(window, NOTHING, 500)).to.equal(undefined);
  expect(
    closeWindow(window, { rows: 7, actions: 9, grants: 3, away: 2 }, 1_000)?.fields,
  ).to.deep.equal({
    isOverloaded: true,
    overMs: 1_000,
    events: 3,
    passes: 1,
    busyShare: 0.09,
    longestWaitMs: 700,
    longestMs: 90,
    longestKind: 'tick',
    longestPassMs: 90,
    longestStoreWaitMs: 0,
    starts: 0,
    ends: 2,
    passMs: 90,
    agentsMs: 4,
    storeMs: 0,
    otherMs: 0,
    pendingRows: 7,
    pendingActions: 9,
    dueGrants: 3,
    lastingAway: 2,
  });
});

// Guards against a line that doesn't tell whether placement waits for the store or behind agents' reports.
it('loadmeter: a line tells how long answers of the store wait and what the time went to', () => {
  const answer = { ...EVENT, kind: 'commitDone', waitMs: 300, starts: 4, ends: 0 } as const;
  const window = [EVENT, answer, EVENT].reduce(recordEvent, openWindow(0));
  expect(closeWindow(window, NOTHING, 1_000)?.fields).to.include({
    longestWaitMs: 300,
    longestStoreWaitMs: 300,
    starts: 4,
    ends: 2,
    agentsMs: 4,
    storeMs: 2,
  });
});

// Guards against a line a second from every leader that has little to do.
it('loadmeter: a leader with time to spare writes a line every ten seconds', () => {
  const window = recordEvent(openWindow(0), EVENT);
  expect(closeWindow(window, NOTHING, 9_000)).to.equal(undefined);
  expect(closeWindow(window, NOTHING, 10_000)?.fields.isOverloaded).to.equal(false);
});

// Guards against a slow machine that takes a lease because an entry that follows has no events that wait.
it('loadmeter: ticks that come late count as waits', () => {
  const tick = { kind: 'tick', waitMs: 2 } as const;
  const times = [0, 50, 290, 340];
  const window = times.reduce((current, atMs) => recordWait(current, tick, 50, atMs), openWaits(0));
  expect(window.waitMs).to.equal(190);
  expect(areWaitsDue(window, 99)).to.equal(false);
  expect(areWaitsDue(window, 100)).to.equal(true);
  const next = recordWait(nextWaits(window, 340), tick, 50, 390);
  expect(next.waitMs).to.equal(2);
});
