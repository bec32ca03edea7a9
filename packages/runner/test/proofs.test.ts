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
  goneKeysOf,
  hear,
  KEY,
  LISTED,
  loseHold,
  order,
  refuseHold,
  repeatHolds,
  REPORT,
  reportsOf,
} from './fixture';

/** Time in which a worker that does not answer may still hold a lease. */
const LEASE_HELD_MS = 2_800;

const DRAINING: WorkerReport = { ...REPORT, isDraining: true, sequence: 2 };

function leave(fixture: Fixture): Fixture {
  return dispatch(fixture, { kind: 'workerLeft', id: REPORT.id });
}

/** Returns the workers that were reported as gone or ended in some steps. */
function endsIn(steps: readonly Fixture[]): readonly string[] {
  return steps.flatMap(({ effects }) =>
    effects.flatMap((effect) => {
      if (effect.kind !== 'send') return [];
      const { message } = effect;
      return message.kind === 'workerGone' || message.kind === 'workerEnded'
        ? [message.workerKey]
        : [];
    }),
  );
}

// Guards against a second run of each task of a worker that closes its port for a moment.
it('proofs: refused connections do not end a worker whose lease holds', () => {
  const steps = repeatHolds(createLeased(), LEASE_HELD_MS, refuseHold);
  expect(endsIn(steps)).to.deep.equal([]);
  const last = steps.at(-1) ?? createLeased();
  const listed = answerHold(dispatch(last, { kind: 'tick' }, 100), { running: [LISTED] });
  expect(listed.state.worker?.workerKey).to.equal(KEY);
  expect(listed.state.worker?.running).to.deep.equal([LISTED]);
});

// Guards against a second run of each task of a draining worker that goes on after it said that it
// leaves, and of one whose draining and leave another writer has sent.
it('proofs: an announced leave does not end a worker whose lease holds', () => {
  const left = leave(hear(createLeased(), DRAINING));
  const steps = repeatHolds(left, LEASE_HELD_MS, loseHold);
  expect(endsIn([left, ...steps])).to.deep.equal([]);
});

// Guards against a second run of each task of a live worker after a message of another writer and one
// call that timed out.
it('proofs: an unannounced leave does not end a worker whose lease holds', () => {
  const left = leave(createLeased());
  const steps = repeatHolds(left, LEASE_HELD_MS, loseHold);
  expect(endsIn([left, ...steps])).to.deep.equal([]);
});

// Guards against a second run of each task of a worker that is silent while another one on the machine
// answers.
it('proofs: an answer under another id elsewhere does not end a worker whose lease holds', () => {
  const elsewhere = { ...REPORT, id: 'i-2', bornAtMs: 900, address: 'w:2' };
  const steps = repeatHolds(hear(loseHold(createLeased()), elsewhere), 1_500, loseHold);
  const last = steps.at(-1) ?? createLeased();
  const asked = last.state.candidates.find(({ callId }) => callId !== undefined);
  const result = { kind: 'done', clockMs: 1, bornAtMs: 900 } as const;
  const listed = answer(last, asked?.callId ?? 'none', result);
  expect(endsIn([...steps, listed])).to.deep.equal([]);
  expect(listed.state.worker?.workerKey).to.equal(KEY);
});

// Guards against a run that is released as never started because of a list that is older than it.
it('proofs: a list that was asked for before a start does not settle it', () => {
  const ordered = order(createLeased());
  const callId = callIdOf(ordered, 'start');
  const moved = hear(loseHold(ordered), { ...REPORT, address: 'w:2', sequence: 2 });
  const asked = callIdOf(moved, 'hold');
  const result = { kind: 'done', clockMs: 200 } as const;
  const started = answer(moved, callId, result);
  const failing = loseHold(dispatch(started, { kind: 'tick' }, 200));
  expect(failing.state.worker?.pending.size).to.equal(1);
  const list = { kind: 'done', clockMs: 150, bornAtMs: 5, running: [], ended: [] } as const;
  const listed = answer(failing, asked, list);
  expect(reportsOf(listed).map(({ pending }) => pending.length)).to.deep.equal([1]);
  expect(goneKeysOf(listed)).to.deep.equal([]);
});

// Guards against a run that is released as missing because an older list came after the one that named it.
it('proofs: a list that a newer one has overtaken is not reported', () => {
  const lost = hear(loseHold(createLeased()), { ...REPORT, address: 'w:2', sequence: 2 });
  const asked = callIdOf(lost, 'hold');
  const listed = answerHold(dispatch(lost, { kind: 'tick' }, 200), { running: [LISTED] });
  const failing = loseHold(dispatch(listed, { kind: 'tick' }, 100));
  const list = { kind: 'done', clockMs: 150, bornAtMs: 5, running: [], ended: [] } as const;
  const late = answer(failing, asked, list);
  expect(reportsOf(late)).to.deep.equal([]);
  expect(late.state.worker?.running).to.deep.equal([LISTED]);
});

/** Returns the reasons for which the last step refused start orders. */
function refusalsOf({ effects }: Fixture): readonly string[] {
  return effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'refused' ? [effect.message.reason] : [],
  );
}

// Guards against starts whose effect nobody knows, and against tasks that wait until a lease has ended.
it('proofs: a start order is refused while calls to the worker fail', () => {
  const refused = order(loseHold(createLeased()));
  expect(refusalsOf(refused)).to.deep.equal(['unreachable']);
  expect(callIdOf(refused, 'start')).to.equal('none');
  expect(refused.state.worker?.pending.size).to.equal(0);
  const granted = dispatch(refused, {
    kind: 'received',
    message: { kind: 'grant', workerKey: KEY, leaseUntilClockMs: 9_000, reportIntervalMs: 5_000 },
  });
  const listed = answerHold(dispatch(granted, { kind: 'tick' }, 150));
  expect(reportsOf(listed)).to.have.length(1);
  expect(callIdOf(order(listed), 'start')).not.to.equal('none');
});

// Guards against a task that waits for a late effect of a call that never left the agent.
it('proofs: a start whose connection was refused did not begin', () => {
  const ordered = order(createLeased());
  const callId = callIdOf(ordered, 'start');
  const unsent = answer(ordered, callId, { kind: 'notListening' });
  expect(refusalsOf(unsent)).to.deep.equal(['unreachable']);
  expect(unsent.state.worker?.pending.size).to.equal(0);
  const lost = answer(ordered, callId, { kind: 'lost' });
  expect(refusalsOf(lost)).to.deep.equal([]);
  expect(lost.state.worker?.pending.size).to.equal(1);
});

/** Returns how long after its first reply an instance that refuses all connections is gone. */
function goneAfterMs(agent: Fixture, report: WorkerReport, clockMs: number): number {
  const listed = answerHold(hear(agent, report), { clockMs, bornAtMs: report.bornAtMs });
  const steps = repeatHolds(listed, 11_000, refuseHold);
  const gone = steps.find(({ state }) => state.worker === undefined);
  return (gone?.nowMs ?? Infinity) - listed.nowMs;
}

// Guards against tasks that wait for the longest lease after the crash of a worker that had just begun,
// and against the lease that a call to an earlier instance or of an earlier agent has set.
it('proofs: only an instance that nobody has called before begins without a lease', () => {
  const agent = crash(createLeased());
  const later = dispatch(agent, { kind: 'tick' }, 20_000);
  const next = { ...REPORT, id: 'i-2', bornAtMs: 900 };
  expect(goneAfterMs(later, next, 500)).to.be.lessThan(500);
  expect(goneAfterMs(agent, next, 500)).to.be.greaterThan(10_000);
  expect(goneAfterMs(later, next, 25_000)).to.be.greaterThan(10_000);
  expect(goneAfterMs(later, { ...REPORT, bornAtMs: 900 }, 500)).to.be.greaterThan(10_000);
});
