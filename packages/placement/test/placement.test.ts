import { expect } from 'chai';
import type { FillEffects, WorkerLoad } from '@bronzeyoke/placement';
import { chooseWorker, hasRoom, withTask } from '@bronzeyoke/placement';
import { stageOf } from '../../scheduler/test/fixture';

const FREE = { siblingCount: () => 0 };
/** Returns effects that are all as heavy, with some verdicts. */
function effectsOf(classify: FillEffects['classify']): FillEffects {
  return { classify, predictLoad: () => 0 };
}

const NO_HARM = effectsOf(() => 'harmless');

function loadOf(workerKey: string, changes: Partial<WorkerLoad> = {}): WorkerLoad {
  return {
    workerKey,
    service: 'quoter',
    domain: 'north',
    rack: 'r1',
    labels: [],
    capacity: { processorsMilli: 8_000, memoryMb: 8_000, accelerators: 0 },
    reserved: { processorsMilli: 0, memoryMb: 0, accelerators: 0 },
    isOvercommitted: false,
    fillRequestedMilli: 0,
    fillUsedMilli: 0,
    servingImages: [],
    fills: [],
    ...changes,
  };
}

const fill = stageOf(1, { fillsIdle: true, image: 'f' });
const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
const FULL = { processorsMilli: 8_000, memoryMb: 0, accelerators: 0 };

// Guards against processors that stay idle because serving tasks reserve and do not use them.
it('placement: filling tasks use processors that are reserved but idle', () => {
  const load = loadOf('w1', { reserved: FULL });
  expect(hasRoom(fill, load)).to.equal(true);
  expect(hasRoom(fill, { ...load, fillRequestedMilli: 1_000, fillUsedMilli: 1_000 })).to.equal(
    true,
  );
});

// Guards against a worker that gets more filling tasks although they starve each other.
it('placement: no task joins filling tasks that get few processors', () => {
  const load = loadOf('w1', { reserved: FULL, fillRequestedMilli: 4_000, fillUsedMilli: 1_000 });
  expect(hasRoom(fill, load)).to.equal(false);
});

// Guards against workers with so many serving images that no image can fill any of them.
it('placement: serving tasks of one image go to the same worker', () => {
  const loads = [
    loadOf('w1', { servingImages: ['t'], reserved: { ...FULL, processorsMilli: 6_000 } }),
    loadOf('w2', { servingImages: ['s'], reserved: { ...FULL, processorsMilli: 1_000 } }),
  ];
  expect(chooseWorker(serving, loads, NO_HARM, FREE)?.workerKey).to.equal('w2');
});

// Guards against tasks that are placed beside serving tasks that they slow down.
it('placement: filling tasks avoid serving images that they harm', () => {
  const loads = [loadOf('w1', { servingImages: ['s'] }), loadOf('w2', { servingImages: ['t'] })];
  const effects = effectsOf((image) => (image === 's' ? 'harmful' : 'harmless'));
  expect(chooseWorker(fill, loads, effects, FREE)?.workerKey).to.equal('w2');
  expect(chooseWorker(fill, loads.slice(0, 1), effects, FREE)).to.equal(undefined);
});

// Guards against tasks that are placed beside the serving tasks that they slow down most.
it('placement: filling tasks go where the serving tasks stay least loaded', () => {
  const loads = [loadOf('w1', { servingImages: ['s'] }), loadOf('w2', { servingImages: ['t'] })];
  const effects: FillEffects = {
    classify: () => 'harmless',
    predictLoad: (image) => (image === 's' ? 0.45 : 0.3),
  };
  expect(chooseWorker(fill, loads, effects, FREE)?.workerKey).to.equal('w2');
});

// Guards against harm by several unproven tasks on one worker, whose cause cannot be identified.
it('placement: an unproven task is tried where no other filling task is', () => {
  const effects = effectsOf((_, fills) =>
    fills.some(({ image }) => image !== 'known') ? 'unknown' : 'harmless',
  );
  const worker = loadOf('w1', { servingImages: ['s'] });
  expect(chooseWorker(fill, [worker], effects, FREE)).to.equal(worker);
  const known = { ...fill, image: 'known' };
  const trying = withTask(worker, { ...fill, image: 'g' });
  expect(chooseWorker(fill, [trying], effects, FREE)).to.equal(undefined);
  expect(chooseWorker({ ...fill, image: 'g' }, [trying], effects, FREE)).to.equal(undefined);
  expect(chooseWorker(known, [trying], effects, FREE)).to.equal(undefined);
  expect(chooseWorker(fill, [withTask(worker, known)], effects, FREE)).to.equal(undefined);
  expect(chooseWorker(known, [withTask(worker, known)], effects, FREE)?.workerKey).to.equal('w1');
});
