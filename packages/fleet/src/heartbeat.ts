import type { RunnerEvent } from '@bronzeyoke/runner';
import { INTERVALS } from './process';
import type { Fleet } from './world';
import { isActive, schedule, workerReport } from './world';

/** Time from the announcement of a worker's end to its message that it leaves. */
const ANNOUNCED_MS = 500;

/** Sends an event to the agent of a site, if there is one. */
function sendToAgent(fleet: Fleet, site: string, event: RunnerEvent): Fleet {
  const agent = fleet.agents.get(site);
  if (agent === undefined) return fleet;
  return schedule(fleet, 1, { kind: 'agentEvent', site, bootId: agent.bootId, event });
}

/** Reports a worker to its agent, and schedules the next report. */
export function sendHeartbeat(fleet: Fleet, site: string): Fleet {
  const worker = fleet.workers.get(site);
  if (worker === undefined) return fleet;
  const rescheduled = schedule(fleet, INTERVALS.heartbeatMs, { kind: 'heartbeat', site });
  const isSilent = isActive(
    fleet,
    (fault) => 'hasHeartbeats' in fault && fault.site === site && !fault.hasHeartbeats,
  );
  if (isSilent) return rescheduled;
  return sendToAgent(rescheduled, site, {
    kind: 'heartbeat',
    report: workerReport(worker, fleet.sequence),
  });
}

/** Sends the message that a worker leaves, which may come from another writer. */
export function sendLeave(fleet: Fleet, site: string, id: string): Fleet {
  return sendToAgent(fleet, site, { kind: 'workerLeft', id });
}

/** Announces the end of a worker, and sends its leave message some time later. */
export function startLeave(fleet: Fleet, site: string): Fleet {
  const worker = fleet.workers.get(site);
  if (worker === undefined) return fleet;
  const draining = { ...worker, isDraining: true };
  const announced = sendToAgent({ ...fleet, workers: fleet.workers.set(site, draining) }, site, {
    kind: 'heartbeat',
    report: workerReport(draining, fleet.sequence),
  });
  return schedule(announced, ANNOUNCED_MS, { kind: 'leave', site, id: worker.id });
}

/** Sends an agent a heartbeat of another writer that its worker drains. */
export function sendOddDraining(fleet: Fleet, site: string): Fleet {
  const worker = fleet.workers.get(site);
  if (worker === undefined) return fleet;
  const report = { ...workerReport(worker, fleet.sequence), isDraining: true };
  return sendToAgent(fleet, site, { kind: 'heartbeat', report });
}

/** Sends an agent a heartbeat of another writer, with a later birth than its worker's. */
export function sendOddHeartbeat(fleet: Fleet, site: string): Fleet {
  const worker = fleet.workers.get(site);
  if (worker === undefined) return fleet;
  const report = {
    ...workerReport(worker, fleet.sequence),
    id: 'odd',
    address: 'odd:1',
    service: 'retired',
    bornAtMs: worker.state.bornAtMs + 1,
  };
  return sendToAgent(fleet, site, { kind: 'heartbeat', report });
}
