import { dropHistory } from '@bronzeyoke/standins';
import { assertNever } from '@bronzeyoke/types';
import { bootAgent, bootEntry, bootWorker } from './process';
import { startLeave } from './heartbeat';
import type { Fleet, FleetFault } from './world';

/** Starts a fault. */
export function startFault(fleet: Fleet, fault: FleetFault): Fleet {
  switch (fault.kind) {
    case 'killEntry':
      return { ...fleet, entries: fleet.entries.delete(fault.site) };
    case 'killAgent':
      return { ...fleet, agents: fleet.agents.delete(fault.site) };
    case 'crashWorker':
    case 'restartWorker':
      return { ...fleet, workers: fleet.workers.delete(fault.site) };
    case 'leaveWorker':
      return startLeave(fleet, fault.site);
    case 'freeze': {
      const untilMs = fleet.nowMs + fault.forMs;
      return { ...fleet, frozenUntilMs: fleet.frozenUntilMs.set(fault.site, untilMs) };
    }
    case 'storeDropsHistory':
      return { ...fleet, store: dropHistory(fleet.store) };
    case 'refuseCalls':
    case 'loseCalls':
    case 'loseReplies':
    case 'callsLate':
    case 'cutStore':
    case 'cutLink':
    case 'storeDown':
    case 'storeLosesAnswers':
    case 'storeWritesLate':
    case 'ordersLate':
      return { ...fleet, activeFaults: fleet.activeFaults.add(fault) };
    default:
      return assertNever(fault);
  }
}

/** Ends a fault, and restarts the process or worker that it ended. */
export function endFault(fleet: Fleet, fault: FleetFault): Fleet {
  switch (fault.kind) {
    case 'killEntry':
      return fleet.entries.has(fault.site) ? fleet : bootEntry(fleet, fault.site);
    case 'killAgent':
      return fleet.agents.has(fault.site) ? fleet : bootAgent(fleet, fault.site);
    case 'crashWorker':
      return fleet.workers.has(fault.site) ? fleet : bootWorker(fleet, fault.site);
    case 'restartWorker':
      return fleet.workers.has(fault.site)
        ? fleet
        : bootWorker(fleet, fault.site, fleet.lastWorkerIds.get(fault.site));
    case 'leaveWorker':
      return fleet.workers.get(fault.site)?.isDraining === true
        ? bootWorker(fleet, fault.site)
        : fleet;
    case 'freeze':
    case 'storeDropsHistory':
      return fleet;
    case 'refuseCalls':
    case 'loseCalls':
    case 'loseReplies':
    case 'callsLate':
    case 'cutStore':
    case 'cutLink':
    case 'storeDown':
    case 'storeLosesAnswers':
    case 'storeWritesLate':
    case 'ordersLate':
      return { ...fleet, activeFaults: fleet.activeFaults.delete(fault) };
    default:
      return assertNever(fault);
  }
}
