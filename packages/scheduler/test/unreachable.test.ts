import type { HopCalls } from './simhop';
import type { WorkerFault } from './simunreachable';
import { expectNoViolation } from './simunreachable';

const SEEDS = [1, 2, 3, 4];

/** Shortest and longest time for which calls fail. */
const FAILING_MS = [300, 4_000] as const;

function expectOneRun(fault: WorkerFault): void {
  expectNoViolation(SEEDS, fault);
}

/** Lets the calls to a worker that goes on fail for some time. */
function failCalls(calls: HopCalls, hasHeartbeats: boolean): WorkerFault {
  return (simulation, machine, draw) =>
    simulation.disturbHop(machine, { calls, hasHeartbeats }, draw.between(...FAILING_MS));
}

// Guards against refused connections that count as the end of a worker whose heartbeats go on.
it('unreachable: a worker that refuses connections keeps its runs', () => {
  expectOneRun(failCalls('refused', true));
});

// Guards against refused connections that count as the end of a worker although it only is cut off.
it('unreachable: a worker that refuses connections without heartbeats keeps its runs', () => {
  expectOneRun(failCalls('refused', false));
});

// Guards against calls that time out as a proof of the end of a worker whose heartbeats go on.
it('unreachable: a worker whose calls get lost keeps its runs', () => {
  expectOneRun(failCalls('lost', true));
});

// Guards against calls that time out as a proof of the end of a worker that is cut off.
it('unreachable: a worker whose calls get lost without heartbeats keeps its runs', () => {
  expectOneRun(failCalls('lost', false));
});

// Guards against orders that count as not carried out because their replies are lost.
it('unreachable: a worker whose replies get lost keeps its runs', () => {
  expectOneRun(failCalls('unanswered', true));
});

// Guards against orders that count as not carried out because the worker is silent after them.
it('unreachable: a worker whose replies get lost without heartbeats keeps its runs', () => {
  expectOneRun(failCalls('unanswered', false));
});

/** Time after which late orders are carried out. */
const LATE_MS = [2_000, 12_000] as const;
const PROMPT_MS = [1, 1] as const;

/** Makes the orders to a worker late, and ends it some time after with a later instance in its place. */
function restartWithLateOrders(hasSameId: boolean): WorkerFault {
  return (simulation, machine, draw) => {
    simulation.setOrderDelay(machine, LATE_MS);
    simulation.submit('short', 6);
    simulation.submit('long', 2);
    simulation.advance(draw.between(20, 900));
    simulation.crashWorker(machine);
    simulation.setOrderDelay(machine, PROMPT_MS);
    simulation.advance(draw.between(1, 3_000));
    simulation.startWorker(machine, hasSameId);
  };
}

// Guards against a task placed elsewhere while a late order of it may still be carried out.
it('unreachable: late orders start no task that runs elsewhere', () => {
  expectOneRun((simulation, machine, draw) => {
    simulation.setOrderDelay(machine, LATE_MS);
    simulation.submit('long', 2);
    simulation.advance(draw.between(300, 3_000));
    simulation.setOrderDelay(machine, PROMPT_MS);
  });
});

// Guards against a late order that a later instance under the same id carries out.
it('unreachable: late orders to an earlier instance under the same id run once', () => {
  expectOneRun(restartWithLateOrders(true));
});

// Guards against a late order that counts for a worker under another id at the same address.
it('unreachable: late orders to an earlier instance under another id run once', () => {
  expectOneRun(restartWithLateOrders(false));
});

// Guards against a lost order that a list settles and that a later instance still carries out, because it
// has not seen the raised token.
it('unreachable: a late order that a list has settled starts no second run', () => {
  const lateMs = 2_500;
  expectOneRun((simulation, machine, draw) => {
    simulation.setOrderDelay(machine, [lateMs, lateMs]);
    simulation.submit('long', 5);
    simulation.advance(lateMs - draw.between(1, 100));
    simulation.crashWorker(machine);
    simulation.setOrderDelay(machine, PROMPT_MS);
    simulation.startWorker(machine, true);
  });
});
