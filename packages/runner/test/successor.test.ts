import { expect } from 'chai';
import type { WorkerCall } from '@bronzeyoke/ports';
import type { RunRef } from '@bronzeyoke/wire';
import { createRunner } from '@bronzeyoke/runner';
import type { Fixture } from './fixture';
import {
  answer,
  answerHold,
  callIdOf,
  crash,
  createLeased,
  dispatch,
  endHold,
  goneKeysOf,
  KEY,
  LISTED,
  MAX_LEASE_MS,
  order,
  repeatHolds,
  REPORT,
  reportsOf,
} from './fixture';

const LATER = { ...REPORT, bornAtMs: 900, sequence: 1 };
const LATER_KEY = 'i-1@900';

/** Longest time for which an agent reckons with the late effect of a start call. */
const LATE_CALL_MS = 3_000;

function hearLater(fixture: Fixture): Fixture {
  return dispatch(fixture, { kind: 'heartbeat', report: LATER });
}

/** Lets the later instance send a heartbeat and answer the open hold to the earlier one. */
function restart(fixture: Fixture): Fixture {
  return answerHold(hearLater(fixture), { bornAtMs: 900 });
}

function tickAt(fixture: Fixture, atMs: number): Fixture {
  return dispatch(fixture, { kind: 'tick' }, atMs - fixture.nowMs);
}

/** Longest lease of a worker that accepts only short ones. */
const SHORT_LEASE_MS = 1_000;

/** Delivers a start order to a worker that has not answered for most of its lease. */
function orderLate(): Fixture {
  const leased = createLeased(SHORT_LEASE_MS);
  const silent = repeatHolds(leased, 1_700, (current) => current).at(-1);
  return order(silent ?? leased);
}

function callsOf(fixture: Fixture, kind: WorkerCall['kind']): readonly WorkerCall[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'call' && effect.call.kind === kind ? [effect.call] : [],
  );
}

/** Returns the kinds and worker keys of the messages that the last step sent. */
function sentOf(fixture: Fixture): readonly string[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'send' && 'workerKey' in effect.message
      ? [`${effect.message.kind} ${effect.message.workerKey}`]
      : [],
  );
}

/** Returns the runs that may still begin, as the last step told the leader. */
function openRunsOf(fixture: Fixture): readonly RunRef[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'workerEnded' ? effect.message.openRuns : [],
  );
}

// Guards against runs that wait with an ended worker for a start order that is not theirs, and against
// a new leader that does not learn which ones may still begin.
it('agent: a new leader learns which runs of an ended worker may still begin', () => {
  const restarted = restart(order(createLeased()));
  const linked = dispatch(dispatch(restarted, { kind: 'linkClosed' }), { kind: 'linkOpened' });
  expect(openRunsOf(linked)).to.deep.equal([{ task: LISTED.task, attempt: LISTED.attempt }]);
});

// Guards against a task that is blamed for a crash although the worker never began it.
it('agent: a crash names the runs that had just begun, with their ages', () => {
  const ordered = order(createLeased());
  const started = answer(ordered, callIdOf(ordered, 'start'), { kind: 'done', clockMs: 70 });
  const lost = answer(started, started.state.holdCallId ?? 'none', { kind: 'lost' });
  const gone = crash(dispatch(lost, { kind: 'tick' }, 200));
  const ends = gone.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'workerGone' ? [effect.message] : [],
  );
  expect(ends).to.deep.equal([
    {
      kind: 'workerGone',
      workerKey: KEY,
      cause: 'crashed',
      reason: 'leaseEnded',
      recentStarts: [{ task: LISTED.task, attempt: LISTED.attempt, ageMs: 20 }],
    },
  ]);
  const refused = order(createLeased());
  const unheard = answer(refused, callIdOf(refused, 'start'), { kind: 'notListening' });
  const ended = crash(unheard);
  const told = ended.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'workerGone'
      ? [effect.message.recentStarts]
      : [],
  );
  expect(told).to.deep.equal([[]]);
});

// Guards against a task that ran twice and whose release can't be traced to the sign behind it.
it('agent: the log line of an end tells what it rests on', () => {
  const lost = answer(createLeased(), 'hold-1', { kind: 'lost' });
  const gone = crash(dispatch(lost, { kind: 'tick' }, 200));
  const lines = gone.effects.flatMap((effect) =>
    effect.kind === 'log' && effect.event === 'workerGone' ? [effect.fields] : [],
  );
  expect(lines).to.have.length(1);
  expect(lines[0]).to.include({ replyAgeMs: 10_360, heartbeatAgeMs: 10_360 });
  expect(lines[0]).to.include({ lostCalls: 1, leaseLeftMs: 0 });
  expect(lines[0]?.refusedCalls).to.be.greaterThan(10);
});

// Guards against a second run of a task whose late start order a restarted worker carries out.
it('agent: a later instance gets a higher token than all calls to the earlier one', () => {
  const restarted = restart(order(createLeased()));
  expect(callsOf(restarted, 'hold').map(({ fencingToken }) => fencingToken)).to.deep.equal([101]);
});

/** Returns an agent whose worker was restarted during a start call, which then gets lost. */
function restartOrdered(): Fixture {
  const ordered = order(createLeased());
  return answer(restart(ordered), callIdOf(ordered, 'start'), { kind: 'lost' });
}

// Guards against a task that is placed elsewhere while the order for it is still on its way.
it('agent: an earlier instance is gone once its successor lists no run', () => {
  const restarted = restart(order(createLeased()));
  expect(sentOf(restarted)).to.deep.equal([`workerEnded ${KEY}`]);
  expect(openRunsOf(restarted)).to.deep.equal([{ task: LISTED.task, attempt: LISTED.attempt }]);
  const listed = answerHold(restartOrdered(), { bornAtMs: 900 });
  expect(sentOf(listed)).to.deep.equal([`report ${LATER_KEY}`, `workerGone ${KEY}`]);
});

// Guards against a task that is placed elsewhere while a restarted worker runs it after a late order.
it('agent: a run that a late order started is stopped before the earlier instance is gone', () => {
  const listed = answerHold(restartOrdered(), { bornAtMs: 900, running: [LISTED] });
  expect(sentOf(listed)).to.deep.equal([]);
  expect(callsOf(listed, 'stop')).to.deep.equal([
    { kind: 'stop', task: LISTED.task, attempt: LISTED.attempt, fencingToken: 101 },
  ]);
  const again = dispatch(listed, { kind: 'tick' }, 250);
  expect(callsOf(again, 'hold').map((call) => call.kind === 'hold' && call.waitMs)).to.deep.equal([
    0,
  ]);
  const stopped = answerHold(again, { bornAtMs: 900 });
  expect(sentOf(stopped)).to.deep.equal([`report ${LATER_KEY}`, `workerGone ${KEY}`]);
});

// Guards against an order to an earlier instance that the successor of its successor carries out, because
// the successor crashes before the order reaches it.
it('agent: a list does not settle a start call to the earlier instance that has no result', () => {
  const ordered = order(createLeased());
  const waiting = answerHold(restart(ordered), { bornAtMs: 900 });
  expect(sentOf(waiting)).to.deep.equal([]);
  const again = answerHold(dispatch(waiting, { kind: 'tick' }, 250), { bornAtMs: 900 });
  expect(sentOf(again)).to.deep.equal([]);
  const result = { kind: 'refused', reason: 'fenced' } as const;
  const refused = answer(again, callIdOf(ordered, 'start'), result);
  expect(sentOf(refused)).to.deep.equal([`workerGone ${KEY}`]);
  const listed = answerHold(dispatch(refused, { kind: 'tick' }, 250), { bornAtMs: 900 });
  expect(sentOf(listed)).to.deep.equal([`report ${LATER_KEY}`]);
});

// Guards against an agent that stops the runs of its worker because the agent itself was restarted.
it('agent: runs in the first list that an agent sees go on', () => {
  const settings = { agentId: 'a1', firstToken: 100, seeds: [], maxLeaseMs: MAX_LEASE_MS };
  const start = { state: createRunner(settings), effects: [], nowMs: 0 };
  const linked = dispatch(dispatch(start, { kind: 'linkOpened' }), {
    kind: 'heartbeat',
    report: REPORT,
  });
  const listed = answerHold(linked, { running: [LISTED] });
  expect(callsOf(listed, 'stop')).to.deep.equal([]);
  expect(reportsOf(listed)[0]?.running).to.deep.equal([LISTED]);
});

// Guards against an end of the earlier instance that is reported on a tick or a new connection.
it('agent: an earlier instance stays unreported until its successor has replied', () => {
  const restarted = restart(order(createLeased()));
  const ticked = dispatch(restarted, { kind: 'tick' }, LATE_CALL_MS + 1);
  const linked = dispatch(dispatch(ticked, { kind: 'linkClosed' }), { kind: 'linkOpened' });
  expect([...goneKeysOf(ticked), ...goneKeysOf(linked)]).to.deep.equal([]);
  const listed = answerHold(linked, { bornAtMs: 900 });
  expect(goneKeysOf(listed)).to.deep.equal([KEY]);
});

// Guards against a new leader that releases the runs of the earlier instance before it knows the later
// one.
it('agent: a new connection gets the report before the gone workers', () => {
  const listed = answerHold(restartOrdered(), { bornAtMs: 900 });
  const linked = dispatch(dispatch(listed, { kind: 'linkClosed' }), { kind: 'linkOpened' });
  expect(sentOf(linked)).to.deep.equal([`report ${LATER_KEY}`, `workerGone ${KEY}`]);
});

// Guards against a needless wait for a list when no order can be on its way.
it('agent: a restarted worker without open orders has its earlier instance reported at once', () => {
  expect(goneKeysOf(restart(createLeased()))).to.deep.equal([KEY]);
});

// Guards against a reply of the later instance that settles an order to the earlier one.
it('agent: a worker that answers with a later birth is not reported as gone before the list', () => {
  const ordered = order(createLeased());
  const callId = callIdOf(ordered, 'start');
  const started = answer(ordered, callId, { kind: 'done', clockMs: 20 });
  const answered = answerHold(started, { bornAtMs: 900, running: [LISTED] });
  expect(goneKeysOf(answered)).to.deep.equal([]);
  const heard = hearLater(answered);
  expect(goneKeysOf(heard)).to.deep.equal([]);
  expect(goneKeysOf(answerHold(heard, { bornAtMs: 900 }))).to.deep.equal([KEY]);
});

// Guards against an order that the next instance carries out after the task was placed elsewhere, and
// against tasks of a crashed worker that wait for an instance that never comes.
it('agent: a worker gone during a start call is reported once the call can have no late effect', () => {
  const ordered = orderLate();
  const gone = crash(ordered);
  expect(gone.state.worker).to.equal(undefined);
  expect(goneKeysOf(gone)).to.deep.equal([]);
  const lateAtMs = ordered.nowMs + LATE_CALL_MS;
  const early = tickAt(gone, lateAtMs - 20);
  const linked = dispatch(early, { kind: 'linkOpened' });
  expect([...goneKeysOf(early), ...goneKeysOf(linked)]).to.deep.equal([]);
  expect(goneKeysOf(tickAt(linked, lateAtMs))).to.deep.equal([KEY]);
});

// Guards against a start call without a reply that is taken for one without an effect.
it('agent: a lost start call keeps a gone worker unreported, a refused one does not', () => {
  const ordered = orderLate();
  const callId = callIdOf(ordered, 'start');
  const gone = crash(ordered);
  expect(goneKeysOf(answer(gone, callId, { kind: 'lost' }))).to.deep.equal([]);
  expect(goneKeysOf(answer(gone, callId, { kind: 'done', clockMs: 20 }))).to.deep.equal([]);
  const refused = answer(gone, callId, { kind: 'refused', reason: 'tooLate' });
  expect(goneKeysOf(refused)).to.deep.equal([KEY]);
  const unsent = answer(gone, callId, { kind: 'notListening' });
  expect(goneKeysOf(unsent)).to.deep.equal([KEY]);
});

// Guards against a wait for a start that was answered before its worker stopped listening.
it('agent: a crash after a start that was carried out is reported at once', () => {
  const ordered = order(createLeased());
  const callId = callIdOf(ordered, 'start');
  const started = answer(ordered, callId, { kind: 'done', clockMs: 20 });
  expect(goneKeysOf(crash(started))).to.deep.equal([KEY]);
});

// Guards against a successor that crashes before its first list and leaves the wait without an end.
it('agent: a successor that is gone before its first list does not prolong the wait', () => {
  const restarted = restart(order(createLeased()));
  const gone = endHold(restarted, { kind: 'notListening' });
  // It never replied, so its heartbeat may have been one of another writer.
  expect(goneKeysOf(gone)).to.deep.equal([]);
  const late = dispatch(gone, { kind: 'tick' }, LATE_CALL_MS);
  expect(goneKeysOf(late)).to.include(KEY);
});

// Guards against a wait for an instance that cannot carry the order out, because the call names
// another id.
it('agent: an instance under another id ends the wait', () => {
  const gone = crash(orderLate());
  const other = dispatch(gone, { kind: 'heartbeat', report: { ...LATER, id: 'i-2' } });
  expect(goneKeysOf(other)).to.deep.equal([]);
  expect(goneKeysOf(answerHold(other, { bornAtMs: 900 }))).to.deep.equal([KEY]);
});

const EARLIER = { ...REPORT, bornAtMs: 3, sequence: 1 };

function confirmedGone(fixture: Fixture): Fixture {
  return dispatch(fixture, {
    kind: 'received',
    message: { kind: 'goneRecorded', workerKey: KEY },
  });
}

// Guards against a worker that is ignored for good because the machine's clock was set back.
it('agent: a worker born earlier is taken once its reply shows its birth', () => {
  const gone = confirmedGone(crash(createLeased()));
  const seen = dispatch(gone, { kind: 'heartbeat', report: EARLIER });
  expect(reportsOf(seen)).to.deep.equal([]);
  const listed = answerHold(seen, { bornAtMs: 3 });
  expect(reportsOf(listed).map(({ workerKey }) => workerKey)).to.deep.equal(['i-1@3']);
});

// Guards against a worker that is ignored because another one answered before its heartbeat came.
it('agent: a worker born earlier that answers at the address is taken', () => {
  const answered = answerHold(createLeased(), { bornAtMs: 3 });
  expect(goneKeysOf(answered)).to.deep.equal([KEY]);
  const listed = answerHold(dispatch(answered, { kind: 'heartbeat', report: EARLIER }), {
    bornAtMs: 3,
  });
  expect(reportsOf(listed).map(({ workerKey }) => workerKey)).to.deep.equal(['i-1@3']);
});

// Guards against an ended instance that a late heartbeat restores after its successor is gone.
it('agent: a late heartbeat of an ended instance leads to no report', () => {
  const gone = crash(createLeased());
  const late = dispatch(gone, { kind: 'heartbeat', report: EARLIER });
  const answered = answerHold(late, { bornAtMs: 900 });
  expect(reportsOf(answered)).to.deep.equal([]);
  const present = answerHold(hearLater(answered), { bornAtMs: 900 });
  expect(reportsOf(present).map(({ workerKey }) => workerKey)).to.deep.equal([LATER_KEY]);
  const again = dispatch(present, { kind: 'heartbeat', report: { ...EARLIER, sequence: 2 } });
  expect(again.state.worker?.workerKey).to.equal(LATER_KEY);
});

// Guards against a late heartbeat that keeps the present worker out.
it('agent: a late heartbeat without a reply does not keep a later instance out', () => {
  const late = dispatch(crash(createLeased()), { kind: 'heartbeat', report: EARLIER });
  const heard = hearLater(late);
  const refuted = answerHold(heard, { bornAtMs: 900 });
  expect(refuted.state.worker).to.equal(undefined);
  const listed = answerHold(refuted, { bornAtMs: 900 });
  expect(listed.state.worker?.workerKey).to.equal(LATER_KEY);
});

// Guards against an order of the earlier instance that a worker born earlier carries out.
it('agent: a worker born earlier gets a higher token, and its late runs are stopped', () => {
  const gone = crash(orderLate());
  const seen = dispatch(gone, { kind: 'heartbeat', report: EARLIER });
  expect(callsOf(seen, 'hold').map(({ fencingToken }) => fencingToken)).to.deep.equal([101]);
  const listed = answerHold(seen, { bornAtMs: 3, running: [LISTED] });
  expect(sentOf(listed)).to.deep.equal([]);
  expect(callsOf(listed, 'stop')).to.have.length(1);
});

// Guards against a late heartbeat under another id that ends the wait for late orders.
it('agent: an instance born earlier under another id does not end the wait', () => {
  const gone = crash(orderLate());
  const other = dispatch(gone, { kind: 'heartbeat', report: { ...EARLIER, id: 'i-0' } });
  expect(goneKeysOf(other)).to.deep.equal([]);
  expect(goneKeysOf(answerHold(other, { bornAtMs: 3 }))).to.deep.equal([]);
});

/** The success of the only order, as the later instance lists it. */
const SUCCESS = {
  sequence: 1,
  task: LISTED.task,
  attempt: 1,
  end: 'done',
  checkpoint: '',
} as const;

/** Returns an agent whose later instance lists the success of an order to the earlier one. */
function createSucceeded(): Fixture {
  const ordered = order(createLeased());
  const started = answer(ordered, callIdOf(ordered, 'start'), { kind: 'done', clockMs: 70 });
  const asked = dispatch(restart(started), { kind: 'tick' });
  return answerHold(asked, { bornAtMs: 900, clockMs: 300, ended: [SUCCESS] });
}

// Guards against a leader that learns of the end of the ordered instance before it has seen the later one's
// list, and starts a task again that has succeeded.
it('agent: a run whose end a later instance lists stays open until the end is acknowledged', () => {
  const succeeded = createSucceeded();
  expect(goneKeysOf(succeeded)).to.deep.equal([]);
  const next = dispatch(dispatch(succeeded, { kind: 'linkClosed' }), { kind: 'linkOpened' });
  expect(goneKeysOf(next)).to.deep.equal([]);
  expect(openRunsOf(next)).to.deep.equal([{ task: LISTED.task, attempt: LISTED.attempt }]);
  const message = { kind: 'acknowledge', workerKey: LATER_KEY, sequence: 1 } as const;
  const acknowledged = dispatch(
    dispatch(next, { kind: 'received', message }),
    { kind: 'tick' },
    300,
  );
  const dropped = answerHold(acknowledged, { bornAtMs: 900, clockMs: 700 });
  expect(goneKeysOf(dropped)).to.deep.equal([KEY]);
});
