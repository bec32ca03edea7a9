import type { WorkerFault } from './simunreachable';
import { expectNoViolation, FAILURES } from './simunreachable';

const SEEDS = [1, 2, 3, 4];

/** Longest time for which a worker goes on after its message without an acknowledgement. */
const LONGEST_MS = 4_000;

function expectOneRun(fault: WorkerFault): void {
  expectNoViolation(SEEDS, fault);
}

/** Announces the end of a worker, and sends its message some time later. */
function announce(repeatsAtMs: readonly number[]): WorkerFault {
  return (simulation, machine, draw) => {
    simulation.drainWorker(machine);
    simulation.advance(draw.between(100, 1_500));
    const goesOnMs = draw.between(300, LONGEST_MS);
    simulation.leaveSlowly(machine, { goesOnMs, repeatsAtMs });
    simulation.advance(LONGEST_MS + 1_000);
    simulation.startWorker(machine, draw.oneOf([true, false]));
  };
}

// Guards against tasks of a worker that left which are placed elsewhere before the worker has ended.
it('leaving: a worker that goes on after its leave message keeps its runs', () => {
  expectOneRun(announce([]));
});

// Guards against a repeated leave message as the proof of an end.
it('leaving: a worker whose acknowledgement is lost keeps its runs until it ends', () => {
  expectOneRun(announce([500, 1_000, 1_500, 2_000]));
});

// Guards against lost calls as the proof that a worker which announced its end has ended.
it('leaving: a worker that cannot be reached after its leave message keeps its runs', () => {
  expectOneRun((simulation, machine, draw) => {
    const calls = draw.oneOf(FAILURES);
    simulation.drainWorker(machine);
    simulation.advance(draw.between(100, 1_500));
    simulation.disturbHop(machine, { calls, hasHeartbeats: false }, LONGEST_MS);
    const goesOnMs = draw.between(300, LONGEST_MS);
    simulation.leaveSlowly(machine, { goesOnMs, repeatsAtMs: [] });
    simulation.advance(LONGEST_MS + 1_000);
    simulation.startWorker(machine, draw.oneOf([true, false]));
  });
});
