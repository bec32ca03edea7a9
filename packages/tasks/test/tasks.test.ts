import { expect } from 'chai';
import { freeResources } from '@bronzeyoke/ledger';
import { unconfirmedTasks } from '@bronzeyoke/tasks';
import { NO_RESOURCES } from '@bronzeyoke/types';
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
  setFaults,
  sentKinds,
} from './fixture';

function running(jobId = 'j', runMs = 60_000): Fixture {
  return claim(offer(createAttached(runMs), jobId), jobId);
}

function domain(number: number, state: 'in' | 'out') {
  const entries = [{ kind: 'domain' as const, name: profile.domain, state }];
  return { kind: 'config' as const, configuration: { number, entries } };
}

function runsOf(fixture: Fixture): number {
  return fixture.worker.machine.tasks.size;
}

it('tasks: an offer becomes a running task, and its finish is reported until recorded', () => {
  const done = advance(running('j', 1_000), 7_000);
  expect(sentKinds(done).slice(0, 3)).to.deep.equal(['accepted', 'started', 'finished']);
  expect(sentKinds(done).filter((kind) => kind === 'finished').length).to.be.greaterThan(3);
  const recorded = receive(done, { kind: 'recorded', id: { jobId: 'j', index: 0 }, epoch: 1 });
  expect(sentKinds(advance(recorded, 10_000)).length).to.equal(sentKinds(done).length);
  expect(freeResources(recorded.agent.ledger)).to.deep.equal(profile.total);
});

// Confirming the report of an older run would lose the finish of the newer one.
it('tasks: a confirmation of another epoch does not drop a report', () => {
  const done = advance(running('j', 1_000), 3_000);
  const other = receive(done, { kind: 'recorded', id: { jobId: 'j', index: 0 }, epoch: 0 });
  expect(other.agent.reports.size).to.equal(1);
});

// P4: a claim that arrives late must be returned, not started.
it('tasks: a claim after 2 s is returned and never started', () => {
  const late = claim(advance(offer(createAttached(), 'j'), 2_100), 'j');
  expect(sentKinds(late)).to.deep.equal(['accepted', 'tooLate', 'tooLate', 'notStarted']);
  expect(runsOf(late)).to.equal(0);
  expect(freeResources(late.agent.ledger)).to.deep.equal(profile.total);
});

// A late copy of the offer would restart the claim limit of P4.
it('tasks: a copy of a past offer is declined', () => {
  const copied = offer(advance(offer(createAttached(), 'j'), 2_600), 'j');
  expect(sentKinds(copied)).to.deep.equal(['accepted', 'tooLate', 'tooLate']);
  expect(runsOf(claim(copied, 'j'))).to.equal(0);
});

it('tasks: copies of an offer and of a claim over two links start one task', () => {
  const message = { kind: 'claimed' as const, offerId: 'j@1' };
  const twice = receive(
    receive(offer(offer(createAttached(), 'j'), 'j'), message, 'l2'),
    message,
    'l1',
  );
  expect(twice.outputs.filter(({ kind }) => kind === 'taskStarted')).to.have.length(1);
  expect(sentKinds(twice)).to.deep.equal(['accepted', 'accepted', 'started', 'started']);
});

it('tasks: an offer with an epoch that was claimed before is declined', () => {
  const again = receive(advance(running('j', 500), 2_000), {
    kind: 'offer',
    offerId: 'other',
    epoch: 1,
    task: { ...running().worker.machine.tasks.first()!.task },
  });
  expect(sentKinds(again).at(-1)).to.equal('tooLate');
});

it('tasks: a start carries the time left of the 2 s, so a slow worker drops it', () => {
  const slow = setFaults(offer(createAttached(), 'j'), { delayMs: 1_500 });
  const done = advance(claim(advance(slow, 1_000), 'j'), 5_000);
  expect(done.outputs.some(({ kind }) => kind === 'taskStarted')).to.equal(false);
  expect(sentKinds(done)).to.include('notStarted');
});

// The reply is lost although the task runs. Releasing the resources would overcommit the worker.
it('tasks: a start whose reply is lost keeps its reservation until the worker lists the task', () => {
  const lossy = setFaults(offer(createAttached(), 'j'), { losesReplies: true });
  const open = advance(claim(lossy, 'j'), 4_000);
  expect(phaseOf(open, 'j')).to.equal('starting');
  expect(unconfirmedTasks(open.agent)).to.deep.equal([{ jobId: 'j', index: 0 }]);
  expect(freeResources(open.agent.ledger).memoryMb).to.equal(3_000);
  expect(phaseOf(advance(setFaults(open, {}), 5_000), 'j')).to.equal('running');
});

it('tasks: an unconfirmed stop keeps its reservation, and its task stays listed', () => {
  const id = { jobId: 'j', index: 0 };
  const down = setFaults(running(), { isUnavailable: true });
  const stopping = advance(
    receive(down, { kind: 'stopTask', id, epoch: 1, mode: 'cancel' }),
    8_000,
  );
  expect(phaseOf(stopping, 'j')).to.equal('stopping');
  expect(unconfirmedTasks(stopping.agent)).to.deep.equal([id]);
  expect(freeResources(stopping.agent.ledger).memoryMb).to.equal(3_000);
  const stopped = advance(setFaults(stopping, {}), 3_000);
  expect(sentKinds(stopped)).to.include('stopped');
  expect(runsOf(stopped)).to.equal(0);
});

// P3: a task that finished just before the stop must be reported as finished, or it runs again.
it('tasks: a finish that crosses a stop is reported as finished', () => {
  const id = { jobId: 'j', index: 0 };
  const slow = setFaults(advance(running('j', 3_000), 2_500), { delayMs: 300 });
  const done = advance(receive(slow, { kind: 'stopTask', id, epoch: 1, mode: 'evict' }), 5_000);
  expect(sentKinds(done)).to.include('finished');
  expect(sentKinds(done)).to.not.include('evicted');
});

it('tasks: a stop for an older epoch is ignored', () => {
  const id = { jobId: 'j', index: 0 };
  const again = claim(offer(createAttached(), 'j', 3), 'j', 3);
  const kept = receive(again, { kind: 'stopTask', id, epoch: 2, mode: 'cancel' });
  expect(phaseOf(kept, 'j')).to.equal('running');
});

it('tasks: a domain that is out declines, returns claims and evicts by checkpoint', () => {
  const both = offer(advance(running('j'), 1_000), 'k');
  const out = advance(claim(receive(both, domain(5, 'out')), 'k'), 1_000);
  expect(sentKinds(out)).to.include.members(['domainOut', 'evicted', 'notStarted']);
  expect(runsOf(out)).to.equal(0);
  expect(sentKinds(offer(out, 'm')).at(-1)).to.equal('domainOut');
  const older = receive(out, domain(4, 'in'));
  expect(sentKinds(offer(older, 'n')).at(-1)).to.equal('domainOut');
  expect(sentKinds(offer(receive(older, domain(6, 'in')), 'o')).at(-1)).to.equal('accepted');
});

it('tasks: a checkpoint that fails keeps the task running', () => {
  const down = setFaults(running(), { isUnavailable: true });
  const tried = advance(dispatch(down, { kind: 'evict', id: { jobId: 'j', index: 0 } }), 1_000);
  expect(phaseOf(tried, 'j')).to.equal('running');
  expect(sentKinds(advance(setFaults(tried, {}), 8_000))).to.include('evicted');
});

it('tasks: a service that grows evicts batch tasks until its reservation fits', () => {
  const four = ['a', 'b', 'c', 'd'].reduce(
    (fixture, jobId) => claim(offer(fixture, jobId), jobId),
    createAttached(),
  );
  const reserved = { ...NO_RESOURCES, memoryMb: 1_500 };
  const service = {
    kind: 'service' as const,
    name: 'quoter',
    reserved,
    targetLatencyMs: 20,
    defaultTimeoutMs: 1_000,
  };
  const configuration = { number: 1, entries: [service] };
  const grown = advance(receive(four, { kind: 'config', configuration }), 2_000);
  expect(runsOf(grown)).to.equal(2);
});

it('tasks: a planned stop evicts everything, reports it and declines offers', () => {
  const drained = advance(dispatch(running(), { kind: 'drain' }), 1_000);
  expect(sentKinds(drained)).to.include('evicted');
  expect(drained.agent.records.isEmpty()).to.equal(true);
  expect(sentKinds(offer(drained, 'k')).at(-1)).to.equal('draining');
});
