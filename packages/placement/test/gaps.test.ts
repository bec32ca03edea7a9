import { expect } from 'chai';
import fc from 'fast-check';
import type {
  ExpectedEnd,
  FillEffects,
  LargeDemand,
  Outlook,
  WorkerLoad,
} from '@bronzeyoke/placement';
import {
  chooseWorker,
  fitsAfterMs,
  freeRoom,
  gapCost,
  hasRoom,
  largeDemands,
  mayBackfill,
  placeCount,
} from '@bronzeyoke/placement';
import type { Resources } from '@bronzeyoke/types';
import { addResources, subtractResources } from '@bronzeyoke/types';
import { stageOf } from '../../scheduler/test/fixture';

const EFFECTS: FillEffects = { classify: () => 'harmless', predictLoad: () => 0 };

function room(processorsMilli: number, memoryMb = 64_000): Resources {
  return { processorsMilli, memoryMb, accelerators: 0 };
}

const CAPACITY = room(32_000);

function workerWith(workerKey: string, freeMilli: number, changes: Partial<WorkerLoad> = {}) {
  return {
    workerKey,
    service: 'quoter',
    domain: 'north',
    rack: 'r1',
    labels: [],
    capacity: CAPACITY,
    reserved: subtractResources(CAPACITY, room(freeMilli)),
    isOvercommitted: false,
    fillRequestedMilli: 0,
    fillUsedMilli: 0,
    servingImages: [],
    fills: [],
    ...changes,
  };
}

const LARGE: LargeDemand = {
  service: 'quoter',
  needs: room(6_000, 12_000),
  weight: 1,
  isWaiting: true,
};
const SMALL = stageOf(1, { needs: room(1_000, 1_500) });

function outlookOf(ends: Readonly<Record<string, readonly ExpectedEnd[]>> = {}): Outlook {
  return { demands: [LARGE], endsOn: (workerKey) => ends[workerKey] ?? [] };
}

function chosen(loads: readonly WorkerLoad[], outlook: Outlook, runMs = 1_000) {
  const constraints = { siblingCount: () => 0, foresight: { outlook, runMs } };
  return chooseWorker(SMALL, loads, EFFECTS, constraints)?.workerKey;
}

// Guards against a small task that takes the last place of a large one while a useless gap is free.
it('gaps: a small task takes a gap that the large one cannot use', () => {
  const loads = [workerWith('exact', 6_500), workerWith('gap', 4_000)];
  expect(chosen(loads, outlookOf())).to.equal('gap');
});

// Guards against tasks that pile up on one worker although nothing large waits.
it('gaps: without large demands tasks spread', () => {
  const loads = [workerWith('gap', 4_000), workerWith('empty', 32_000)];
  expect(chosen(loads, { demands: [], endsOn: () => [] })).to.equal('empty');
});

// Guards against a choice by what is free now only: an end soon makes a place for the large task.
it('gaps: a gap that grows into a place soon is left alone', () => {
  const loads = [workerWith('growing', 5_000), workerWith('steady', 5_500)];
  const ends = { growing: [{ returned: room(1_500, 2_000), inMs: 300 }] };
  expect(chosen(loads, outlookOf(ends))).to.equal('steady');
});

// Guards against gaps that stay unused although the task ends before anyone needs them.
it('gaps: a task that ends before the place is free costs nothing', () => {
  const ends = { growing: [{ returned: room(1_500, 2_000), inMs: 2_000 }] };
  const load = workerWith('growing', 5_000);
  expect(gapCost(SMALL, load, outlookOf(ends), 1_900)).to.equal(0);
  expect(gapCost(SMALL, load, outlookOf(ends), 4_000)).to.be.above(0);
});

// Guards against filling tasks whose memory takes the place of a large task.
it('gaps: filling tasks count by their memory', () => {
  const fill = { needs: room(20_000, 4_000), fillsIdle: true };
  const memoryLeft = { reserved: subtractResources(CAPACITY, room(8_000, 14_000)) };
  expect(gapCost(fill, workerWith('w1', 0, memoryLeft), outlookOf(), 1_000)).to.be.above(0);
  expect(gapCost(fill, workerWith('w2', 8_000), outlookOf(), 1_000)).to.equal(0);
});

// Guards against packing on a fleet with ample room, which would change what has worked there.
it('gaps: an expected size counts only while room for it is short', () => {
  const group = { ...LARGE, waitingCount: 0, runningCount: 8 };
  const ample = Array.from({ length: 4 }, (_, index) => workerWith(`w${index}`, 8_000));
  expect(largeDemands([group], ample)).to.deep.equal([]);
  expect(largeDemands([group], ample.slice(0, 3))).to.have.length(1);
  expect(largeDemands([{ ...group, waitingCount: 1 }], ample)[0]?.isWaiting).to.equal(true);
});

const freeMilli = fc.integer({ min: 0, max: 32_000 });
const ends = fc.array(
  fc.record({
    milli: fc.integer({ min: 1, max: 8_000 }),
    inMs: fc.integer({ min: 0, max: 9_000 }),
  }),
  { maxLength: 6 },
);

// Guards against a rank by gaps that overrides whether the task fits at all, or depends on the order.
it('gaps: the chosen worker has room, and the same state gives the same choice', () => {
  fc.assert(
    fc.property(fc.array(freeMilli, { minLength: 1, maxLength: 8 }), ends, (frees, known) => {
      const loads = frees.map((free, index) => workerWith(`w${index}`, free));
      const onFirst = known.map(({ milli, inMs }) => ({ returned: room(milli, 1_000), inMs }));
      const key = chosen(loads, outlookOf({ w0: onFirst }));
      const load = loads.find(({ workerKey }) => workerKey === key);
      expect(load === undefined).to.equal(loads.every((other) => !hasRoom(SMALL, other)));
      if (load !== undefined) expect(hasRoom(SMALL, load)).to.equal(true);
      expect(chosen(loads, outlookOf({ w0: onFirst }))).to.equal(key);
    }),
  );
});

// Guards against a large place that is given away while a worker without one has room.
it('gaps: no place is lost while a worker without a place has room', () => {
  fc.assert(
    fc.property(fc.array(freeMilli, { minLength: 1, maxLength: 8 }), (frees) => {
      const loads = frees.map((free, index) => workerWith(`w${index}`, free));
      const key = chosen(loads, outlookOf());
      const load = loads.find(({ workerKey }) => workerKey === key);
      const isFree = (other: WorkerLoad) =>
        hasRoom(SMALL, other) && placeCount(LARGE.needs, freeRoom(other)) === 0;
      if (load === undefined || !loads.some(isFree)) return;
      expect(gapCost(SMALL, load, outlookOf(), 1_000)).to.equal(0);
    }),
  );
});

// Guards against backfill that delays the task for which the room is kept.
it('gaps: backfill never delays the task that has a place kept', () => {
  fc.assert(
    fc.property(
      freeMilli,
      ends,
      fc.integer({ min: 1, max: 8_000 }),
      fc.double({ min: 0, max: 1, noNaN: true }),
      (free, known, tailMs, share) => {
        const now = room(free);
        const early = known.map(({ milli, inMs }) => ({ returned: room(milli, 1_000), inMs }));
        const neededInMs = fitsAfterMs(LARGE.needs, now, early);
        if (!Number.isFinite(neededInMs)) return;
        if (!mayBackfill(SMALL, tailMs, { room: now, neededInMs })) return;
        // The runs end no earlier than expected, and the task no later than its tail.
        const filled = subtractResources(now, SMALL.needs);
        const own = { returned: SMALL.needs, inMs: tailMs * share };
        expect(fitsAfterMs(LARGE.needs, filled, [...early, own])).to.equal(neededInMs);
        expect(addResources(filled, SMALL.needs)).to.deep.equal(now);
      },
    ),
  );
});
