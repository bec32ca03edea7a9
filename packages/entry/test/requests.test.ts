import { expect } from 'chai';
import type { EntryEffect, EntryEvent, EntryState } from '@bronzeyoke/entry';
import { createEntry, stepEntry } from '@bronzeyoke/entry';
import { inFlightAt } from '@bronzeyoke/routing';
import type { AgentMessage } from '@bronzeyoke/wire';
import { PROTOCOL_VERSION } from '@bronzeyoke/wire';

interface Fixture {
  readonly state: EntryState;
  readonly effects: readonly EntryEffect[];
}

const TOTAL = { processorsMilli: 64_000, memoryMb: 250_000, accelerators: 0 };
const START: Fixture = { state: createEntry('e1', 'hobart'), effects: [] };

function dispatch(fixture: Fixture, event: EntryEvent, nowMs = 0): Fixture {
  return stepEntry(fixture.state, event, { nowMs, random: 0.1 });
}

function receive(linkId: string, message: AgentMessage): EntryEvent {
  return { kind: 'received', linkId, message };
}

function hello(linkId: string, agentId: string): EntryEvent {
  const location = { worker: `w-${agentId}`, domain: 'hobart', region: 'tasmania', rack: 'r1' };
  const profile = {
    agentId,
    ...location,
    service: 'quoter',
    slots: 8,
    connections: 64,
    total: TOTAL,
  };
  return receive(linkId, { kind: 'hello', version: PROTOCOL_VERSION, profile, incarnation: 0 });
}

function arrive(requestId: string): EntryEvent {
  const path = { service: 'quoter', method: 'POST', path: '/price', headers: {} };
  const body = Buffer.from('spring');
  return { kind: 'arrived', request: { requestId, ...path, body, timeoutMs: 20_000 } };
}

function sentMessages(fixture: Fixture): readonly string[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'send' ? `${effect.linkId} ${effect.message.kind}` : [],
  );
}

/** Fires the link check that the last step scheduled. */
function fireCheck(fixture: Fixture, nowMs: number): Fixture {
  const timers = fixture.effects.flatMap((effect) =>
    effect.kind === 'wake' && effect.timer.kind === 'linkCheck' ? effect.timer : [],
  );
  expect(timers).to.have.length(1);
  return timers.reduce(
    (current, timer) => dispatch(current, { kind: 'timer', timer }, nowMs),
    fixture,
  );
}

const withAgent = dispatch(START, hello('l1', 'a'));

// An open connection can stop delivering messages for good while new connections work.
it('entry: a silent link is closed and its request collected over the next one', () => {
  const busy = dispatch(withAgent, arrive('r'));
  expect(sentMessages(busy)).to.deep.equal(['l1 request']);
  const pinged = fireCheck(busy, 250);
  expect(sentMessages(pinged)).to.deep.equal(['l1 ping']);
  const closed = fireCheck(pinged, 1_250);
  expect(closed.effects).to.deep.include({ kind: 'closeLink', linkId: 'l1' });
  const reconnected = dispatch(closed, hello('l2', 'a'), 1_400);
  expect(sentMessages(reconnected)).to.include('l2 collect');
  const answer = { status: 200, headers: {}, body: Buffer.from('1'), slotsInUse: 0 };
  const ids = { requestId: 'r', attemptId: 'r.1' };
  const done = dispatch(reconnected, receive('l2', { kind: 'answer', ...ids, ...answer }), 1_500);
  expect(done.effects.map(({ kind }) => kind)).to.include('reply');
  expect(inFlightAt(done.state.requests.routing, 'a')).to.equal(0);
});

it('entry: nothing is sent to an agent that was pinged until it replies', () => {
  const pinged = fireCheck(dispatch(withAgent, arrive('r')), 250);
  const waiting = dispatch(pinged, arrive('s'), 260);
  expect(sentMessages(waiting)).to.deep.equal([]);
  const beat = { kind: 'beat', free: TOTAL, slotsInUse: 0, slowDowns: [] } as const;
  // A heartbeat does not show that requests arrive.
  expect(sentMessages(dispatch(waiting, receive('l1', beat), 265))).to.deep.equal(['l1 ping']);
  const resumed = dispatch(waiting, receive('l1', { kind: 'pong', sequence: 2 }), 270);
  expect(sentMessages(resumed)).to.deep.equal(['l1 request']);
});

// Otherwise answers to attempts in flight go to a connection that is no longer read.
it('entry: after an agent reconnects, its old link is closed and its attempts are collected', () => {
  const busy = dispatch(withAgent, arrive('r'));
  const again = dispatch(busy, hello('l2', 'a'), 100);
  expect(again.effects).to.deep.include({ kind: 'closeLink', linkId: 'l1' });
  expect(sentMessages(again)).to.include('l2 collect');
  const dropped = dispatch(again, { kind: 'linkClosed', linkId: 'l1' }, 110);
  expect(dropped.state.membership.agents.get('a')?.linkId).to.equal('l2');
  expect(inFlightAt(dropped.state.requests.routing, 'a')).to.equal(1);
});

it('entry: agents with overdue heartbeats are pinged', () => {
  const sweep = { kind: 'timer', timer: { kind: 'memberSweep' } } as const;
  expect(sentMessages(dispatch(withAgent, sweep, 2_000))).to.deep.equal([]);
  expect(sentMessages(dispatch(withAgent, sweep, 3_001))).to.deep.equal(['l1 ping']);
});
