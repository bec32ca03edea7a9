import type { WorkerFault } from './simunreachable';
import { expectNoViolation, FAILURES, LOSSES } from './simunreachable';

const SEEDS = [1, 2, 3, 4];

function expectOneRun(fault: WorkerFault): void {
  expectNoViolation(SEEDS, fault);
}

/** Lets calls to a worker time out one way or the other. */
const loseCalls: WorkerFault = (simulation, machine, draw) => {
  const calls = draw.oneOf(LOSSES);
  simulation.disturbHop(machine, { calls, hasHeartbeats: true }, draw.between(300, 2_500));
};

// Guards against a leave message of another writer that ends a worker without a fault.
it('other writers: a leave message for a live worker changes nothing', () => {
  expectOneRun((simulation, machine) => simulation.hearLeave(machine));
});

// Guards against a call that times out as the confirmation of another writer's leave message.
it('other writers: a leave message beside lost calls keeps the runs', () => {
  expectOneRun((simulation, machine, draw) => {
    loseCalls(simulation, machine, draw);
    simulation.advance(draw.between(0, 300));
    simulation.hearLeave(machine);
  });
});

// Guards against refused connections as the confirmation of another writer's leave message.
it('other writers: a leave message beside refused connections keeps the runs', () => {
  expectOneRun((simulation, machine, draw) => {
    const hop = { calls: 'refused', hasHeartbeats: true } as const;
    simulation.disturbHop(machine, hop, draw.between(60, 2_000));
    simulation.hearLeave(machine);
  });
});

// Guards against a heartbeat of another writer that takes the runs of a worker away.
it('other writers: a draining heartbeat for a live worker keeps the runs', () => {
  expectOneRun((simulation, machine) => simulation.hearDraining(machine));
});

// Guards against a leave message of another writer that counts because its heartbeat announced it.
it('other writers: a draining heartbeat and a leave message keep the runs', () => {
  expectOneRun((simulation, machine, draw) => {
    simulation.hearDraining(machine);
    simulation.advance(draw.between(10, 1_500));
    simulation.hearLeave(machine);
  });
});

// Guards against a live worker at another address that counts as the successor of a silent one.
it('other writers: heartbeats of the worker of another machine keep the runs', () => {
  expectOneRun((simulation, machine, draw) => {
    const forMs = draw.between(1_500, 4_000);
    const calls = draw.oneOf(FAILURES);
    simulation.disturbHop(machine, { calls, hasHeartbeats: true }, forMs);
    simulation.mixUp(machine, (machine + 1) % 5, forMs);
  });
});
