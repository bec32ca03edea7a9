import { expect } from 'chai';
import type { FleetResult, WorkerFaultKind } from '@bronzeyoke/fleet';
import { runFleet } from '@bronzeyoke/fleet';

const SEEDS = [1, 2, 3, 4];

/** Faults of workers in a run, and other faults. */
const WORKER_FAULTS = 16;
const OTHER_FAULTS = 2;

/** Describes the violations of a run, with what happened to the runs of their tasks. */
function describe({ fleet, unfinished, away }: FleetResult): readonly string[] {
  return [
    ...fleet.violations.flatMap(({ kind, task, atMs }) => [
      `${kind} ${task} at ${atMs}`,
      ...fleet.runLog.get(task, []),
    ]),
    ...unfinished.map((job) => `${job} did not end`),
    ...away.map((task) => `${task} is away`),
  ];
}

function expectNoViolation(kinds: readonly WorkerFaultKind[], otherFaults = OTHER_FAULTS): void {
  const found = SEEDS.flatMap((seed) => {
    const plan = { count: WORKER_FAULTS, kinds };
    const lines = describe(runFleet(seed, otherFaults, undefined, plan));
    return lines.length === 0 ? [] : [`seed ${seed}: ${lines[0] ?? ''}`, ...lines.slice(1)];
  });
  expect(found).to.deep.equal([]);
}

// Guards against refused connections as the proof that a worker has ended.
it('fleet: workers that refuse connections run no task twice', () => {
  expectNoViolation(['refuseCalls']);
});

// Guards against lost calls and lost replies as the proof that a worker has ended.
it('fleet: workers whose calls or replies get lost run no task twice', () => {
  expectNoViolation(['loseCalls', 'loseReplies']);
});

// Guards against a leave message of another writer that calls which fail confirm.
it('fleet: leave messages of another writer run no task twice', () => {
  expectNoViolation(['oddLeave', 'oddLeaveBesideLoss']);
});

// Guards against a leave message of another writer that its draining heartbeat announced.
it('fleet: draining heartbeats of another writer run no task twice', () => {
  expectNoViolation(['oddDraining', 'oddAnnouncedLeave']);
});

// Guards against a worker that counts as gone while it goes on after its leave message.
it('fleet: workers that go on after their leave message run no task twice', () => {
  expectNoViolation(['leaveWorker']);
});

// Guards against late orders that a later instance under the same id carries out.
it('fleet: late orders to workers that restart under their id run no task twice', () => {
  expectNoViolation(['callsLate', 'restartWorker']);
});
