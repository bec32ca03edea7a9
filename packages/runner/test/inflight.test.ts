import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  answerHold,
  callIdOf,
  createLeased,
  dispatch,
  KEY,
  MAX_LEASE_MS,
  order,
  refuseHold,
  repeatHolds,
  REPORT,
} from './fixture';

/** Lease that the leader grants from a clock value that the worker has reported. */
const GRANTED_MS = 4_900;

/** Time in which the lease that the agent has passed on ends. */
const SILENCE_MS = 4_000;

function hearAgain(fixture: Fixture): Fixture {
  return dispatch(fixture, { kind: 'heartbeat', report: { ...REPORT, sequence: 2 } });
}

/** Returns an agent whose worker was gone by the end of its lease and sends heartbeats again. */
function createReturning(): { readonly agent: Fixture; readonly lastClockMs: number } {
  const held = repeatHolds(createLeased(), MAX_LEASE_MS, answerHold).at(-1) ?? createLeased();
  const grant = { kind: 'grant', workerKey: KEY, leaseUntilClockMs: 14_000 } as const;
  const granted = dispatch(held, { kind: 'received', message: grant });
  const steps = repeatHolds(granted, SILENCE_MS, refuseHold);
  const gone = steps.find(({ state }) => state.worker === undefined) ?? granted;
  return { agent: hearAgain(gone), lastClockMs: held.state.worker?.clockMs ?? 0 };
}

function receiveGrant(fixture: Fixture, leaseUntilClockMs: number): Fixture {
  const message = { kind: 'grant', workerKey: KEY, leaseUntilClockMs } as const;
  return dispatch(fixture, { kind: 'received', message });
}

// Guards against a second run of a task whose start order, and the grant before it, were on their way while
// the agent reported the end of the worker's lease: the leader gives the task away on that report.
it('inflight: an order sent before the leader recorded the end of its worker starts nothing', () => {
  const { agent, lastClockMs } = createReturning();
  expect(agent.state.worker).to.equal(undefined);
  const again = answerHold(agent);
  const granted = receiveGrant(again, lastClockMs + GRANTED_MS);
  expect(lastClockMs + GRANTED_MS).to.be.greaterThan(granted.nowMs);
  expect(callIdOf(order(granted), 'start')).to.equal('none');
});

// Guards against a wait without end for the late effect of a start call while the instance that it was made
// to sends heartbeats again.
it('inflight: a returning instance does not prolong the wait for a lost start call', () => {
  const ordered = order(createLeased());
  const callId = callIdOf(ordered, 'start');
  const lost = dispatch(ordered, { kind: 'callDone', callId, result: { kind: 'lost' } });
  const steps = repeatHolds(lost, 2 * MAX_LEASE_MS, refuseHold);
  const gone = steps.find(({ state }) => state.worker === undefined) ?? lost;
  const waiting = {
    ...gone,
    state: {
      ...gone.state,
      goneWorkers: gone.state.goneWorkers.map((worker) => ({
        ...worker,
        phase: 'uncertain' as const,
        openStarts: lost.state.worker?.startCalls ?? worker.openStarts,
      })),
    },
  };
  const ticked = dispatch(hearAgain(waiting), { kind: 'tick' }, 100);
  expect(ticked.state.goneWorkers.map(({ phase }) => phase)).to.deep.equal(['ended']);
});

// Guards against a worker that stays away for good after its lease has ended once.
it('inflight: an instance that answers again is used once the leader has recorded its end', () => {
  const { agent } = createReturning();
  const message = { kind: 'goneRecorded', workerKey: KEY } as const;
  const recorded = dispatch(agent, { kind: 'received', message });
  const again = answerHold(recorded);
  expect(again.state.worker?.workerKey).to.equal(KEY);
  const granted = receiveGrant(again, again.nowMs + GRANTED_MS);
  expect(callIdOf(order(granted), 'start')).not.to.equal('none');
});
