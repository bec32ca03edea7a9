import { expect } from 'chai';
import type { WorkerReport } from '@bronzeyoke/ports';
import type { Fixture } from './fixture';
import {
  answer,
  answerHold,
  callIdOf,
  crash,
  createLeased,
  dispatch,
  goneCausesOf,
  goneKeysOf,
  hear,
  KEY,
  LISTED,
  loseHold,
  openHoldOf,
  refuseHold,
  repeatHolds,
  REPORT,
  reportsOf,
} from './fixture';

/** Heartbeat of another writer, at an address where no worker is. */
const ODD: WorkerReport = {
  ...REPORT,
  id: 'i-other',
  address: 'x:9',
  service: 'retired',
  bornAtMs: 900,
};

/** The next instance on the machine, at the address of the one before it. */
const NEXT: WorkerReport = { ...REPORT, id: 'i-2', bornAtMs: 900 };

/** Lets some holds of the present worker be answered. */
function goOn(fixture: Fixture, holds = 5): Fixture {
  return Array.from({ length: holds }).reduce<Fixture>(
    (current) => answerHold(dispatch(current, { kind: 'tick' }, 100), { running: [LISTED] }),
    fixture,
  );
}

// Guards against a second run of each task of a live worker after one heartbeat of another writer.
it('agent: a heartbeat of another writer leaves a worker that answers', () => {
  const heard = hear(createLeased(), ODD);
  expect(goneKeysOf(heard)).to.deep.equal([]);
  expect(heard.effects.filter(({ kind }) => kind === 'call')).to.deep.equal([]);
  const later = goOn(heard);
  expect(goneKeysOf(later)).to.deep.equal([]);
  expect(later.state.worker?.workerKey).to.equal(KEY);
  expect(later.state.worker?.running).to.deep.equal([LISTED]);
});

// Guards against a heartbeat under the id, at the address or in the service of the live worker.
it('agent: heartbeats that resemble the present worker do not replace it', () => {
  const odd = [
    NEXT,
    { ...REPORT, bornAtMs: 900 },
    { ...REPORT, service: 'retired', sequence: 9 },
    { ...REPORT, domain: 'south', isDraining: true, sequence: 9 },
    { ...REPORT, address: 'x:9', sequence: 9 },
  ];
  const later = goOn(odd.reduce(hear, createLeased()));
  expect(later.state.worker?.workerKey).to.equal(KEY);
  expect(later.state.worker?.report).to.deep.equal(REPORT);
  const heard = hear(later, { ...REPORT, sequence: 2, isDraining: true });
  expect(heard.state.worker?.report.isDraining).to.equal(true);
});

// Guards against a replacement that is seen later than its first heartbeat because others came first.
it('agent: a true successor is taken at its first heartbeat beside many odd ones', () => {
  const odd = Array.from({ length: 20 }, (_, index) => ({ ...ODD, id: `i-odd${index}` }));
  const failing = repeatHolds(createLeased(1_000), 1_000, refuseHold).at(-1) ?? createLeased();
  const gone = crash(odd.reduce(hear, failing));
  expect(gone.state.candidates.size).to.be.greaterThan(0);
  expect(goneKeysOf(gone)).to.deep.equal([KEY]);
  const refuted = Array.from({ length: 20 }).reduce<Fixture>(
    (current) => answer(current, openHoldOf(current), { kind: 'notListening' }),
    gone,
  );
  const heard = hear(refuted, NEXT);
  const listed = answer(heard, callIdOf(heard, 'hold'), {
    kind: 'done',
    clockMs: 1,
    bornAtMs: 900,
    running: [],
    ended: [],
  });
  expect(reportsOf(listed).map(({ workerKey }) => workerKey)).to.deep.equal(['i-2@900']);
});

// Guards against a leader that learns of a worker that only a heartbeat speaks of.
it('agent: an instance without a reply is not reported, and neither is its end', () => {
  const heard = hear(crash(createLeased()), ODD);
  expect(heard.state.worker).to.equal(undefined);
  const refuted = answer(heard, callIdOf(heard, 'hold'), { kind: 'notListening' });
  expect(refuted.state.worker).to.equal(undefined);
  expect([...reportsOf(refuted), ...goneKeysOf(refuted)]).to.deep.equal([]);
});

// Guards against a wait for the end of a silent connection when the next instance answers at the address.
it('agent: a successor at the address replaces a worker without a reply', () => {
  const heard = hear(loseHold(createLeased()), NEXT);
  const callId = callIdOf(heard, 'hold');
  const listed = answer(heard, callId, { kind: 'done', clockMs: 1, bornAtMs: 900 });
  expect(goneKeysOf(listed)).to.deep.equal([KEY]);
  expect(listed.state.worker?.workerKey).to.equal('i-2@900');
});

// Guards against a live worker that is given up for another one because some of its calls got lost, and
// against an instance that is never taken.
it('agent: an instance elsewhere under another id is taken once the lease has ended', () => {
  const elsewhere = { ...NEXT, address: 'w:2' };
  const steps = repeatHolds(loseHold(createLeased()), 11_000, (current) =>
    hear(loseHold(current), { ...elsewhere, sequence: current.nowMs }),
  );
  const isAsked = ({ state }: Fixture): boolean =>
    state.candidates.some(({ phase }) => phase === 'asked');
  const asked = steps.find(isAsked) ?? createLeased();
  expect(asked.state.worker).to.equal(undefined);
  const listed = answer(asked, openHoldOf(asked), { kind: 'done', clockMs: 1, bornAtMs: 900 });
  expect(listed.state.worker?.workerKey).to.equal('i-2@900');
});

// Guards against a wait for the end of the lease of an instance that has a successor elsewhere.
it('agent: a later birth under the id replaces a worker without a reply at any address', () => {
  const later = { ...REPORT, bornAtMs: 900, address: 'w:2' };
  const heard = hear(loseHold(createLeased()), later);
  const callId = callIdOf(heard, 'hold');
  const listed = answer(heard, callId, { kind: 'done', clockMs: 1, bornAtMs: 900 });
  expect(goneKeysOf(listed)).to.deep.equal([KEY]);
  expect(listed.state.worker?.workerKey).to.equal('i-1@900');
  const earlier = hear(loseHold(createLeased()), { ...later, bornAtMs: 3 });
  expect(callIdOf(earlier, 'hold')).to.equal('none');
});

// Guards against the end of a worker that has moved, by what answers at its former address.
it('agent: an answer at a former address says nothing of the worker', () => {
  const failing = dispatch(loseHold(createLeased()), { kind: 'tick' }, 200);
  const former = failing.state.holdCallId ?? 'none';
  const heard = hear(failing, { ...REPORT, address: 'w:2', sequence: 2 });
  const moved = answer(heard, callIdOf(heard, 'hold'), { kind: 'done', clockMs: 90, bornAtMs: 5 });
  expect(moved.state.worker?.report.address).to.equal('w:2');
  const late = answer(moved, former, { kind: 'otherWorker' });
  expect(late.state.worker?.workerKey).to.equal(KEY);
  expect(goneKeysOf(late)).to.deep.equal([]);
});

// Guards against the loss of a worker for good whose port was closed for a moment.
it('agent: a recorded worker that refused connections is taken again once it replies', () => {
  const gone = crash(createLeased());
  const message = { kind: 'goneRecorded', workerKey: KEY } as const;
  const recorded = dispatch(gone, { kind: 'received', message });
  const heard = hear(recorded, { ...REPORT, sequence: 2 });
  const listed = answerHold(heard, { running: [LISTED] });
  expect(reportsOf(listed).map(({ workerKey }) => workerKey)).to.deep.equal([KEY]);
  expect(goneKeysOf(dispatch(listed, { kind: 'tick' }, 1_100))).to.deep.equal([]);
});

// Guards against an agent that never takes its worker because an earlier agent used a higher token.
it('agent: a candidate that knows a higher token is asked again with one above it', () => {
  const heard = hear(crash(createLeased()), NEXT);
  const refused = answer(heard, callIdOf(heard, 'hold'), { kind: 'refused', reason: 'fenced' });
  const tokens = refused.effects.flatMap((effect) =>
    effect.kind === 'call' ? [effect.call.fencingToken] : [],
  );
  expect(tokens.every((token) => token > 1_000_000)).to.equal(true);
  const callId = callIdOf(refused, 'hold');
  const listed = answer(refused, callId, { kind: 'done', clockMs: 1, bornAtMs: 900 });
  expect(listed.state.worker?.workerKey).to.equal('i-2@900');
});

// Guards against tasks that are blamed for the end of a worker that said that it leaves, and against a
// message of another writer that hides a crash.
it('agent: a message that a worker leaves decides the cause of its end until a later reply', () => {
  const told = dispatch(createLeased(), { kind: 'workerLeft', id: REPORT.id });
  expect(goneKeysOf(told)).to.deep.equal([]);
  expect(goneCausesOf(crash(told))).to.deep.equal(['left']);
  const alive = goOn(told);
  expect(alive.state.worker?.workerKey).to.equal(KEY);
  expect(goneCausesOf(crash(alive))).to.deep.equal(['crashed']);
});
