import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  advance,
  commit,
  commitAll,
  createLeader,
  dispatch,
  inFlight,
  jobOf,
  lastWritten,
  loggedFields,
  report,
  sentMessages,
  stageOf,
  submit,
  WALL_MS,
} from './fixture';

const GAP_MS = 20_000;

function suspend(fixture: Fixture): Fixture {
  return dispatch(fixture, { kind: 'clockGap', gapMs: GAP_MS });
}

function grantsOf(fixture: Fixture): number {
  return sentMessages(fixture, 'grant').length;
}

// Guards against a second run of a task: a leader whose clock stood still while its machine was suspended
// would grant leases that its successor does not count.
it('clock gap: a leader grants nothing until a renewal that was sent after it is stored', () => {
  const leader = report(createLeader(), 'w1');
  const woken = suspend(advance(leader, 100));
  const reported = report(woken, 'w1', { clockMs: 99_000 });
  expect(grantsOf(reported)).to.equal(grantsOf(leader));
  const renewed = commitAll(advance(reported, 50));
  expect(grantsOf(renewed)).to.equal(grantsOf(leader) + 1);
  expect(loggedFields(renewed, 'clockGap')).to.deep.equal([{ gapMs: GAP_MS, phase: 'leading' }]);
});

// Guards against a renewal that was stored before a long suspension and is counted from its end.
it('clock gap: the reply to a renewal from before it allows no grants', () => {
  const leader = report(createLeader(), 'w1');
  const renewing = advance(leader, 500);
  expect(inFlight(renewing).transaction.writes).to.have.length.greaterThan(0);
  const answered = commit(suspend(renewing));
  const reported = report(answered, 'w1', { clockMs: 99_000 });
  expect(grantsOf(reported)).to.equal(grantsOf(renewing));
  expect(grantsOf(commitAll(advance(reported, 50)))).to.equal(grantsOf(renewing) + 1);
});

// Guards against the same after a reply that tells that the first attempt at the renewal took effect.
it('clock gap: a renewal from before it that took effect allows no grants', () => {
  const renewing = suspend(advance(report(createLeader(), 'w1'), 500));
  const { callId, transaction } = inFlight(renewing);
  const rows = transaction.writes.flatMap((write) =>
    write.kind === 'put' && write.table === 'lease' ? [{ ...write, version: 77 }] : [],
  );
  const leader = { table: 'leader', partition: 'main', key: 'leader', version: 11 };
  const value = renewing.state.leader;
  const result = { kind: 'conflict', rows: [{ ...leader, value }, ...rows] } as const;
  const event = { kind: 'commitDone', callId, result, wallMs: WALL_MS } as const;
  const settled = dispatch(renewing, event);
  expect(settled.state.phase).to.equal('leading');
  expect(settled.state.mayGrantUntilMs).to.be.at.most(settled.nowMs);
});

// Guards against a start order of a leader that may have been replaced while it was suspended.
it('clock gap: a held start is not ordered before the next renewal', () => {
  const claimed = submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const held = commitAll(dispatch(claimed, { kind: 'linkClosed', linkId: 'link-w1' }));
  const back = report(suspend(held), 'w1', { link: 'link-new', clockMs: 99_000 });
  expect(sentMessages(back, 'start')).to.have.length(0);
  expect(sentMessages(commitAll(advance(back, 50)), 'start')).to.have.length(1);
});

// Guards against a leader that stays without the right to grant after a step of the time of day.
it('clock gap: a leader renews at once, and any other entry goes on', () => {
  const woken = advance(suspend(report(createLeader(), 'w1')), 0);
  expect(lastWritten(woken, { table: 'lease', partition: 'main', key: 'lease' })).to.include({
    number: woken.state.leaseNumber + 1,
  });
});
