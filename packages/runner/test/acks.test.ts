import type { ListedEnd, WorkerCall } from '@bronzeyoke/ports';
import { expect } from 'chai';
import type { Fixture } from './fixture';
import { answerHold, createLeased, dispatch, endHold, KEY, TASK } from './fixture';

function endOf(sequence: number): ListedEnd {
  return { sequence, task: TASK, attempt: sequence, end: 'done', checkpoint: '' };
}

/** Lets the agent send its next hold. */
function nextHold(fixture: Fixture): Fixture {
  return dispatch(fixture, { kind: 'tick' }, 300);
}

function holdOf({ effects }: Fixture): Extract<WorkerCall, { kind: 'hold' }> | undefined {
  return effects
    .flatMap((effect) => (effect.kind === 'call' && effect.call.kind === 'hold' ? effect.call : []))
    .at(-1);
}

/** Returns an agent whose worker lists some ends, and whose leader has acknowledged the second. */
function createAcknowledged(): Fixture {
  const listed = answerHold(nextHold(createLeased()), { ended: [endOf(1), endOf(2), endOf(3)] });
  const message = { kind: 'acknowledge', workerKey: KEY, sequence: 2 } as const;
  return dispatch(listed, { kind: 'received', message });
}

// Guards against ends that a leader has stored and that the worker lists for good.
it('acks: the next call acknowledges the ends that the leader has stored, and does not wait', () => {
  const hold = holdOf(nextHold(createAcknowledged()));
  expect(hold?.ackSequence).to.equal(2);
  expect(hold?.waitMs).to.equal(0);
});

// Guards against a later instance under the id that drops its first ends for a sequence of the earlier one.
it('acks: an end that is no longer listed is not acknowledged again', () => {
  const dropped = answerHold(nextHold(createAcknowledged()), { ended: [endOf(3)] });
  expect(holdOf(nextHold(dropped))?.ackSequence).to.equal(0);
});

// Guards against the same from repeated calls whose replies get lost: another instance may be there by now.
it('acks: nothing is acknowledged while calls fail', () => {
  const lost = endHold(nextHold(createAcknowledged()), { kind: 'lost' });
  expect(holdOf(nextHold(lost))?.ackSequence).to.equal(0);
});

// Guards against an acknowledgement that is lost with its call and never sent again.
it('acks: an end that is still listed after a failure is acknowledged again', () => {
  const lost = nextHold(endHold(nextHold(createAcknowledged()), { kind: 'lost' }));
  const listed = answerHold(lost, { ended: [endOf(1), endOf(2), endOf(3)] });
  expect(holdOf(nextHold(listed))?.ackSequence).to.equal(2);
});
