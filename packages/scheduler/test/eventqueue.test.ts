import { expect } from 'chai';
import type { EventQueue, SchedulerEvent } from '@bronzeyoke/scheduler';
import { dequeueEvent, enqueueEvent, NO_EVENTS, queuedCount } from '@bronzeyoke/scheduler';
import type { Disturbance } from './simoverload';
import { playOverload } from './simoverload';

const ANSWER: SchedulerEvent = {
  kind: 'commitDone',
  callId: 'flush-1',
  result: { kind: 'committed', version: 12 },
  wallMs: 0,
};

function opened(linkId: string): SchedulerEvent {
  return { kind: 'linkOpened', linkId };
}

function closed(linkId: string): SchedulerEvent {
  return { kind: 'linkClosed', linkId };
}

function reported(linkId: string, clockMs: number, term = 1): SchedulerEvent {
  return {
    kind: 'received',
    linkId,
    wallMs: clockMs,
    message: {
      kind: 'report',
      agentId: 'agent-1',
      term,
      workerKey: `worker-of-${linkId}@5`,
      worker: {
        id: 'worker',
        address: '10.0.0.1:1',
        bornAtMs: 5,
        service: 'quoter',
        domain: 'north',
        version: 'v1',
        isDraining: false,
        capacity: { processorsMilli: 1_000, memoryMb: 1_000, accelerators: 0 },
        labels: [],
        rack: 'r1',
        sequence: 1,
      },
      clockMs,
      running: [],
      ended: [],
      pending: [],
      lastOrder: 0,
    },
  };
}

function refused(linkId: string): SchedulerEvent {
  const run = { task: 'job.0.0.0', attempt: 1 };
  const message = {
    kind: 'refused',
    workerKey: `worker-of-${linkId}@5`,
    run,
    reason: 'unreachable',
  };
  return { kind: 'received', linkId, wallMs: 0, message } as SchedulerEvent;
}

/** Takes all events in the order in which they are handled. */
function drain(queue: EventQueue): readonly SchedulerEvent[] {
  const next = dequeueEvent(queue);
  return next === undefined ? [] : [next.event, ...drain(next.queue)];
}

function handled(...events: readonly SchedulerEvent[]): readonly SchedulerEvent[] {
  return drain(events.reduce(enqueueEvent, NO_EVENTS));
}

// Guards against placement, start orders and renewals that wait behind the reports of a whole fleet.
it('event queue: an answer of the store comes before the messages of agents', () => {
  const first = reported('a', 1);
  const second = reported('b', 1);
  expect(handled(first, second, ANSWER)).to.deep.equal([ANSWER, first, second]);
});

// Guards against a leader that handles each of several lists of one worker while others wait.
it('event queue: a later report takes the place of one that waits', () => {
  const later = reported('a', 2);
  const other = reported('b', 1);
  expect(handled(reported('a', 1), other, later)).to.deep.equal([later, other]);
});

// Guards against a report that overtakes what its agent said before it.
it('event queue: the messages of a connection keep their order', () => {
  const events = [
    opened('a'),
    reported('a', 1),
    refused('a'),
    reported('a', 2),
    closed('a'),
    opened('a'),
  ];
  expect(handled(...events)).to.deep.equal(events);
});

// Guards against a report for an earlier leader that is lost behind one for this leader.
it('event queue: reports of different terms are both handled', () => {
  const events = [reported('a', 1, 1), reported('a', 2, 2)];
  expect(handled(...events)).to.deep.equal(events);
});

// Guards against a report that is taken for the last one of its connection after others were handled.
it('event queue: positions hold after events were taken', () => {
  const start = [reported('a', 1), reported('b', 1)].reduce(enqueueEvent, NO_EVENTS);
  const rest = dequeueEvent(start)?.queue ?? NO_EVENTS;
  const again = [reported('a', 2), reported('b', 2)].reduce(enqueueEvent, rest);
  expect(queuedCount(again)).to.equal(2);
  expect(drain(again)).to.deep.equal([reported('b', 2), reported('a', 2)]);
});

/** A tenth of the time in which half of the jobs begin, by the stated target of 50 ms. */
const MAX_COMMIT_WAIT_MS = 5;

// Guards against an overloaded leader whose passes and start orders wait for the reports before them.
(['release', 'silentStore', 'killedLeader'] satisfies Disturbance[]).forEach((disturbance) =>
  it(`overload: answers of the store do not wait, ${disturbance}`, () => {
    const play = { ordersEvents: true, processors: 0.675, disturbance };
    const { commitWaitsMs, lapses, broken } = playOverload(1, play);
    expect(broken).to.deep.equal([]);
    expect(lapses).to.equal(0);
    expect(commitWaitsMs.at(-1)).to.be.at.most(MAX_COMMIT_WAIT_MS);
  }).timeout(120_000),
);
