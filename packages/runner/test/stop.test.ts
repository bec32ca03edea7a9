import { expect } from 'chai';
import { createRunner } from '@bronzeyoke/runner';
import type { Fixture } from './fixture';
import {
  answerHold,
  callIdOf,
  crash,
  createLeased,
  dispatch,
  endHold,
  goneKeysOf,
  KEY,
  MAX_LEASE_MS,
  order,
  REPORT,
  reportsOf,
  TASK,
} from './fixture';

/** Returns an agent whose worker has announced its end. */
function createDraining(): Fixture {
  const report = { ...REPORT, isDraining: true, sequence: 2 };
  return dispatch(createLeased(), { kind: 'heartbeat', report });
}

/** Returns an agent whose worker left while no leader was connected. */
function createLeft(): Fixture {
  const alone = dispatch(createDraining(), { kind: 'linkClosed' });
  return crash(dispatch(alone, { kind: 'workerLeft', id: 'i-1' }));
}

// Guards against tasks that wait for a lease to expire after their worker left without a leader.
it('agent: a worker that left is reported again on a new connection', () => {
  const linked = dispatch(createLeft(), { kind: 'linkOpened' });
  expect(
    linked.effects.some(
      (effect) =>
        effect.kind === 'send' &&
        effect.message.kind === 'workerGone' &&
        effect.message.workerKey === KEY,
    ),
  ).to.equal(true);
});

function confirmGone(fixture: Fixture): Fixture {
  return dispatch(fixture, {
    kind: 'received',
    message: { kind: 'goneRecorded', workerKey: KEY },
  });
}

function stop(fixture: Fixture): Fixture {
  return dispatch(fixture, { kind: 'stop', withinMs: 5_000 });
}

function isSettled(fixture: Fixture): boolean {
  return fixture.effects.some(({ kind }) => kind === 'settled');
}

function logsOf(fixture: Fixture): readonly string[] {
  return fixture.effects.flatMap((effect) => (effect.kind === 'log' ? [effect.event] : []));
}

/** Returns an agent whose worker lists an end that no leader has acknowledged. */
function createEnded(maxLeaseMs = MAX_LEASE_MS): Fixture {
  const due = dispatch(createLeased(maxLeaseMs), { kind: 'tick' }, 60);
  const end = { sequence: 3, task: TASK, attempt: 1, end: 'expired', checkpoint: '' } as const;
  return answerHold(due, { ended: [end] });
}

function acknowledge(fixture: Fixture, sequence: number): Fixture {
  const message = { kind: 'acknowledge', workerKey: KEY, sequence } as const;
  return dispatch(fixture, { kind: 'received', message });
}

// Guards against a gone worker that the leader never learns of because one message was lost, and
// against messages about it that never end.
it('agent: a gone worker is reported every second until the leader has recorded it', () => {
  const linked = dispatch(createLeft(), { kind: 'linkOpened' });
  expect(goneKeysOf(linked)).to.deep.equal([KEY]);
  const early = dispatch(linked, { kind: 'tick' }, 500);
  expect(goneKeysOf(early)).to.deep.equal([]);
  const repeated = dispatch(early, { kind: 'tick' }, 600);
  expect(goneKeysOf(repeated)).to.deep.equal([KEY]);
  const confirmed = confirmGone(repeated);
  expect(goneKeysOf(dispatch(confirmed, { kind: 'tick' }, 1_100))).to.deep.equal([]);
  const again = dispatch(dispatch(confirmed, { kind: 'linkClosed' }), { kind: 'linkOpened' });
  expect(goneKeysOf(again)).to.deep.equal([]);
});

// Guards against a late heartbeat that restores an instance once the leader has recorded its end.
it('agent: a heartbeat of a recorded gone worker is ignored', () => {
  const confirmed = confirmGone(dispatch(createLeft(), { kind: 'linkOpened' }));
  const late = dispatch(confirmed, { kind: 'heartbeat', report: { ...REPORT, sequence: 9 } });
  expect(late.state.worker).to.equal(undefined);
  const callId = callIdOf(late, 'hold');
  const refuted = dispatch(late, { kind: 'callDone', callId, result: { kind: 'otherWorker' } });
  expect(refuted.state.worker).to.equal(undefined);
});

/** Returns the holds of the last step with the ends of their leases. */
function callsOf({ effects }: Fixture): readonly string[] {
  return effects.flatMap((effect) =>
    effect.kind === 'call' && effect.call.kind === 'hold'
      ? [`hold ${effect.call.leaseUntilClockMs ?? 0}`]
      : [],
  );
}

/** Lets the call that passes the lease on get lost. */
function handOver(fixture: Fixture): Fixture {
  const callId = callIdOf(fixture, 'hold');
  return dispatch(fixture, { kind: 'callDone', callId, result: { kind: 'lost' } });
}

// Guards against a planned stop of an agent that takes longer than needed.
it('agent: a stop with nothing to settle ends at once', () => {
  const settings = { agentId: 'a1', firstToken: 100, seeds: [], maxLeaseMs: MAX_LEASE_MS };
  const stopped = stop({ state: createRunner(settings), effects: [], nowMs: 0 });
  expect(isSettled(stopped)).to.equal(true);
  expect(logsOf(stopped)).to.deep.equal([]);
});

// Guards against runs that end because their agent is restarted, and a stop that waits for a silent worker.
it('agent: a stop passes the whole lease on and ends with the result of that call', () => {
  const stopped = stop(createLeased());
  const calls = stopped.effects.flatMap((effect) => (effect.kind === 'call' ? [effect.call] : []));
  const hold = { kind: 'hold', fencingToken: 100, ackSequence: 0, waitMs: 0 };
  expect(calls).to.deep.equal([{ ...hold, leaseUntilClockMs: 5_000 }]);
  expect(isSettled(stopped)).to.equal(false);
  expect(isSettled(handOver(stopped))).to.equal(true);
  expect(logsOf(handOver(stopped))).to.deep.equal([]);
  expect(isSettled(dispatch(stopped, { kind: 'tick' }, 1_700))).to.equal(true);
});

// Guards against tasks that wait for the longest lease because the agent of a worker that left was
// stopped before it reached a leader.
it('agent: a stop waits until the leader has recorded a gone worker', () => {
  const stopped = stop(createLeft());
  expect(isSettled(stopped)).to.equal(false);
  expect(logsOf(stopped)).to.include('settling');
  const linked = dispatch(stopped, { kind: 'linkOpened' }, 2_000);
  expect(goneKeysOf(linked)).to.deep.equal([KEY]);
  expect(isSettled(linked)).to.equal(false);
  const confirmed = confirmGone(linked);
  expect(isSettled(confirmed)).to.equal(true);
  expect(logsOf(confirmed)).to.not.include('unsettled');
});

// Guards against a task that ended without a leader and is restarted late because the agent of its
// worker was stopped before the next leader came.
it('agent: a stop waits until the ends that it knows are acknowledged', () => {
  const stopped = stop(createEnded());
  expect(isSettled(stopped)).to.equal(false);
  expect(isSettled(acknowledge(stopped, 2))).to.equal(false);
  expect(callIdOf(acknowledge(stopped, 2), 'hold')).to.equal('none');
  expect(isSettled(handOver(acknowledge(stopped, 3)))).to.equal(true);
  expect(isSettled(handOver(stop(acknowledge(createEnded(), 3))))).to.equal(true);
});

// Guards against an agent beside a busy worker that never stops because some run has always ended.
it('agent: a stop does not wait for later ends', () => {
  const stopped = dispatch(stop(createEnded()), { kind: 'tick' }, 60);
  const end = { sequence: 4, task: 'job2.0.0.0', attempt: 1, end: 'done', checkpoint: '' } as const;
  const acknowledged = acknowledge(answerHold(stopped, { ended: [end] }), 3);
  expect(isSettled(handOver(acknowledged))).to.equal(true);
});

// Guards against tasks that wait for the longest lease because the agent of a worker that has left or
// crashed was stopped before that was proven.
it('agent: a stop waits until the end of a worker that has left or fails is proven or refuted', () => {
  const left = stop(dispatch(createLeased(1_000), { kind: 'workerLeft', id: REPORT.id }));
  const failing = stop(endHold(createLeased(1_000), { kind: 'notListening' }));
  [left, failing].forEach((stopped) => {
    expect(callsOf(stopped)).to.not.include('hold 5000');
    const gone = crash(stopped);
    expect(goneKeysOf(gone)).to.deep.equal([KEY]);
    expect(isSettled(gone)).to.equal(false);
    expect(isSettled(confirmGone(gone))).to.equal(true);
  });
  const replied = answerHold(dispatch(answerHold(left), { kind: 'tick' }, 60));
  expect(callsOf(replied)).to.include('hold 5000');
});

// Guards against a stop that waits for acknowledgements of a worker that is gone itself.
it('agent: a stop waits for the record of a worker that leaves meanwhile', () => {
  const report = { ...REPORT, isDraining: true, sequence: 2 };
  const draining = dispatch(stop(createEnded(1_000)), { kind: 'heartbeat', report });
  const left = crash(dispatch(draining, { kind: 'workerLeft', id: 'i-1' }));
  expect(isSettled(left)).to.equal(false);
  expect(isSettled(confirmGone(left))).to.equal(true);
});

// Guards against an agent that the platform has to kill because no leader comes, or because the
// leader is of an older version and never confirms.
it('agent: a stop ends at its deadline', () => {
  const stopped = dispatch(stop(createLeft()), { kind: 'linkOpened' });
  const before = dispatch(stopped, { kind: 'tick' }, 4_900);
  expect(isSettled(before)).to.equal(false);
  const late = dispatch(before, { kind: 'tick' }, 100);
  expect(isSettled(late)).to.equal(true);
  expect(logsOf(late)).to.include('unsettled');
});

// Guards against runs that end after a stop whose time was used up by the wait for a leader.
it('agent: a stop keeps the time to pass the lease on', () => {
  const stopped = stop(createEnded());
  const due = dispatch(stopped, { kind: 'tick' }, 4_000);
  expect(isSettled(due)).to.equal(false);
  expect(logsOf(due)).to.include('unsettled');
  expect(isSettled(handOver(due))).to.equal(true);
  expect(isSettled(dispatch(due, { kind: 'tick' }, 1_000))).to.equal(true);
});

// Guards against work that a stopping agent starts and then leaves alone, and against a leader that
// goes on offering it.
it('agent: a stopping agent starts nothing and reports its worker as draining', () => {
  const stopped = stop(createEnded());
  expect(reportsOf(stopped)[0]?.worker.isDraining).to.equal(true);
  const ordered = order(stopped);
  expect(callIdOf(ordered, 'start')).to.equal('none');
  const reasons = ordered.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'refused' ? [effect.message.reason] : [],
  );
  expect(reasons).to.deep.equal(['draining']);
});
