import { expect } from 'chai';
import type { EventFields } from '@bronzeyoke/telemetry';
import type { ListedEnd } from '@bronzeyoke/ports';
import type { Fixture } from './fixture';
import {
  answerHold,
  callIdOf,
  createLeased,
  dispatch,
  KEY,
  LISTED,
  MAX_LEASE_MS,
  order,
  REPORT,
  TASK,
} from './fixture';

const LATER = { ...REPORT, bornAtMs: 900, sequence: 1 };
const LATER_KEY = 'i-1@900';

const ENDED: ListedEnd = { sequence: 1, task: TASK, attempt: 1, end: 'done', checkpoint: '' };

/** Returns an agent whose worker was restarted during a start call, which then gets lost. */
function restartOrdered(): Fixture {
  const ordered = order(createLeased());
  const callId = callIdOf(ordered, 'start');
  const heard = dispatch(ordered, { kind: 'heartbeat', report: LATER });
  const restarted = answerHold(heard, { bornAtMs: 900 });
  return dispatch(restarted, { kind: 'callDone', callId, result: { kind: 'lost' } });
}

/** Returns the fields of the lines of an event that the last step logged. */
function loggedFields({ effects }: Fixture, event: string): readonly EventFields[] {
  return effects.flatMap((effect) =>
    effect.kind === 'log' && effect.event === event ? [effect.fields] : [],
  );
}

// Guards against a late order whose run has ended before any list shows it, and leaves no trace.
it('late orders: the end of a run by an order to an earlier instance is logged once', () => {
  const listed = answerHold(restartOrdered(), { bornAtMs: 900, ended: [ENDED] });
  const [fields, ...more] = loggedFields(listed, 'lateOrderEnded');
  expect(more).to.have.length(0);
  expect(fields).to.include({
    worker: LATER_KEY,
    task: TASK,
    attempt: 1,
    end: 'done',
    orderedFor: KEY,
    orderedAgoMs: 40,
  });
  const again = answerHold(dispatch(listed, { kind: 'tick' }, 250), {
    bornAtMs: 900,
    ended: [ENDED],
  });
  expect(loggedFields(again, 'lateOrderEnded')).to.have.length(0);
});

// Guards against a line for each end of a worker that carries out no late orders.
it('late orders: the end of a run that was ordered of the worker itself is not logged', () => {
  const ended = answerHold(order(createLeased()), { ended: [ENDED] });
  expect(loggedFields(ended, 'lateOrderEnded')).to.have.length(0);
  const other = { ...ENDED, task: 'job2.0.0.0' };
  const listed = answerHold(restartOrdered(), { bornAtMs: 900, ended: [other] });
  expect(loggedFields(listed, 'lateOrderEnded')).to.have.length(0);
});

// Guards against a stop of a late run that does not tell which instance the order was for.
it('late orders: the stop of a late run names the instance that was called', () => {
  const listed = answerHold(restartOrdered(), { bornAtMs: 900, running: [LISTED] });
  expect(loggedFields(listed, 'taskStopped')[0]).to.include({
    reason: 'lateOrder',
    worker: LATER_KEY,
    orderedFor: KEY,
    orderedAgoMs: 40,
  });
});

// Guards against an instance of which nobody can tell whether it holds a lease of an earlier call.
it('late orders: the line of a new instance tells how long a lease it may hold', () => {
  const listed = answerHold(restartOrdered(), { bornAtMs: 900 });
  expect(loggedFields(listed, 'workerSeen')[0]).to.include({
    worker: LATER_KEY,
    heldLeaseMs: MAX_LEASE_MS,
  });
});
