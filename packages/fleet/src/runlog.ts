import type { WorkerCall, WorkerReport } from '@bronzeyoke/ports';
import { workerKeyOf } from '@bronzeyoke/ports';
import type { WorkerCallStep } from '@bronzeyoke/standins';
import type { Fleet, FleetWorker } from './world';

interface LoggedRun {
  readonly task: string;
  readonly attempt: number;
}

function logStep(fleet: Fleet, workerKey: string, run: LoggedRun, step: string): Fleet {
  const { task, attempt } = run;
  const line = `${(fleet.nowMs / 1_000).toFixed(3)} run ${attempt} on ${workerKey}: ${step}`;
  return { ...fleet, runLog: fleet.runLog.set(task, [...fleet.runLog.get(task, []), line]) };
}

/** Records that an agent sends a start order to a worker. */
export function logOrder(fleet: Fleet, worker: WorkerReport, call: WorkerCall): Fleet {
  return call.kind === 'start' ? logStep(fleet, workerKeyOf(worker), call, 'ordered') : fleet;
}

/** Records what a call has changed: a start, a stop, ends, and those that it acknowledged. */
export function logCall(
  fleet: Fleet,
  worker: FleetWorker,
  call: WorkerCall,
  { state, started, result }: WorkerCallStep,
): Fleet {
  const before = worker.state;
  const key = workerKeyOf({ id: worker.id, bornAtMs: state.bornAtMs });
  const steps = [
    ...(started === undefined ? [] : [{ run: started, step: 'started' }]),
    ...(call.kind === 'stop' && result.kind === 'done' ? [{ run: call, step: 'stopOrdered' }] : []),
    ...state.ends
      .filter(({ sequence }) => sequence > before.lastEndSequence)
      .map((run) => ({ run, step: `ended (${run.end})` })),
    ...before.ends
      .filterNot(({ sequence }) => state.ends.some((end) => end.sequence === sequence))
      .map((run) => ({ run, step: 'acknowledged' })),
  ];
  return steps.reduce((current, { run, step }) => logStep(current, key, run, step), fleet);
}
