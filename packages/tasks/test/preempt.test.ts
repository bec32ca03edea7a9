import { expect } from 'chai';
import { freeResources } from '@bronzeyoke/ledger';
import type { Fixture } from './fixture';
import {
  createAttached,
  claim,
  offer,
  advance,
  phaseOf,
  receive,
  spec,
  sentKinds,
} from './fixture';

function offerWith(
  fixture: Fixture,
  jobId: string,
  offerId: string,
  terms: { readonly preempts?: boolean; readonly spareMs?: number },
): Fixture {
  return receive(fixture, { kind: 'offer', offerId, epoch: 1, task: spec(jobId), ...terms });
}

/** Fills a worker with tasks, of which `c` can wait longest and `d` must not be evicted. */
function full(): Fixture {
  const spares = { a: 10, b: -5, c: 900 };
  const three = Object.entries(spares).reduce(
    (fixture, [jobId, spareMs]) =>
      claim(offerWith(fixture, jobId, `${jobId}@1`, { spareMs }), jobId),
    createAttached(),
  );
  return claim(offer(three, 'd'), 'd');
}

function last(fixture: Fixture): string | undefined {
  return sentKinds(fixture).at(-1);
}

it('preempt: urgent work evicts the task that can wait longest, and takes its capacity', () => {
  const offered = offerWith(full(), 'u', 'u@1', { preempts: true });
  expect(sentKinds(offered)).to.include('makingRoom');
  const freed = advance(offered, 4_000);
  expect(phaseOf(freed, 'c')).to.equal(undefined);
  expect(['a', 'b', 'd'].map((jobId) => phaseOf(freed, jobId))).to.deep.equal(
    Array(3).fill('running'),
  );
  const again = offerWith(freed, 'u', 'u@2', { preempts: true });
  expect(last(again)).to.equal('accepted');
});

// Without the hold, the next normal task would take the capacity, and the urgent one would wait.
it('preempt: capacity freed for urgent work is reserved for it until the hold expires', () => {
  const freed = advance(offerWith(full(), 'u', 'u@1', { preempts: true }), 4_000);
  expect(freeResources(freed.agent.ledger).processorsMilli).to.equal(1_000);
  expect(last(offer(freed, 'n'))).to.equal('noRoom');
  expect(last(offer(advance(freed, 5_000), 'n'))).to.equal('accepted');
});

it('preempt: a repeated offer evicts no further task', () => {
  const offered = offerWith(full(), 'u', 'u@1', { preempts: true });
  const twice = advance(offerWith(offered, 'u', 'u@2', { preempts: true }), 4_000);
  expect(twice.agent.records.size).to.equal(3);
});

// Evicting tasks for work that still does not fit would only lose their progress.
it('preempt: nothing is evicted when the freed capacity would not suffice', () => {
  const large = { ...spec('u'), reserved: { ...spec('u').reserved, memoryMb: 4_000 } };
  const offered = receive(full(), {
    kind: 'offer',
    offerId: 'u@1',
    epoch: 1,
    task: large,
    preempts: true,
  });
  expect(last(offered)).to.equal('noRoom');
  expect(advance(offered, 4_000).agent.records.size).to.equal(4);
});
