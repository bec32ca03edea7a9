import { expect } from 'chai';
import type { Observation, OracleState } from '@bronzeyoke/harness';
import { checkObservation, EMPTY_ORACLE } from '@bronzeyoke/harness';
import type { TaskId } from '@bronzeyoke/types';
import { NO_RESOURCES, taskKey } from '@bronzeyoke/types';

const ID: TaskId = { jobId: 'job1', index: 0 };

type Timed = readonly [number, Observation];

function added(worker: string): Timed {
  return [0, { kind: 'workerAdded', worker, domain: 'north', total: NO_RESOURCES }];
}

function started(worker: string, epoch: number, atMs: number): Timed {
  return [atMs, { kind: 'taskStarted', worker, id: ID, epoch, reserved: NO_RESOURCES }];
}

function ended(worker: string, epoch: number, end: string, atMs: number): Timed {
  return [atMs, { kind: 'taskEnded', worker, id: ID, epoch, end }];
}

/** The table records that the run of an epoch has finished the task. */
function recorded(epoch: number, atMs: number): Timed {
  const value = { epoch, state: { kind: 'finished', resultRef: '' } };
  const row = { key: `task/0/${taskKey(ID)}`, version: epoch, value };
  return [atMs, { kind: 'committed', rows: [row] }];
}

function detailsOf(observations: readonly Timed[]): readonly string[] {
  const state = observations.reduce<OracleState>(
    (current, [atMs, observation]) => checkObservation(current, observation, atMs),
    EMPTY_ORACLE,
  );
  return state.violations.map(({ invariant, detail }) => `${invariant} ${detail}`).toArray();
}

const FIRST_RUN = [
  added('w1'),
  added('w2'),
  started('w1', 1, 1_000),
  ended('w1', 1, 'finished', 2_000),
];

// Guards against an oracle that overlooks a start between a success and its record.
it('oracle: a start before the record of a success is found', () => {
  const found = detailsOf([...FIRST_RUN, started('w2', 2, 3_000), recorded(1, 4_000)]);
  expect(found).to.deep.equal([
    `P3 ${taskKey(ID)} had started again when its success was recorded`,
  ]);
});

// Guards against an oracle that overlooks a start after the record of a success, however soon.
it('oracle: a start after the record of a success is found', () => {
  const found = detailsOf([...FIRST_RUN, recorded(1, 2_500), started('w2', 2, 2_600)]);
  expect(found).to.deep.equal([`P3 ${taskKey(ID)} started after its end was recorded`]);
});

// Guards against an oracle that reports a success which never counts, since a later run is recorded.
it('oracle: a start after a success that is not recorded is no violation', () => {
  const repeated = [...FIRST_RUN, started('w2', 2, 3_000), ended('w2', 2, 'finished', 4_000)];
  expect(detailsOf(repeated)).to.deep.equal([]);
  expect(detailsOf([...repeated, recorded(2, 5_000)])).to.deep.equal([]);
});

// Guards against an oracle that takes a run that its lease has ended for a success.
it('oracle: a start after a run that the lease has ended is no violation', () => {
  const lapsed = [
    added('w1'),
    added('w2'),
    started('w1', 1, 1_000),
    ended('w1', 1, 'expired', 2_000),
  ];
  const repeated = [...lapsed, started('w2', 2, 3_000), ended('w2', 2, 'finished', 4_000)];
  expect(detailsOf([...repeated, recorded(2, 5_000)])).to.deep.equal([]);
});
