import { expect } from 'chai';
import { progressKey } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  commitAll,
  createLeader,
  jobOf,
  lastWritten,
  report,
  sized,
  submit,
  wait,
} from './fixture';

/** Bytes of a value before Base64 makes it a row of the store of at most 65,536 bytes. */
const ROW_BYTES = 49_152;

const WORKERS = 350;
const PASSES = 14;
const SMALL = { processorsMilli: 100, memoryMb: 1, accelerators: 0 };
const CHECKPOINT = 'c'.repeat(20);

/** Returns a leader whose fleet has room for all tasks of a job. */
function placeWide(taskCount: number, savesCheckpoints: boolean, stageCount = 1): Fixture {
  const sites = Array.from({ length: WORKERS }, (_, index) => `worker-of-a-long-name-${index}`);
  const fleet = sites.reduce<Fixture>(
    (current, site) => report(current, site, { processorsMilli: 64_000 }),
    createLeader(),
  );
  const stage = sized(100, taskCount, { savesCheckpoints, needs: SMALL });
  const placed = commitAll(
    submit(
      commitAll(fleet),
      jobOf(
        'wide',
        Array.from({ length: stageCount }, () => stage),
      ),
    ),
  );
  return Array.from({ length: PASSES }).reduce<Fixture>((current) => wait(current, 250), placed);
}

/** Returns the bytes of the row with the progress of the job, once all claimed tasks have a checkpoint. */
function rowBytes(fixture: Fixture, checkpoint: string): number {
  const row = JSON.stringify(lastWritten(fixture, progressKey('wide')));
  return Buffer.byteLength(row) + fixture.state.runs.byTask.size * (checkpoint.length + 3);
}

// Guards against the progress of a wide job that outgrows its row: the store refuses the transaction, which
// also renews the lease of the leader.
it('widejobs: as many tasks are claimed as the row of the job holds', () => {
  const placed = placeWide(3_000, false);
  expect(placed.state.runs.byTask.size).to.be.greaterThan(600);
  expect(rowBytes(placed, '')).to.be.lessThan(ROW_BYTES);
});

// Guards against a row that outgrows its limit as the running tasks save checkpoints.
it('widejobs: the row of a job holds the checkpoints of all claimed tasks', () => {
  const placed = placeWide(3_000, true);
  expect(placed.state.runs.byTask.size).to.be.greaterThan(300);
  expect(rowBytes(placed, CHECKPOINT)).to.be.lessThan(ROW_BYTES);
});

// Guards against stages of one job that are ready together and outgrow its row between two passes.
it('widejobs: the stages of a job share its row', () => {
  const placed = placeWide(450, true, 4);
  expect(placed.state.runs.byTask.size).to.be.greaterThan(300);
  expect(rowBytes(placed, CHECKPOINT)).to.be.lessThan(ROW_BYTES);
});
