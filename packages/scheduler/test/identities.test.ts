import { expect } from 'chai';
import * as fc from 'fast-check';
import { is } from 'immutable';
import { assertNever } from '@bronzeyoke/types';
import { indexInstances } from '../src/fleet/identities';
import type { Fixture } from './fixture';
import { createLeader, dispatch, goneMessage, report, WALL_MS, workerKeyFor } from './fixture';

type Change =
  | {
      readonly kind: 'report';
      readonly site: string;
      readonly bornAtMs: number;
      readonly address: string;
    }
  | { readonly kind: 'gone'; readonly site: string; readonly bornAtMs: number };

const site = fc.constantFrom('w1', 'w2');
const bornAtMs = fc.integer({ min: 5, max: 8 });

const change: fc.Arbitrary<Change> = fc.oneof(
  fc.record({
    kind: fc.constant('report' as const),
    site,
    bornAtMs,
    address: fc.constantFrom('a:1', 'b:1', 'c:1'),
  }),
  fc.record({ kind: fc.constant('gone' as const), site, bornAtMs }),
);

function apply(fixture: Fixture, event: Change): Fixture {
  switch (event.kind) {
    case 'report':
      return report(fixture, event.site, event);
    case 'gone': {
      const message = goneMessage(workerKeyFor(event.site, event.bornAtMs));
      const linkId = `link-${event.site}`;
      return dispatch(fixture, { kind: 'received', linkId, message, wallMs: WALL_MS });
    }
    default:
      return assertNever(event);
  }
}

// Guards against an instance that is missed as the earlier or later one of a worker, so that a task runs
// twice or is never released.
it('identities: the index follows the reports and ends of workers', () => {
  fc.assert(
    fc.property(fc.array(change, { maxLength: 20 }), (changes) => {
      changes.reduce((current, event) => {
        const next = apply(current, event);
        const { instances, workers } = next.state;
        const { byId, byAddress } = indexInstances(workers);
        expect(is(instances.byId, byId) && is(instances.byAddress, byAddress)).to.equal(true);
        return next;
      }, createLeader());
    }),
    { numRuns: 100, seed: 41 },
  );
});
