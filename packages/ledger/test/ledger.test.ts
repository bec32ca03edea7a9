import { expect } from 'chai';
import fc from 'fast-check';
import type { Ledger } from '@bronzeyoke/ledger';
import {
  adopt,
  createLedger,
  fits,
  freeResources,
  release,
  reserve,
  serviceGrant,
  setService,
  shortfall,
} from '@bronzeyoke/ledger';
import type { Resources } from '@bronzeyoke/types';
import { NO_RESOURCES, addResources, fitsIn } from '@bronzeyoke/types';

const total = { processorsMilli: 32_000, memoryMb: 125_000, accelerators: 4 };

const amount = fc.record({
  processorsMilli: fc.integer({ min: 0, max: 20_000 }),
  memoryMb: fc.double({ min: 0, max: 90_000, noNaN: true }),
  accelerators: fc.integer({ min: 0, max: 3 }),
});
const key = fc.constantFrom('a', 'b', 'c', 'd', 'e');
const command = fc.oneof(
  fc.record({ kind: fc.constant('reserve' as const), key, amount }),
  fc.record({ kind: fc.constant('adopt' as const), key, amount }),
  fc.record({ kind: fc.constant('release' as const), key }),
  fc.record({ kind: fc.constant('service' as const), amount }),
);

type Command = typeof command extends fc.Arbitrary<infer Value> ? Value : never;

function apply(ledger: Ledger, given: Command): Ledger {
  switch (given.kind) {
    case 'reserve': {
      const result = reserve(ledger, given.key, given.amount);
      return result.ok ? result.value : ledger;
    }
    case 'adopt': {
      const result = adopt(ledger, given.key, given.amount);
      return result.ok ? result.value : ledger;
    }
    case 'release':
      return release(ledger, given.key);
    case 'service':
      return setService(ledger, given.amount);
  }
}

function sumTasks(ledger: Ledger): Resources {
  return ledger.tasks.valueSeq().reduce(addResources, NO_RESOURCES);
}

// Guards P1: tasks and the service together are never committed more than the worker has.
it('ledger: commits at most the total in any order of commands', () => {
  fc.assert(
    fc.property(fc.array(command, { maxLength: 60 }), (commands) => {
      commands.reduce((before, given) => {
        const ledger = apply(before, given);
        expect(fitsIn(sumTasks(ledger), total)).to.equal(true);
        const grant = serviceGrant(ledger);
        expect(
          fitsIn(grant, { ...total, memoryMb: total.memoryMb - sumTasks(ledger).memoryMb }),
        ).to.equal(true);
        expect(grant.processorsMilli + ledger.committed.processorsMilli).to.be.at.most(32_000);
        expect(grant.accelerators + ledger.committed.accelerators).to.be.at.most(4);
        return ledger;
      }, createLedger(total));
    }),
    { seed: 1, numRuns: 500 },
  );
});

// A reservation that ignores the service's reservation would starve the service.
it('ledger: a task reservation does not reduce the service reservation', () => {
  fc.assert(
    fc.property(amount, amount, (service, wanted) => {
      const ledger = setService(createLedger(total), service);
      const result = reserve(ledger, 'a', wanted);
      expect(result.ok).to.equal(fits(ledger, wanted));
      if (result.ok) expect(shortfall(result.value)).to.deep.equal(NO_RESOURCES);
    }),
    { seed: 2, numRuns: 300 },
  );
});

// Accumulated rounding errors would reduce the free resources after each task.
it('ledger: releasing everything frees everything', () => {
  fc.assert(
    fc.property(fc.array(command, { maxLength: 40 }), (commands) => {
      const busy = commands.reduce(apply, createLedger(total));
      const idle = busy.tasks.keySeq().reduce(release, busy);
      expect(freeResources(setService(idle, NO_RESOURCES))).to.deep.equal(total);
    }),
    { seed: 3, numRuns: 300 },
  );
});

it('ledger: a key cannot be reserved twice, nor an invalid amount', () => {
  const once = reserve(createLedger(total), 'a', { ...NO_RESOURCES, memoryMb: 1 });
  const ledger = once.ok ? once.value : createLedger(total);
  const refusals = [
    reserve(ledger, 'a', NO_RESOURCES),
    reserve(ledger, 'b', { ...NO_RESOURCES, memoryMb: Number.NaN }),
    reserve(ledger, 'b', { ...NO_RESOURCES, memoryMb: -1 }),
  ].map((result) => (result.ok ? 'reserved' : result.failure.kind));
  expect(refusals).to.deep.equal(['alreadyReserved', 'invalidAmount', 'invalidAmount']);
});

it('ledger: a service reservation that overlaps running tasks has a shortfall until they end', () => {
  const tasks = reserve(createLedger(total), 'a', { ...NO_RESOURCES, memoryMb: 100_000 });
  const ledger = tasks.ok ? tasks.value : createLedger(total);
  const grown = setService(ledger, { ...NO_RESOURCES, memoryMb: 60_000 });
  expect(shortfall(grown).memoryMb).to.equal(35_000);
  expect(freeResources(grown).memoryMb).to.equal(0);
  expect(shortfall(release(grown, 'a')).memoryMb).to.equal(0);
});
