import { expect } from 'chai';
import fc from 'fast-check';
import type { JobDetails, Submission } from '@bronzeyoke/types';
import { EntrySimulation } from './simulation';

const size = { processorsMilli: 1_000, memoryMb: 1_000, accelerators: 0 };

function submission(key: string, taskCount: number, extra: Partial<Submission> = {}): Submission {
  return {
    team: 'quotes',
    key,
    workKind: 'curve',
    role: 'batch',
    declared: size,
    declaredRunMs: 1_000,
    deadlineAtMs: 600_000,
    urgency: 'normal',
    taskCount,
    payload: '',
    ...extra,
  };
}

function submit(simulation: EntrySimulation, entry: number, callId: string, job: Submission): void {
  simulation.administer(entry, callId, { kind: 'submitJob', submission: job });
}

function statusOf(simulation: EntrySimulation, callId: string): JobDetails {
  const reply = simulation.replies.get(callId);
  if (reply?.ok !== true || reply.value.kind !== 'job') throw new Error(`no job in ${callId}`);
  return reply.value.status;
}

function show(simulation: EntrySimulation, entry: number, team: string, jobId: string): JobDetails {
  const callId = `show-${simulation.nowMs}`;
  simulation.administer(entry, callId, { kind: 'showJob', team, jobId });
  simulation.runUntil(simulation.nowMs + 1_000);
  return statusOf(simulation, callId);
}

/** Cancels a job, and repeats the command while the table is unavailable. */
function cancel(simulation: EntrySimulation, callId: string, jobId: string): void {
  simulation.administer(1, callId, { kind: 'cancelJob', team: 'quotes', jobId });
  simulation.runUntil(simulation.nowMs + 5_000);
  if (simulation.replies.get(callId)?.ok !== true) cancel(simulation, `${callId}x`, jobId);
}

/** Returns tasks that ran in two places at once or finished twice; watchers may finish again. */
function faultsOf(simulation: EntrySimulation, mayFinishAgain = false): readonly string[] {
  return simulation.runs.flatMap((run, index) =>
    simulation.runs.slice(index + 1).flatMap((other) => {
      if (other.key !== run.key) return [];
      const overlaps = other.fromMs < run.toMs && run.fromMs < other.toMs;
      const isTwice = !mayFinishAgain && run.end === 'finished' && other.end === 'finished';
      return overlaps || isTwice ? [`${run.key} ${run.epoch}/${other.epoch}`] : [];
    }),
  );
}

it('batch: a job is claimed, started and finished once', () => {
  const simulation = new EntrySimulation({ seed: 1, entries: 2, workers: 4, runMs: () => 1_000 });
  simulation.runUntil(10_000);
  submit(simulation, 0, 'a', submission('k', 50));
  simulation.runUntil(30_000);
  const { job, tasks } = show(simulation, 1, 'quotes', statusOf(simulation, 'a').job.jobId);
  expect(job.taskCount).to.equal(50);
  expect(tasks.map((task) => task.row.state.kind)).to.deep.equal(Array(50).fill('finished'));
  expect(simulation.runs.length).to.equal(50);
  expect(faultsOf(simulation)).to.deep.equal([]);
});

// A caller that repeats its submission must not get a second job.
it('batch: the same team and key is one job', () => {
  const simulation = new EntrySimulation({ seed: 2, entries: 2, workers: 1, runMs: () => 100 });
  simulation.runUntil(5_000);
  submit(simulation, 0, 'a', submission('k', 1));
  submit(simulation, 1, 'b', submission('k', 1));
  simulation.runUntil(15_000);
  expect(statusOf(simulation, 'a').job.jobId).to.equal(statusOf(simulation, 'b').job.jobId);
  expect(simulation.runs.length).to.equal(1);
});

// A commit whose reply was lost, a dead owner or a dead worker must not lead to a second start.
it('batch: with lost replies, an outage, a dead entry and a dead worker every task finishes once', () => {
  fc.assert(
    fc.property(fc.nat(1_000_000), fc.double({ min: 0, max: 0.4, noNaN: true }), (seed, lost) => {
      const faults = { untilMs: 60_000, lost, down: 0.1 };
      const simulation = new EntrySimulation({
        seed,
        entries: 2,
        workers: 4,
        runMs: () => 3_000,
        faults,
      });
      simulation.runUntil(5_000);
      submit(simulation, 1, 'a', submission('k', 40));
      simulation.runUntil(20_000);
      submit(simulation, 1, 'b', submission('k', 40));
      simulation.runUntil(22_000);
      simulation.replaceEntry(0, 'e0-again');
      simulation.runUntil(30_000);
      simulation.killAgent(0);
      simulation.runUntil(200_000);
      submit(simulation, 1, 'c', submission('k', 40));
      simulation.runUntil(230_000);
      const { tasks } = show(simulation, 1, 'quotes', statusOf(simulation, 'c').job.jobId);
      expect(tasks.every((task) => task.row.state.kind === 'finished')).to.equal(true);
      expect(faultsOf(simulation)).to.deep.equal([]);
    }),
    { seed: 51, numRuns: 10 },
  );
});

// A paused owner resumes commits to a shard that another entry has taken over and changed.
it('batch: an owner that is paused while its shard is taken over starts nothing twice', () => {
  fc.assert(
    fc.property(fc.nat(1_000_000), fc.integer({ min: 0, max: 2_000 }), (seed, waitMs) => {
      const faults = { untilMs: 40_000, lost: 0.2, down: 0 };
      const simulation = new EntrySimulation({
        seed,
        entries: 2,
        workers: 3,
        runMs: () => 2_500,
        faults,
      });
      simulation.runUntil(6_000);
      submit(simulation, 0, 'a', submission('k', 60));
      submit(simulation, 0, 'b', submission('k', 60, { team: 'certs' }));
      simulation.runUntil(9_000 + waitMs);
      simulation.pauseEntry(seed % 2, 25_000);
      simulation.runUntil(130_000);
      submit(simulation, 1, 'c', submission('k', 60));
      simulation.runUntil(135_000);
      const { tasks } = show(simulation, 1, 'quotes', statusOf(simulation, 'c').job.jobId);
      expect(tasks.every((task) => task.row.state.kind === 'finished')).to.equal(true);
      expect(faultsOf(simulation)).to.deep.equal([]);
    }),
    { seed: 53, numRuns: 6 },
  );
});

it('batch: a cancelled job stops, and its claims in flight do not start', () => {
  fc.assert(
    fc.property(fc.nat(1_000_000), fc.integer({ min: 0, max: 3_000 }), (seed, waitMs) => {
      const faults = { untilMs: 60_000, lost: 0.2, down: 0 };
      const simulation = new EntrySimulation({
        seed,
        entries: 2,
        workers: 2,
        runMs: () => 60_000,
        faults,
      });
      simulation.runUntil(5_000);
      submit(simulation, 0, 'a', submission('k', 30));
      simulation.runUntil(8_000 + waitMs);
      const reply = simulation.replies.get('a');
      if (reply === undefined) return;
      const { jobId } = statusOf(simulation, 'a').job;
      cancel(simulation, 'x', jobId);
      simulation.runUntil(simulation.nowMs + 60_000);
      expect(simulation.runs.filter((run) => run.end === 'running')).to.deep.equal([]);
      const { tasks } = show(simulation, 0, 'quotes', jobId);
      expect(tasks.every((task) => task.row.state.kind === 'cancelled')).to.equal(true);
    }),
    { seed: 52, numRuns: 10 },
  );
});

// P4: work in a domain that was taken out would be lost with it.
it('batch: nothing starts in a domain after it was taken out, and its tasks resume elsewhere', () => {
  const simulation = new EntrySimulation({ seed: 5, entries: 2, workers: 4, runMs: () => 20_000 });
  simulation.runUntil(10_000);
  submit(simulation, 0, 'a', submission('k', 16));
  simulation.runUntil(15_000);
  const out = { kind: 'domain', name: 'burnie', state: 'out' } as const;
  const ticket = { kind: 'applyTicket', author: 'ops', number: 1, changes: [out] } as const;
  simulation.administer(1, 't', ticket);
  simulation.runUntil(80_000);
  expect(simulation.replies.get('t')?.ok).to.equal(true);
  simulation.administer(0, 'where', { kind: 'whereTicket', number: 1 });
  const where = simulation.replies.get('where');
  const processes = where?.ok === true && where.value.kind === 'where' ? where.value.processes : [];
  const entries = processes.filter((process) => process.process === 'entry');
  expect(entries.map(({ id, number }) => `${id}@${number}`)).to.deep.equal(['e0@1', 'e1@1']);
  const inBurnie = simulation.runs.filter((run) => ['w1', 'w3'].includes(run.worker));
  expect(inBurnie.length).to.be.above(0);
  expect(inBurnie.filter((run) => run.fromMs > 17_000)).to.deep.equal([]);
  expect(inBurnie.every((run) => run.end === 'evicted')).to.equal(true);
  const { tasks } = show(simulation, 1, 'quotes', statusOf(simulation, 'a').job.jobId);
  expect(tasks.every((task) => task.row.state.kind === 'finished')).to.equal(true);
  expect(faultsOf(simulation)).to.deep.equal([]);
});

it('batch: urgent work starts within 8.4 s in a full fleet', () => {
  const simulation = new EntrySimulation({ seed: 6, entries: 2, workers: 4, runMs: () => 600_000 });
  simulation.runUntil(10_000);
  submit(simulation, 0, 'a', submission('k', 100, { deadlineAtMs: 9_000_000 }));
  simulation.runUntil(40_000);
  submit(simulation, 1, 'u', submission('urgent', 3, { team: 'certs', urgency: 'urgent' }));
  simulation.runUntil(48_400);
  const { jobId } = statusOf(simulation, 'u').job;
  expect(simulation.runs.filter((run) => run.key.startsWith(jobId)).length).to.equal(3);
  expect(simulation.runs.filter((run) => run.end === 'evicted').length).to.equal(3);
});

it('batch: a quota caps what a team runs, and a task over the whole quota is parked', () => {
  const simulation = new EntrySimulation({ seed: 7, entries: 1, workers: 4, runMs: () => 5_000 });
  const quota = { processorsMilli: 3_000, memoryMb: 90_000, accelerators: 0 };
  const changes = [{ kind: 'team', name: 'quotes', quota }] as const;
  simulation.administer(0, 't', { kind: 'applyTicket', author: 'ops', number: 1, changes });
  simulation.runUntil(10_000);
  submit(simulation, 0, 'a', submission('k', 12));
  const large = { ...size, processorsMilli: 4_000 };
  submit(simulation, 0, 'b', submission('large', 1, { declared: large, workKind: 'large' }));
  simulation.runUntil(60_000);
  const maxRunning = Math.max(
    ...simulation.runs.map(
      (run) =>
        simulation.runs.filter((other) => other.fromMs <= run.fromMs && run.fromMs < other.toMs)
          .length,
    ),
  );
  expect(maxRunning).to.equal(3);
  const [parked] = show(simulation, 0, 'quotes', statusOf(simulation, 'b').job.jobId).tasks;
  expect(parked?.row.state).to.deep.include({
    kind: 'parked',
    reason: { kind: 'overQuota', team: 'quotes' },
  });
});

// Otherwise one bad worker could fail every task of the queue.
it('batch: a worker that fails every task is quarantined, and a job that fails everywhere is parked', () => {
  const simulation = new EntrySimulation({
    seed: 8,
    entries: 1,
    workers: 4,
    runMs: () => 500,
    failsTask: (worker, task) => worker === 'w0' || task.workKind === 'broken',
  });
  simulation.runUntil(10_000);
  submit(simulation, 0, 'a', submission('k', 300));
  submit(simulation, 0, 'b', submission('bad', 1, { workKind: 'broken' }));
  simulation.runUntil(39_000);
  expect(simulation.runs.filter((run) => run.worker === 'w0').length).to.be.at.most(16);
  simulation.runUntil(60_000);
  const jobOf = (callId: string) => statusOf(simulation, callId).job.jobId;
  const good = show(simulation, 0, 'quotes', jobOf('a')).tasks;
  expect(good.every((task) => task.row.state.kind === 'finished')).to.equal(true);
  const [bad] = show(simulation, 0, 'quotes', jobOf('b')).tasks;
  expect(bad?.row.state.kind).to.equal('parked');
});

it('batch: a watcher is restarted when it ends, and stopped when its instances are removed', () => {
  const simulation = new EntrySimulation({ seed: 9, entries: 2, workers: 2, runMs: () => 10_000 });
  const identity = { kind: 'watcher', name: 'wire', team: 'stock', workKind: 'watch' } as const;
  const watcher = { ...identity, reserved: size, payload: '' };
  const apply = (number: number, instances: number) =>
    simulation.administer(0, `t${number}`, {
      kind: 'applyTicket',
      author: 'ops',
      number,
      changes: [{ ...watcher, instances }],
    });
  apply(1, 2);
  simulation.runUntil(60_000);
  const running = () => simulation.runs.filter((run) => run.toMs === Infinity);
  expect(running().length).to.be.within(1, 2);
  expect(simulation.runs.length).to.be.above(4);
  apply(2, 0);
  simulation.runUntil(70_000);
  expect(running()).to.deep.equal([]);
  expect(faultsOf(simulation, true)).to.deep.equal([]);
});

// The table handles several hundred writes a second, and a peak has 230 starts a second.
it('batch: a task of a large job costs at most 2.2 row writes and 0.1 transactions', () => {
  const simulation = new EntrySimulation({ seed: 10, entries: 3, workers: 40, runMs: () => 2_000 });
  simulation.runUntil(20_000);
  const countsAt20s = { ...simulation.counts };
  simulation.runUntil(40_000);
  const countsAt40s = { ...simulation.counts };
  Array.from({ length: 40 }, (_, index) =>
    submit(simulation, index % 3, `j${index}`, submission('k', 50, { team: `t${index}` })),
  );
  simulation.runUntil(60_000);
  expect(simulation.runs.filter((run) => run.end === 'finished').length).to.equal(2_000);
  // Both intervals last 20 s, so the difference is the cost of the tasks.
  const cost = (kind: keyof typeof countsAt20s) =>
    (simulation.counts[kind] - countsAt40s[kind] - (countsAt40s[kind] - countsAt20s[kind])) / 2_000;
  expect(cost('rowsWritten')).to.be.at.most(2.2);
  expect(cost('transactions')).to.be.at.most(0.1);
  expect(cost('reads')).to.be.at.most(0.1);
});

// An agent that declined was offered the same work again at once, 750 times a second in a fuzz run.
(['notRegistered', 'noRoom'] as const).forEach((declineReason) => {
  it(`batch: agents that decline with ${declineReason} get no new offer at once`, () => {
    const simulation = new EntrySimulation({
      seed: 1,
      entries: 1,
      workers: 4,
      runMs: () => 1_000,
      declineReason,
    });
    simulation.runUntil(15_000);
    const declared = { ...size, processorsMilli: 8_000 };
    submit(simulation, 0, 'a', submission('k', 20, { urgency: 'urgent', declared }));
    simulation.runUntil(16_000);
    const before = simulation.counts.offers;
    simulation.runUntil(26_000);
    expect(simulation.counts.offers - before).to.be.within(1, 4 * 3 * 10);
  });
});
