import { expect } from 'chai';
import { createRunner } from '@bronzeyoke/runner';
import type { Fixture } from './fixture';
import {
  answerHold,
  callIdOf,
  createLeased,
  dispatch,
  goneKeysOf,
  KEY,
  LEADER,
  LISTED,
  MAX_LEASE_MS,
  order,
  refuseHold,
  repeatHolds,
  REPORT,
  reportsOf,
  TASK,
} from './fixture';

// Guards against a start that the worker performs without a lease.
it('agent: a start without a lease is refused', () => {
  const settings = { agentId: 'a1', firstToken: 100, seeds: [], maxLeaseMs: MAX_LEASE_MS };
  const start = { state: createRunner(settings), effects: [], nowMs: 0 };
  const linked = dispatch(answerHold(dispatch(start, { kind: 'heartbeat', report: REPORT })), {
    kind: 'linkOpened',
  });
  const refused = order(linked);
  expect(callIdOf(refused, 'start')).to.equal('none');
  expect(
    refused.effects.some((effect) => effect.kind === 'send' && effect.message.kind === 'refused'),
  ).to.equal(true);
});

// Guards against new work for a worker that is leaving.
it('agent: a draining worker gets no start', () => {
  const draining = { ...REPORT, isDraining: true, sequence: 2 };
  const fixture = order(dispatch(createLeased(), { kind: 'heartbeat', report: draining }));
  expect(callIdOf(fixture, 'start')).to.equal('none');
});

// Guards against a late order that takes effect after the task was assigned elsewhere.
it('agent: an order without a reply raises the token and stays pending', () => {
  const ordered = order(createLeased());
  const callId = callIdOf(ordered, 'start');
  const lost = dispatch(ordered, { kind: 'callDone', callId, result: { kind: 'lost' } });
  expect(lost.state.token).to.equal(101);
  const stale = answerHold(lost);
  expect(reportsOf(stale)[0]?.pending).to.have.length(1);
  const next = dispatch(stale, { kind: 'tick' }, 60);
  expect(reportsOf(answerHold(next))[0]?.pending).to.have.length(0);
});

// Guards against an order that stays pending for good, so that the leader never places its task again.
it('agent: a start call without a result is settled by a list under a higher token', () => {
  const message = { kind: 'leader', term: 1, ...LEADER } as const;
  const listed = answerHold(order(createLeased()));
  const waiting = answerHold(dispatch(listed, { kind: 'received', message }, 1_600));
  expect(reportsOf(waiting)[0]?.pending).to.have.length(1);
  const overdue = dispatch(waiting, { kind: 'tick' }, 100);
  expect(overdue.state.token).to.equal(101);
  const stale = answerHold(overdue);
  const next = dispatch(stale, { kind: 'tick' }, 60);
  expect(reportsOf(answerHold(next))[0]?.pending).to.have.length(0);
});

// Guards against an agent that lists no runs for good, so that its worker gets no lease any more.
it('agent: a hold without a result is followed by another one', () => {
  const open = dispatch(answerHold(createLeased()), { kind: 'tick' }, 60);
  const waiting = dispatch(open, { kind: 'tick' }, 1_990);
  expect(callIdOf(waiting, 'hold')).to.equal('none');
  const lost = dispatch(waiting, { kind: 'tick' }, 10);
  expect(callIdOf(dispatch(lost, { kind: 'tick' }, 120), 'hold')).not.to.equal('none');
});

// Guards against a result that comes after its call counted as lost and is taken for that of another.
it('agent: a late result of a lost start changes nothing', () => {
  const ordered = order(createLeased());
  const callId = callIdOf(ordered, 'start');
  const lost = dispatch(ordered, { kind: 'tick' }, 1_700);
  const result = { kind: 'done', clockMs: 50 } as const;
  const late = dispatch(lost, { kind: 'callDone', callId, result });
  expect(late.state.worker?.pending).to.equal(lost.state.worker?.pending);
  expect(late.state.token).to.equal(lost.state.token);
});

// Guards against a run that is reported missing because the list predates its start.
it('agent: a started run is pending until a later list', () => {
  const ordered = order(createLeased());
  const callId = callIdOf(ordered, 'start');
  const done = { kind: 'done', clockMs: 50 } as const;
  const started = dispatch(ordered, { kind: 'callDone', callId, result: done });
  expect(reportsOf(answerHold(started))[0]?.pending).to.have.length(1);
  const next = dispatch(answerHold(started), { kind: 'tick' }, 60);
  const seen = reportsOf(answerHold(next, { running: [LISTED] }))[0];
  expect(seen?.pending).to.have.length(0);
  expect(seen?.running).to.have.length(1);
});

// Guards against a worker that counts as gone while its lease holds, and against one that is never
// removed.
it('agent: a worker that refuses connections is gone once its lease has ended', () => {
  const replied = repeatHolds(createLeased(), 8_000, (current) => answerHold(current)).at(-1);
  const fixture = replied ?? createLeased();
  const granted = dispatch(fixture, {
    kind: 'received',
    message: { kind: 'grant', workerKey: KEY, leaseUntilClockMs: fixture.nowMs + 4_900 },
  });
  const answered = answerHold(dispatch(granted, { kind: 'tick' }, 60));
  const steps = repeatHolds(answered, 4_000, refuseHold);
  const isGone = ({ state }: Fixture): boolean => state.worker === undefined;
  const goneAfterMs = (steps.find(isGone)?.nowMs ?? Infinity) - answered.nowMs;
  expect(goneAfterMs).to.be.within(3_000 / 0.98, 3_400);
  expect(steps.flatMap(goneKeysOf)).to.include(KEY);
});

// Guards against a late heartbeat that restores an ended instance.
it('agent: a heartbeat of an earlier instance is ignored', () => {
  const later = { ...REPORT, bornAtMs: 900, sequence: 1 };
  const heard = dispatch(createLeased(), { kind: 'heartbeat', report: later });
  const taken = answerHold(answerHold(heard, { bornAtMs: 900 }), { bornAtMs: 900 });
  const late = dispatch(taken, { kind: 'heartbeat', report: { ...REPORT, sequence: 9 } });
  const fixture = answerHold(dispatch(late, { kind: 'tick' }, 50), { bornAtMs: 900 });
  expect(fixture.state.worker?.report.bornAtMs).to.equal(900);
});

// Guards against an agent that connects to a replaced leader.
it('agent: an older term does not change the leader', () => {
  const fixture = dispatch(createLeased(), {
    kind: 'leader',
    term: 3,
    address: { host: 'h2', port: 1 },
  });
  const stale = dispatch(fixture, { kind: 'leader', term: 2, address: { host: 'h3', port: 1 } });
  expect(stale.state.target?.host).to.equal('h2');
});

// Guards against a connection that stays silent forever.
it('agent: a connection without replies from the leader is replaced', () => {
  const silent = dispatch(createLeased(), { kind: 'tick' }, 1_600);
  expect(silent.effects.some(({ kind }) => kind === 'connect')).to.equal(true);
});

// Guards against agents that leave a leader whose load takes long, and then try entries that are down.
it('agent: a leader that still loads keeps the connection', () => {
  const message = { kind: 'leader', term: 1, ...LEADER } as const;
  const loading = dispatch(createLeased(), { kind: 'received', message }, 1_400);
  const later = dispatch(loading, { kind: 'tick' }, 1_400);
  expect(later.effects.some(({ kind }) => kind === 'connect')).to.equal(false);
});

/** Returns an agent that has reported a list, and whose leader asks for a report every 500 ms. */
function reportingRarely(): Fixture {
  const message = {
    kind: 'grant',
    workerKey: KEY,
    leaseUntilClockMs: 9_000,
    reportIntervalMs: 500,
  } as const;
  return answerHold(dispatch(createLeased(), { kind: 'received', message }), { running: [LISTED] });
}

// Guards against a leader that reports of a large fleet keep from everything else.
it('agent: lists without news are reported as often as the leader asks for', () => {
  const early = answerHold(dispatch(reportingRarely(), { kind: 'tick' }, 100), {
    running: [LISTED],
  });
  expect(reportsOf(early)).to.have.length(0);
  const late = answerHold(dispatch(early, { kind: 'tick' }, 500), { running: [LISTED] });
  expect(reportsOf(late)).to.have.length(1);
});

// Guards against a stage that waits for a report although the tasks before it have ended.
it('agent: an end is reported at once', () => {
  const ended = { sequence: 1, task: TASK, attempt: 1, end: 'done', checkpoint: '' } as const;
  const next = answerHold(dispatch(reportingRarely(), { kind: 'tick' }, 100), { ended: [ended] });
  expect(reportsOf(next)).to.have.length(1);
});

// Guards against a leader that places tasks by a room that has shrunk until the next regular report.
it('agent: another room is reported at once', () => {
  const capacity = { ...REPORT.capacity, processorsMilli: 1_000 };
  const heartbeat = { kind: 'heartbeat', report: { ...REPORT, capacity, sequence: 2 } } as const;
  const reports = reportsOf(dispatch(createLeased(), heartbeat));
  expect(reports.map(({ worker }) => worker.capacity)).to.deep.equal([capacity]);
});
