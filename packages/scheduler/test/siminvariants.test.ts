import { expect } from 'chai';
import type { SchedulerState } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import { advance, createLeader, join, lasting, list, place, submit } from './fixture';
import { viewViolations } from './siminvariants';

const TASK = 'job1.0.0.0';

function foundIn({ nowMs }: Fixture, state: SchedulerState): readonly unknown[] {
  return viewViolations(state, nowMs, 'tick').map(
    (violation) => violation.kind === 'unboundedState' && violation.what,
  );
}

/** A worker that runs the only task of a lasting job. */
function running(): Fixture {
  return list(place(join(createLeader(), 'w1'), lasting('job1', 1_000)), 'w1');
}

// Guards against a check that reports states which end in time.
it('siminvariants: tasks that work, or whose claim is being stored, are no violation', () => {
  const claimed = submit(running(), lasting('job2', 1_000));
  expect(foundIn(claimed, claimed.state)).to.deep.equal([]);
});

// Guards against a check that misses a worker that was forgotten with its runs.
it('siminvariants: a run on a worker that is not known is found', () => {
  const fixture = running();
  const { state } = fixture;
  const found = foundIn(fixture, { ...state, workers: state.workers.clear() });
  expect(found).to.deep.equal(['contradictory']);
});

// Guards against a check that misses a task that is taken to run and has no run.
it('siminvariants: a claim without a run is found', () => {
  const fixture = running();
  const { state } = fixture;
  const runs = { byTask: state.runs.byTask.clear(), byWorker: state.runs.byWorker.clear() };
  expect(foundIn(fixture, { ...state, runs })).to.deep.equal(['contradictory']);
});

// Guards against a check that misses a claim whose start order was dropped.
it('siminvariants: a claim that no transaction orders is found', () => {
  const claimed = submit(join(createLeader(), 'w1'), lasting('job1', 1_000));
  const { inFlight, ...rest } = claimed.state;
  expect(inFlight?.postCommit).to.deep.include({ kind: 'start', task: TASK, attempt: 1 });
  expect(foundIn(claimed, rest)).to.deep.equal(['unorderedClaim']);
});

// Guards against a check that misses a silent worker whose lease has ended, and a wait without a pass.
it('siminvariants: an expired worker and a wait without a pass are found', () => {
  const fixture = running();
  const late = { ...fixture, nowMs: fixture.nowMs + 20_000 };
  expect(foundIn(late, fixture.state)).to.deep.equal(['expiredWorker']);
  const waiting = submit(advance(createLeader(), 100), lasting('job1', 1_000));
  const idle = { ...waiting.state, needsPlacement: false, placeAgainAtMs: Infinity };
  expect(foundIn(waiting, idle)).to.deep.equal(['noPass']);
});
