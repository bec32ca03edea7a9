import { expect } from 'chai';
import type { JobDetails, Submission } from '@bronzeyoke/types';
import { EntrySimulation } from './simulation';

const WORKERS = 8;

/** Longer than the entry takes to fence a worker without renewals, and to place its tasks elsewhere. */
const LOSS_MS = 60_000;

const JOB: Submission = {
  team: 'quotes',
  key: 'k',
  workKind: 'curve',
  role: 'batch',
  declared: { processorsMilli: 1_000, memoryMb: 1_000, accelerators: 0 },
  declaredRunMs: 1_000,
  deadlineAtMs: 6_000_000,
  urgency: 'normal',
  taskCount: 1,
  payload: '',
};

function detailsOf(simulation: EntrySimulation, callId: string): JobDetails {
  const reply = simulation.replies.get(callId);
  if (reply?.ok !== true || reply.value.kind !== 'job') throw new Error(`no job in ${callId}`);
  return reply.value.status;
}

/** Lets the agent that holds a task end with its worker; returns whether there was one. */
function loseHolder(simulation: EntrySimulation): boolean {
  const index = simulation.agents.findIndex(({ isDead, tasks }) => !isDead && tasks.size > 0);
  if (index === -1) return false;
  simulation.killAgent(index);
  return true;
}

// Guards against a task that crashes the worker and the agent of each of its runs, and that is started again
// without a bound: no report of a failure ever arrives.
it('lostworkers: a task whose workers are lost is parked after three of them', () => {
  const simulation = new EntrySimulation({
    seed: 7,
    entries: 1,
    workers: WORKERS,
    runMs: () => 1_000_000,
  });
  simulation.runUntil(10_000);
  simulation.administer(0, 'submit', { kind: 'submitJob', submission: JOB });
  const losses = Array.from({ length: WORKERS }).filter(() => {
    simulation.runUntil(simulation.nowMs + LOSS_MS);
    return loseHolder(simulation);
  });
  expect(losses).to.have.length(3);
  const { jobId } = detailsOf(simulation, 'submit').job;
  simulation.administer(0, 'show', { kind: 'showJob', team: JOB.team, jobId });
  simulation.runUntil(simulation.nowMs + 1_000);
  const [task] = detailsOf(simulation, 'show').tasks;
  expect(task?.row.state).to.deep.include({
    kind: 'parked',
    reason: { kind: 'failsEverywhere', failures: 3 },
  });
});
