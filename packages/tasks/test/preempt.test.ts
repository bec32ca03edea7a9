import { expect } from 'chai';
import { freeResources } from '@bronzeyoke/ledger';
import type { Driver } from './driver';
import { attached, claim, offer, advance, phaseOf, receive, spec, sentKinds } from './driver';

function offerWith(
  driver: Driver,
  jobId: string,
  offerId: string,
  terms: { readonly preempts?: boolean; readonly spareMs?: number },
): Driver {
  return receive(driver, { kind: 'offer', offerId, epoch: 1, task: spec(jobId), ...terms });
}

/** A worker that is full of tasks, of which `c` can wait longest and `d` must not be evicted. */
function full(): Driver {
  const spares = { a: 10, b: -5, c: 900 };
  const three = Object.entries(spares).reduce(
    (driver, [jobId, spareMs]) => claim(offerWith(driver, jobId, `${jobId}@1`, { spareMs }), jobId),
    attached(),
  );
  return claim(offer(three, 'd'), 'd');
}

function last(driver: Driver): string | undefined {
  return sentKinds(driver).at(-1);
}

it('room: urgent work evicts the task that can wait longest, and gets its room', () => {
  const asked = offerWith(full(), 'u', 'u@1', { preempts: true });
  expect(sentKinds(asked)).to.include('makingRoom');
  const made = advance(asked, 4_000);
  expect(phaseOf(made, 'c')).to.equal(undefined);
  expect(['a', 'b', 'd'].map((jobId) => phaseOf(made, jobId))).to.deep.equal(
    Array(3).fill('running'),
  );
  const again = offerWith(made, 'u', 'u@2', { preempts: true });
  expect(last(again)).to.equal('accepted');
});

// Without the hold, the next normal task would take the room and the urgent one would wait on.
it('room: room that is made for urgent work is not given to others, until the hold ends', () => {
  const made = advance(offerWith(full(), 'u', 'u@1', { preempts: true }), 4_000);
  expect(freeResources(made.agent.ledger).processorsMilli).to.equal(1_000);
  expect(last(offer(made, 'n'))).to.equal('noRoom');
  expect(last(offer(advance(made, 5_000), 'n'))).to.equal('accepted');
});

it('room: a repeated request evicts no further task', () => {
  const asked = offerWith(full(), 'u', 'u@1', { preempts: true });
  const twice = advance(offerWith(asked, 'u', 'u@2', { preempts: true }), 4_000);
  expect(twice.agent.records.size).to.equal(3);
});

// Evicting tasks for work that still does not fit would only lose their time.
it('room: nothing is evicted when it would not be enough', () => {
  const large = { ...spec('u'), reserved: { ...spec('u').reserved, memoryMb: 4_000 } };
  const asked = receive(full(), {
    kind: 'offer',
    offerId: 'u@1',
    epoch: 1,
    task: large,
    preempts: true,
  });
  expect(last(asked)).to.equal('noRoom');
  expect(advance(asked, 4_000).agent.records.size).to.equal(4);
});
