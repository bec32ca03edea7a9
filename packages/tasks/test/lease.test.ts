import { expect } from 'chai';
import type { WorkerOutput } from '@bronzeyoke/standins';
import { createTasks } from '@bronzeyoke/tasks';
import type { Fixture } from './fixture';
import {
  createAttached,
  claim,
  dispatch,
  offer,
  advance,
  phaseOf,
  profile,
  receive,
  sentKinds,
} from './fixture';

function running(): Fixture {
  return claim(offer(createAttached(600_000), 'j'), 'j');
}

function requests(fixture: Fixture, kind: 'registerWorker' | 'renewWorker') {
  return fixture.sent.filter(({ message }) => message.kind === kind);
}

function endsOf(fixture: Fixture): readonly WorkerOutput[] {
  return fixture.outputs.filter(({ kind }) => kind === 'taskEnded');
}

it('lease: a renewal every 10 s keeps the tasks running', () => {
  const later = advance(running(), 120_000);
  expect(requests(later, 'renewWorker')).to.have.length(12);
  expect(phaseOf(later, 'j')).to.equal('running');
});

it('lease: a renewal without a reply is retried over another link after a second', () => {
  const isolated = advance({ ...running(), grants: false }, 12_000);
  const [first, second] = requests(isolated, 'renewWorker');
  expect(second?.linkId).to.not.equal(first?.linkId);
  expect((second?.atMs ?? 0) - (first?.atMs ?? 0)).to.be.within(1_000, 1_500);
});

// A task that still runs after the lease expired could also be started elsewhere.
it('lease: without a renewal, tasks are checkpointed, stopped and reported before it expires', () => {
  const isolated = advance({ ...running(), grants: false }, 29_000);
  const [end] = endsOf(isolated);
  expect(end).to.deep.include({ end: { kind: 'stopped' } });
  expect(end?.kind === 'taskEnded' ? end.atMs : Infinity).to.be.below(28_000);
  const report = isolated.sent
    .map(({ message }) => (message.kind === 'taskReport' ? message.report : undefined))
    .find((found) => found?.kind === 'evicted');
  expect(report).to.have.property('checkpointRef');
  expect(sentKinds(offer(isolated, 'k')).at(-1)).to.equal('notRegistered');
});

it('lease: after an outage of the store the agent resumes under the same incarnation', () => {
  const isolated = advance({ ...running(), grants: false }, 120_000);
  const recovered = advance({ ...isolated, grants: true }, 6_000);
  expect(recovered.agent.lease).to.include({ phase: 'held', incarnation: 1 });
  expect(sentKinds(offer(recovered, 'k')).at(-1)).to.equal('accepted');
});

// The lease counts from when the renewal was sent; counting from the reply would make it too long.
it('lease: a late reply extends it only from when the renewal was sent', () => {
  const isolated = advance({ ...running(), grants: false }, 20_000);
  const [first] = requests(isolated, 'renewWorker');
  const token = first?.message.kind === 'renewWorker' ? first.message.token : '';
  const late = receive(isolated, { kind: 'workerRenewed', token });
  expect(late.agent.lease.untilMs).to.equal((first?.atMs ?? 0) + 30_000);
  expect(receive(late, { kind: 'workerRenewed', token }).agent.lease).to.equal(late.agent.lease);
});

it('lease: an agent whose lease expired registers again with a higher incarnation', () => {
  const fenced = receive(running(), { kind: 'workerFenced', incarnation: 1 });
  const recovered = advance(fenced, 3_000);
  expect(recovered.exits).to.have.length(0);
  expect(recovered.agent.lease).to.include({ phase: 'held', incarnation: 2 });
  expect(endsOf(recovered)).to.have.length(1);
  expect(sentKinds(recovered)).to.include('evicted');
});

it('lease: a replaced agent exits with a typed failure', () => {
  const fenced = receive(running(), { kind: 'workerFenced', incarnation: 2 });
  expect(fenced.exits).to.deep.equal([
    { kind: 'exit', failure: { kind: 'fenced', worker: 'w1', incarnation: 2 } },
  ]);
  expect(requests(advance(fenced, 60_000), 'registerWorker')).to.have.length(1);
});

// Two of the agent's registrations may both take effect, and the replies may arrive out of order.
it('lease: a higher incarnation that is its own registration does not end the agent', () => {
  const silent = { ...createAttached(), agent: createTasks(profile), sent: [], grants: false };
  const retried = advance(dispatch(silent, { kind: 'linkOpened', linkId: 'l1' }), 15_000);
  const tokens = requests(retried, 'registerWorker').map(({ message }) =>
    message.kind === 'registerWorker' ? message.token : '',
  );
  const [first = '', second = ''] = [...new Set(tokens)];
  expect(tokens.length).to.be.greaterThan(3);
  const one = receive(retried, { kind: 'workerRegistered', token: first, incarnation: 5 });
  const fenced = receive(one, { kind: 'workerFenced', incarnation: 6 });
  expect(fenced.exits).to.have.length(0);
  const both = receive(fenced, { kind: 'workerRegistered', token: second, incarnation: 6 });
  expect(both.agent.lease).to.include({ phase: 'held', incarnation: 6 });
  expect(advance({ ...both, incarnation: 6, grants: true }, 20_000).exits).to.have.length(0);
});

it('lease: a stale fence and a foreign token change nothing', () => {
  const fixture = running();
  const stale = receive(fixture, { kind: 'workerFenced', incarnation: 0 });
  const foreign = receive(stale, { kind: 'workerRegistered', token: 'x', incarnation: 9 });
  expect(foreign.agent).to.equal(fixture.agent);
});

// P3: a restarted agent must neither lose nor duplicate tasks that the worker still runs.
it('lease: a restarted agent adopts the tasks that the worker still runs', () => {
  const fresh = { ...running(), agent: createTasks({ ...profile, agentId: 'a2' }) };
  const restarted = advance(dispatch(fresh, { kind: 'linkOpened', linkId: 'l1' }), 40_000);
  expect(restarted.agent.lease.incarnation).to.equal(2);
  expect(phaseOf(restarted, 'j')).to.equal('running');
  expect(restarted.agent.ledger.committed.memoryMb).to.equal(1_000);
  expect(endsOf(restarted)).to.have.length(0);
});
