import { expect } from 'chai';
import { callIdOf, createLeased, dispatch, endHold, goneKeysOf, KEY, REPORT } from './fixture';

// Guards against second runs of the tasks of a worker that has moved, while another instance answers at
// its former address.
it('moved: an answer at the former address does not end a worker heard at another one', () => {
  const heard = dispatch(createLeased(), {
    kind: 'heartbeat',
    report: { ...REPORT, address: 'w:2', sequence: 2 },
  });
  const answered = endHold(heard, { kind: 'otherWorker' });
  expect(goneKeysOf(answered)).to.deep.equal([]);
});

// Guards against the same where the other instance sends heartbeats too and its reply comes first.
it('moved: a list of another instance at the former address does not end a worker', () => {
  const failing = endHold(createLeased(), { kind: 'lost' });
  const moved = dispatch(failing, {
    kind: 'heartbeat',
    report: { ...REPORT, address: 'w:2', sequence: 2 },
  });
  const other = dispatch(moved, {
    kind: 'heartbeat',
    report: { ...REPORT, id: 'i-2', bornAtMs: 900 },
  });
  const result = { kind: 'done', clockMs: 1, bornAtMs: 900 } as const;
  const listed = dispatch(other, { kind: 'callDone', callId: callIdOf(other, 'hold'), result });
  expect(goneKeysOf(listed)).to.deep.equal([]);
});

// Guards against a worker that stays at its former address after it was heard at another one and replied there.
it('moved: a worker that replies at its new address is called there', () => {
  const heard = dispatch(createLeased(), {
    kind: 'heartbeat',
    report: { ...REPORT, address: 'w:2', sequence: 2 },
  });
  const asked = endHold(heard, { kind: 'otherWorker' });
  const result = { kind: 'done', clockMs: 900, bornAtMs: 5, running: [], ended: [] } as const;
  const callId = asked.effects.flatMap((effect) =>
    effect.kind === 'call' && effect.worker.address === 'w:2' ? [effect.callId] : [],
  )[0];
  const moved = dispatch(asked, { kind: 'callDone', callId: callId ?? 'none', result });
  expect(moved.state.worker?.workerKey).to.equal(KEY);
  expect(moved.state.worker?.report.address).to.equal('w:2');
  expect(moved.state.worker?.failures).to.equal(undefined);
});

// Guards against a heartbeat of another writer under the worker's key that hides the end of the worker.
it('moved: an answer ends a worker once nothing listens at the other address', () => {
  const heard = dispatch(createLeased(), {
    kind: 'heartbeat',
    report: { ...REPORT, address: 'w:2', sequence: 2 },
  });
  const asked = endHold(heard, { kind: 'otherWorker' });
  const refuted = dispatch(asked, {
    kind: 'callDone',
    callId: callIdOf(asked, 'hold'),
    result: { kind: 'notListening' },
  });
  const held = dispatch(refuted, { kind: 'tick' }, 200);
  expect(goneKeysOf(endHold(held, { kind: 'otherWorker' }))).to.deep.equal([KEY]);
});

// Guards against the same where nothing answers there: heartbeats that stop settle it.
it('moved: an answer ends a worker once it is no longer heard at the other address', () => {
  const heard = dispatch(createLeased(), {
    kind: 'heartbeat',
    report: { ...REPORT, address: 'w:2', sequence: 2 },
  });
  const asked = endHold(heard, { kind: 'otherWorker' });
  const callId = callIdOf(asked, 'hold');
  const lost = dispatch(asked, { kind: 'callDone', callId, result: { kind: 'lost' } }, 700);
  const silent = dispatch(lost, { kind: 'tick' }, 3_000);
  const held = dispatch(silent, { kind: 'tick' }, 200);
  const { goneWorkers } = endHold(held, { kind: 'otherWorker' }).state;
  expect(goneWorkers.map(({ workerKey }) => workerKey)).to.deep.equal([KEY]);
});

// Guards against a restart that the agent overlooks because the worker was heard at another address.
it('moved: a later instance under the id ends a worker wherever it was heard', () => {
  const heard = dispatch(createLeased(), {
    kind: 'heartbeat',
    report: { ...REPORT, address: 'w:2', sequence: 2 },
  });
  const later = endHold(heard, { kind: 'done', clockMs: 1, bornAtMs: 900 });
  expect(goneKeysOf(later)).to.deep.equal([KEY]);
});
