import type { Clock } from './simclock';
import type { Hop } from './simhop';
import { OPEN_HOP } from './simhop';
import type { AgentNode, World } from './simnodes';
import type { WorkerFaults } from './simtypes';
import type { SimWorker } from './simworker';

/** Interval between the heartbeats of workers. */
const HEARTBEAT_MS = 500;

/** Added to the sequence of another writer's heartbeat, so that it counts as the latest one. */
const LATER_SEQUENCES = 1_000;

/** An agent and the worker beside it. The index of a machine stands in its name, `m0` for the first. */
export interface Machine {
  readonly agent: AgentNode;
  readonly worker: SimWorker;
}

/** What the faults of workers use of a simulation. */
export interface MachinePark {
  readonly clock: Clock;
  readonly machines: readonly Machine[];
  readonly startWorker: (index: number, id: string) => void;
  readonly startAgent: (index: number) => void;
  readonly log: (who: string, text: string) => void;
  readonly disturb: (what: string) => void;
  readonly calm: (what: string) => void;
}

/** The ways between agents and workers, and the addresses that are mixed up. */
export interface Hops {
  readonly view: Pick<World, 'hopOf' | 'workerAt'>;
  readonly set: (machine: string, hop: Hop) => void;
  /** Lets the calls of an agent reach the worker of another machine. */
  readonly connect: (machine: string, other: string) => void;
  readonly disconnect: (machine: string) => void;
}

/** Creates the ways of a simulation without faults. Each worker's address is the name of its machine. */
export function createHops(workerOf: (machine: string) => SimWorker | undefined): Hops {
  const hops = new Map<string, Hop>();
  const others = new Map<string, string>();
  return {
    view: {
      hopOf: (machine, address) =>
        machine === address ? (hops.get(machine) ?? OPEN_HOP) : OPEN_HOP,
      workerAt: (machine, address) =>
        machine === address || others.get(machine) === address ? workerOf(address) : undefined,
    },
    set: (machine, hop) => {
      hops.set(machine, hop);
    },
    connect: (machine, other) => {
      others.set(machine, other);
    },
    disconnect: (machine) => {
      others.delete(machine);
    },
  };
}

/** Creates the faults between agents and workers, and those of other writers. */
export function createWorkerFaults(park: MachinePark, hops: Hops): WorkerFaults {
  const { clock, machines, log, disturb, calm } = park;
  const nameOf = (index: number): string => `m${index}`;
  const disturbOnce = (what: string): void => {
    disturb(what);
    calm(what);
  };

  const hearLeave = (index: number): void => {
    const machine = machines[index];
    if (machine === undefined) return;
    log('fault', `leave message ${nameOf(index)}`);
    machine.agent.dispatch({ kind: 'workerLeft', id: machine.worker.id });
  };

  const hearWorkerOf = (index: number, other: number, untilMs: number): void => {
    const worker = machines[other]?.worker;
    if (worker?.isUp() !== true || clock.now() >= untilMs) return;
    machines[index]?.agent.dispatch({ kind: 'heartbeat', report: worker.report() });
    clock.schedule(HEARTBEAT_MS, () => hearWorkerOf(index, other, untilMs));
  };

  return {
    disturbHop: (index, hop, forMs) => {
      const name = nameOf(index);
      const what = `hop ${name} ${hop.calls}${hop.hasHeartbeats ? '' : ', no heartbeats'}`;
      disturb(what);
      hops.set(name, hop);
      clock.schedule(forMs, () => {
        hops.set(name, OPEN_HOP);
        calm(what);
      });
    },
    hearLeave,
    hearDraining: (index) => {
      const machine = machines[index];
      if (machine === undefined) return;
      log('fault', `draining heartbeat ${nameOf(index)}`);
      const report = machine.worker.report();
      const sequence = report.sequence + LATER_SEQUENCES;
      const other = { ...report, isDraining: true, sequence };
      machine.agent.dispatch({ kind: 'heartbeat', report: other });
    },
    mixUp: (index, other, forMs) => {
      const what = `addresses ${nameOf(index)} ${nameOf(other)}`;
      disturb(what);
      hops.connect(nameOf(index), nameOf(other));
      hearWorkerOf(index, other, clock.now() + forMs);
      clock.schedule(forMs, () => {
        hops.disconnect(nameOf(index));
        calm(what);
      });
    },
    leaveSlowly: (index, { goesOnMs, repeatsAtMs }) => {
      hearLeave(index);
      const { id, end } = machines[index]?.worker ?? { id: '', end: () => {} };
      const repeat = (): void => machines[index]?.agent.dispatch({ kind: 'workerLeft', id });
      repeatsAtMs.forEach((atMs) => clock.schedule(atMs, repeat));
      clock.schedule(goesOnMs, () => {
        log('plan', `end ${nameOf(index)}`);
        end();
      });
    },
    crashWorker: (index) => {
      disturbOnce(`crash worker ${nameOf(index)}`);
      machines[index]?.worker.end();
    },
    startWorker: (index, hasSameId) => {
      const id = machines[index]?.worker.id ?? '';
      log('plan', `start worker ${nameOf(index)}`);
      park.startWorker(index, hasSameId ? id : `${nameOf(index)}-${clock.now()}`);
    },
    replaceAgent: (index, how, afterMs) => {
      disturbOnce(`${how} agent ${nameOf(index)}`);
      const agent = machines[index]?.agent;
      if (how === 'kill') agent?.kill();
      else agent?.stop();
      clock.schedule(afterMs, () => {
        agent?.kill();
        park.startAgent(index);
      });
    },
    tasksOn: (index) => {
      const worker = machines[index]?.worker;
      return worker?.isUp() === true ? [...worker.state().runs.keys()] : [];
    },
  };
}
