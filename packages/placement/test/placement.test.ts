import { expect } from 'chai';
import type { WorkerLoad } from '@bronzeyoke/placement';
import { hasRoom } from '@bronzeyoke/placement';
import type { Stage } from '@bronzeyoke/workflow';

function stageOf(changes: Partial<Stage>): Stage {
  return {
    taskCount: 1,
    needs: { processorsMilli: 1_000, memoryMb: 100, accelerators: 0 },
    estimateMs: 1_000,
    dependsOn: [],
    savesCheckpoints: false,
    isGang: false,
    prefersOneRack: false,
    allowsCopies: false,
    isLasting: false,
    fillsIdle: false,
    ...changes,
  };
}

function loadOf(workerKey: string, changes: Partial<WorkerLoad> = {}): WorkerLoad {
  return {
    workerKey,
    domain: 'north',
    rack: 'r1',
    labels: [],
    capacity: { processorsMilli: 8_000, memoryMb: 8_000, accelerators: 0 },
    reserved: { processorsMilli: 0, memoryMb: 0, accelerators: 0 },
    fillMilli: 0,
    fillUsedMilli: 0,
    servingImages: [],
    fillImages: [],
    ...changes,
  };
}

const fill = stageOf({ fillsIdle: true, image: 'f' });
const FULL = { processorsMilli: 8_000, memoryMb: 0, accelerators: 0 };

// Guards against processors that stay idle because serving tasks have reserved and do not use them.
it('placement: filling tasks take what is reserved and idle', () => {
  const load = loadOf('w1', { reserved: FULL });
  expect(hasRoom(fill, load)).to.equal(true);
  expect(hasRoom(fill, { ...load, fillMilli: 1_000, fillUsedMilli: 1_000 })).to.equal(true);
});

// Guards against a worker that gets ever more filling tasks although they starve each other.
it('placement: filling tasks that get little take no more', () => {
  const load = loadOf('w1', { reserved: FULL, fillMilli: 4_000, fillUsedMilli: 1_000 });
  expect(hasRoom(fill, load)).to.equal(false);
});
