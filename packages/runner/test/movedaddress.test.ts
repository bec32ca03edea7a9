import { expect } from 'chai';
import { callIdOf, createLeased, dispatch, endHold, goneKeysOf, REPORT } from './fixture';

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
