import { expect } from 'chai';
import fc from 'fast-check';
import { sumReserved } from '@bronzeyoke/standins';
import { createTasks } from '@bronzeyoke/tasks';
import { fitsIn, taskKey } from '@bronzeyoke/types';
import type { Fixture } from './fixture';
import {
  createAttached,
  claim,
  dispatch,
  offer,
  advance,
  profile,
  receive,
  setFaults,
} from './fixture';

interface Row {
  readonly epoch: number;
  readonly state: 'pending' | 'claimed' | 'done';
}

/** The owner's rows, the fixture, and the number of its messages that the owner has processed. */
interface Simulation {
  readonly fixture: Fixture;
  readonly rows: Readonly<Record<string, Row>>;
  readonly readCount: number;
  readonly agentCount: number;
  readonly configNumber: number;
}

const job: fc.Arbitrary<string> = fc.constantFrom('a', 'b', 'c', 'd', 'e');
const flag = fc.boolean();
const command = fc.oneof(
  fc.record({ kind: fc.constant('offer' as const), job, waitMs: fc.nat(2_600) }),
  fc.record({ kind: fc.constant('offer' as const), job, waitMs: fc.nat(100) }),
  fc.record({ kind: fc.constant('pass' as const), forMs: fc.nat(12_000) }),
  fc.record({ kind: fc.constant('grants' as const), on: flag }),
  fc.record({ kind: fc.constant('fence' as const) }),
  fc.record({ kind: fc.constant('restart' as const) }),
  fc.record({ kind: fc.constant('domain' as const), isOut: flag }),
  fc.record({ kind: fc.constant('stop' as const), job, isCancel: flag }),
  fc.record({ kind: fc.constant('ask' as const), job }),
  fc.record({
    kind: fc.constant('faults' as const),
    delayMs: fc.constantFrom(0, 0, 400, 2_200),
    isUnavailable: flag,
    losesReplies: flag,
  }),
);

type Command = typeof command extends fc.Arbitrary<infer Value> ? Value : never;

const FINAL = new Set(['finished', 'failed', 'evicted', 'stopped', 'notStarted']);

/** Reads the reports as the owner: each takes effect once, for its epoch, and is recorded. */
function settle(simulation: Simulation): Simulation {
  const { fixture, readCount } = simulation;
  const [next] = fixture.sent.slice(readCount);
  if (next === undefined) return simulation;
  const { message } = next;
  if (message.kind !== 'taskReport' || !FINAL.has(message.report.kind)) {
    return settle({ ...simulation, readCount: readCount + 1 });
  }
  const { id, epoch, report } = message;
  const row = simulation.rows[id.jobId];
  const isCurrent = row !== undefined && row.state === 'claimed' && row.epoch === epoch;
  const state = report.kind === 'finished' ? 'done' : 'pending';
  const isStillRunning = fixture.worker.machine.tasks.get(taskKey(id))?.epoch === epoch;
  expect(isStillRunning, `${report.kind} of ${id.jobId}@${epoch} while it runs`).to.equal(false);
  return settle({
    ...simulation,
    readCount: readCount + 1,
    rows: isCurrent ? { ...simulation.rows, [id.jobId]: { epoch, state } } : simulation.rows,
    fixture: receive(fixture, { kind: 'recorded', id, epoch }),
  });
}

function place(simulation: Simulation, jobId: string, waitMs: number): Simulation {
  const row = simulation.rows[jobId] ?? { epoch: 0, state: 'pending' };
  if (row.state !== 'pending') return simulation;
  const epoch = row.epoch + 1;
  const offered = offer(simulation.fixture, jobId, epoch);
  const last = offered.sent.at(-1)?.message;
  if (last?.kind !== 'accepted') return { ...simulation, fixture: offered };
  const claimed = claim(advance(offered, waitMs), jobId, epoch);
  return {
    ...simulation,
    fixture: claimed,
    rows: { ...simulation.rows, [jobId]: { epoch, state: 'claimed' } },
  };
}

function apply(simulation: Simulation, step: Command): Simulation {
  const { fixture } = simulation;
  switch (step.kind) {
    case 'offer':
      return place(simulation, step.job, step.waitMs);
    case 'pass':
      return { ...simulation, fixture: advance(fixture, step.forMs) };
    case 'grants':
      return { ...simulation, fixture: { ...fixture, grants: step.on } };
    case 'fence': {
      const { incarnation } = fixture;
      return { ...simulation, fixture: receive(fixture, { kind: 'workerFenced', incarnation }) };
    }
    case 'restart': {
      const agent = createTasks({ ...profile, agentId: `a${simulation.agentCount}` });
      const fresh = dispatch({ ...fixture, agent }, { kind: 'linkOpened', linkId: 'l1' });
      return { ...simulation, fixture: fresh, agentCount: simulation.agentCount + 1 };
    }
    case 'domain': {
      const number = simulation.configNumber + 1;
      const state = step.isOut ? 'out' : 'in';
      const entries = [{ kind: 'domain' as const, name: profile.domain, state } as const];
      const configuration = { number, entries };
      return {
        ...simulation,
        configNumber: number,
        fixture: receive(fixture, { kind: 'config', configuration }),
      };
    }
    case 'stop': {
      const id = { jobId: step.job, index: 0 };
      const { epoch } = simulation.rows[step.job] ?? { epoch: 0 };
      const mode = step.isCancel ? 'cancel' : 'evict';
      return { ...simulation, fixture: receive(fixture, { kind: 'stopTask', id, epoch, mode }) };
    }
    case 'ask': {
      const id = { jobId: step.job, index: 0 };
      const { epoch, state } = simulation.rows[step.job] ?? { epoch: 0, state: 'pending' };
      return state === 'claimed'
        ? { ...simulation, fixture: receive(fixture, { kind: 'askTask', id, epoch }, 'l2') }
        : simulation;
    }
    case 'faults':
      return { ...simulation, fixture: setFaults(fixture, step) };
  }
}

function checkStarts({ sent, outputs }: Fixture): void {
  const starts = outputs.filter((output) => output.kind === 'taskStarted');
  const names = starts.map(({ id, epoch }) => `${id.jobId}@${epoch}`);
  expect(new Set(names).size, 'a claim started twice').to.equal(names.length);
  starts.forEach(({ atMs }, index) => {
    const accepted = sent.findLast(
      ({ message, ...when }) =>
        message.kind === 'accepted' && message.offerId === names[index] && when.atMs <= atMs,
    );
    expect(atMs - (accepted?.atMs ?? -Infinity), 'start after the bound').to.be.at.most(2_000);
  });
}

function check(simulation: Simulation): Simulation {
  const { fixture } = simulation;
  const { agent, worker } = fixture;
  checkStarts(fixture);
  expect(fitsIn(sumReserved(worker.machine), profile.total)).to.equal(true);
  expect(fitsIn(agent.ledger.committed, profile.total)).to.equal(true);
  worker.machine.tasks.forEach(({ task, epoch, leaseUntilMs }) => {
    const record = agent.records.get(taskKey(task.id));
    if (agent.lease.phase !== 'held' || record?.epoch !== epoch) return;
    expect(leaseUntilMs, 'lease of a task').to.be.at.most(agent.lease.untilMs - 2_000);
    expect(agent.ledger.tasks.has(taskKey(task.id)), 'runs without a reservation').to.equal(true);
  });
  return simulation;
}

function lostClaims({ rows, fixture }: Simulation): readonly string[] {
  return Object.entries(rows).flatMap(([jobId, { state, epoch }]) =>
    state !== 'claimed' || fixture.worker.machine.tasks.get(`${jobId}/0`)?.epoch === epoch
      ? []
      : [jobId],
  );
}

// Guards P1 to P4 at one worker: concurrent claims, faults of the worker, lost leases and restarts.
it('tasks: no order of claims, faults, fences and restarts duplicates, loses or delays a task', () => {
  fc.assert(
    fc.property(fc.array(command, { minLength: 5, maxLength: 40 }), (commands) => {
      const start: Simulation = {
        fixture: createAttached(20_000),
        rows: {},
        readCount: 0,
        agentCount: 2,
        configNumber: 0,
      };
      const end = commands.reduce(
        (simulation, step) => check(settle(apply(simulation, step))),
        start,
      );
      const recovered = apply(
        { ...end, fixture: { ...end.fixture, grants: true } },
        {
          kind: 'faults',
          delayMs: 0,
          isUnavailable: false,
          losesReplies: false,
        },
      );
      const waited = check(settle({ ...recovered, fixture: advance(recovered.fixture, 60_000) }));
      // The owner queries claims without a report, as it does after an agent restarts.
      const queried = (waited.agentCount > 2 ? lostClaims(waited) : []).reduce<Simulation>(
        (simulation, lost) => apply(simulation, { kind: 'ask', job: lost }),
        waited,
      );
      const quiet = check(settle({ ...queried, fixture: advance(queried.fixture, 5_000) }));
      const { agent, worker } = quiet.fixture;
      expect(agent.lease.phase).to.equal('held');
      expect(lostClaims(quiet), 'claimed rows without a run').to.deep.equal([]);
      expect(agent.ledger.tasks.size).to.equal(worker.machine.tasks.size);
    }),
    { seed: 4, numRuns: 300 },
  );
});
