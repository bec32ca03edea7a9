import { expect } from 'chai';
import type { WorkerCall } from '@bronzeyoke/ports';
import type { Fixture } from './fixture';
import {
  answerHold,
  createLeased,
  dispatch,
  goneKeysOf,
  KEY,
  LISTED,
  MAX_LEASE_MS,
  order,
  REPORT,
  repeatHolds,
  reportsOf,
} from './fixture';

const LATER = { ...REPORT, bornAtMs: 900, sequence: 1 };
const LATER_KEY = 'i-1@900';

/** Returns an agent whose later instance runs a late order to the earlier one, and ignores its stops. */
function runningLate(): readonly Fixture[] {
  const heard = dispatch(order(createLeased()), { kind: 'heartbeat', report: LATER });
  const list = (current: Fixture): Fixture =>
    answerHold(current, { bornAtMs: 900, running: [LISTED] });
  const restarted = list(list(heard));
  return [restarted, ...repeatHolds(restarted, MAX_LEASE_MS, list)];
}

function callsOf(steps: readonly Fixture[], kind: WorkerCall['kind']): readonly WorkerCall[] {
  return steps
    .flatMap(({ effects }) => effects)
    .flatMap((effect) =>
      effect.kind === 'call' && effect.call.kind === kind && effect.worker.bornAtMs === 900
        ? [effect.call]
        : [],
    );
}

// Guards against an instance that stays unused for good because a run of a late order ignores its stops: no
// call prolongs the lease of that run, so the worker ends it with its lease, 10 s after the order at most.
it('late run: an instance that ignores the stop of a late run gets no lease', () => {
  const steps = runningLate();
  expect(callsOf(steps, 'stop').length).to.be.above(5);
  const leases = callsOf(steps, 'hold').flatMap((call) =>
    call.kind === 'hold' && call.leaseUntilClockMs !== undefined ? [call] : [],
  );
  expect(leases).to.deep.equal([]);
  expect(steps.flatMap((step) => goneKeysOf(step))).to.deep.equal([]);
});

// Guards against the same: once the lease has ended the run, the leader learns of both instances.
it('late run: an instance is reported once its late run has ended', () => {
  const last = runningLate().at(-1);
  if (last === undefined) throw new Error('the later instance has not answered');
  const held = dispatch(last, { kind: 'tick' }, 300);
  const ended = answerHold(held, { bornAtMs: 900 });
  const linked = dispatch(ended, { kind: 'linkOpened' });
  expect(ended.state.goneWorkers.map(({ phase }) => phase)).to.deep.equal(['ended']);
  expect(reportsOf(linked).map(({ workerKey }) => workerKey)).to.deep.equal([LATER_KEY]);
  expect(goneKeysOf(linked)).to.deep.equal([KEY]);
});
