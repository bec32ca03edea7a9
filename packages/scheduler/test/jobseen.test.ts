import { expect } from 'chai';
import { jobKey } from '@bronzeyoke/scheduler';
import type { EventFields } from '@bronzeyoke/telemetry';
import type { Fixture } from './fixture';
import {
  createLeader,
  createLoading,
  dispatch,
  jobOf,
  load,
  loggedFields,
  stageOf,
  WALL_MS,
  workerKeyFor,
} from './fixture';

/** Time from the acceptance of a job until the leader reads it. */
const AGE_MS = 60_000;

/** Delivers a job that was accepted long ago to a leader. */
function seen(fixture: Fixture, isFull: boolean): EventFields {
  const wallMs = WALL_MS + AGE_MS;
  const job = { ...jobOf('job1', [stageOf(1)]), acceptedAtMs: WALL_MS };
  const rows = [{ ...jobKey('job1'), version: fixture.version, value: job }];
  const after = dispatch(fixture, { kind: 'jobRows', isFull, rows, wallMs });
  return loggedFields(after, 'jobSeen')[0] ?? {};
}

// Guards against a job with tasks that are done, which a leader opens anew without a trace of it.
it('job seen: a leader tells a job of a change from one of a full read, and its age', () => {
  const fields = { hasProgress: false, ageMs: AGE_MS };
  expect(seen(createLeader(), false)).to.include({ ...fields, source: 'change' });
  expect(seen(createLeader(), true)).to.include({ ...fields, source: 'fullRead' });
});

// Guards against a load whose missing progress rows look like those of jobs that never began.
it('job seen: a new leader tells which jobs have progress', () => {
  const workerKey = workerKeyFor('w1');
  const task = { phase: 'running', attempt: 1, failures: 0, workerKey } as const;
  const jobs = [jobOf('job1', [stageOf(1)]), jobOf('job2', [stageOf(1)])];
  const lines = loggedFields(
    load(createLoading(), jobs, { job1: { '0.0.0': task } }),
    'jobSeen',
  ).map(({ job, source, hasProgress }) => ({ job, source, hasProgress }));
  expect(lines).to.deep.equal([
    { job: 'job1', source: 'load', hasProgress: true },
    { job: 'job2', source: 'load', hasProgress: false },
  ]);
});
