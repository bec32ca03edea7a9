import { expect } from 'chai';
import fc from 'fast-check';
import { sumReserved } from '@bronzeyoke/standins';
import { createTasks } from '@bronzeyoke/tasks';
import { fitsIn, taskKey } from '@bronzeyoke/types';
import type { Driver } from './driver';
import { attached, claim, dispatch, offer, advance, profile, receive, setFaults } from './driver';

interface Row {
  readonly epoch: number;
  readonly state: 'pending' | 'claimed' | 'done';
}

/** The owner's rows, the driver, and the number of its messages that the owner has processed. */
interface World {
  readonly driver: Driver;
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
function settle(world: World): World {
  const { driver, readCount } = world;
  const [next] = driver.sent.slice(readCount);
  if (next === undefined) return world;
  const { message } = next;
  if (message.kind !== 'taskReport' || !FINAL.has(message.report.kind)) {
    return settle({ ...world, readCount: readCount + 1 });
  }
  const { id, epoch, report } = message;
  const row = world.rows[id.jobId];
  const isCurrent = row !== undefined && row.state === 'claimed' && row.epoch === epoch;
  const state = report.kind === 'finished' ? 'done' : 'pending';
  const isStillRunning = driver.worker.machine.tasks.get(taskKey(id))?.epoch === epoch;
  expect(isStillRunning, `${report.kind} of ${id.jobId}@${epoch} while it runs`).to.equal(false);
  return settle({
    ...world,
    readCount: readCount + 1,
    rows: isCurrent ? { ...world.rows, [id.jobId]: { epoch, state } } : world.rows,
    driver: receive(driver, { kind: 'recorded', id, epoch }),
  });
}

function place(world: World, jobId: string, waitMs: number): World {
  const row = world.rows[jobId] ?? { epoch: 0, state: 'pending' };
  if (row.state !== 'pending') return world;
  const epoch = row.epoch + 1;
  const offered = offer(world.driver, jobId, epoch);
  const last = offered.sent.at(-1)?.message;
  if (last?.kind !== 'accepted') return { ...world, driver: offered };
  const claimed = claim(advance(offered, waitMs), jobId, epoch);
  return {
    ...world,
    driver: claimed,
    rows: { ...world.rows, [jobId]: { epoch, state: 'claimed' } },
  };
}

function apply(world: World, step: Command): World {
  const { driver } = world;
  switch (step.kind) {
    case 'offer':
      return place(world, step.job, step.waitMs);
    case 'pass':
      return { ...world, driver: advance(driver, step.forMs) };
    case 'grants':
      return { ...world, driver: { ...driver, grants: step.on } };
    case 'fence': {
      const { incarnation } = driver;
      return { ...world, driver: receive(driver, { kind: 'workerFenced', incarnation }) };
    }
    case 'restart': {
      const agent = createTasks({ ...profile, agentId: `a${world.agentCount}` });
      const fresh = dispatch({ ...driver, agent }, { kind: 'linkOpened', linkId: 'l1' });
      return { ...world, driver: fresh, agentCount: world.agentCount + 1 };
    }
    case 'domain': {
      const number = world.configNumber + 1;
      const state = step.isOut ? 'out' : 'in';
      const entries = [{ kind: 'domain' as const, name: profile.domain, state } as const];
      const configuration = { number, entries };
      return {
        ...world,
        configNumber: number,
        driver: receive(driver, { kind: 'config', configuration }),
      };
    }
    case 'stop': {
      const id = { jobId: step.job, index: 0 };
      const { epoch } = world.rows[step.job] ?? { epoch: 0 };
      const mode = step.isCancel ? 'cancel' : 'evict';
      return { ...world, driver: receive(driver, { kind: 'stopTask', id, epoch, mode }) };
    }
    case 'ask': {
      const id = { jobId: step.job, index: 0 };
      const { epoch, state } = world.rows[step.job] ?? { epoch: 0, state: 'pending' };
      return state === 'claimed'
        ? { ...world, driver: receive(driver, { kind: 'askTask', id, epoch }, 'l2') }
        : world;
    }
    case 'faults':
      return { ...world, driver: setFaults(driver, step) };
  }
}

function checkStarts({ sent, seen }: Driver): void {
  const starts = seen.filter((output) => output.kind === 'taskStarted');
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

function check(world: World): World {
  const { driver } = world;
  const { agent, worker } = driver;
  checkStarts(driver);
  expect(fitsIn(sumReserved(worker.machine), profile.total)).to.equal(true);
  expect(fitsIn(agent.ledger.committed, profile.total)).to.equal(true);
  worker.machine.tasks.forEach(({ task, epoch, leaseUntilMs }) => {
    const record = agent.records.get(taskKey(task.id));
    if (agent.lease.phase !== 'held' || record?.epoch !== epoch) return;
    expect(leaseUntilMs, 'lease of a task').to.be.at.most(agent.lease.untilMs - 2_000);
    expect(agent.ledger.tasks.has(taskKey(task.id)), 'runs without a reservation').to.equal(true);
  });
  return world;
}

function lostClaims({ rows, driver }: World): readonly string[] {
  return Object.entries(rows).flatMap(([jobId, { state, epoch }]) =>
    state !== 'claimed' || driver.worker.machine.tasks.get(`${jobId}/0`)?.epoch === epoch
      ? []
      : [jobId],
  );
}

// Guards P1 to P4 at one worker: concurrent claims, faults of the worker, lost leases and restarts.
it('tasks: no order of claims, faults, fences and restarts duplicates, loses or delays a task', () => {
  fc.assert(
    fc.property(fc.array(command, { minLength: 5, maxLength: 40 }), (commands) => {
      const start: World = {
        driver: attached(20_000),
        rows: {},
        readCount: 0,
        agentCount: 2,
        configNumber: 0,
      };
      const end = commands.reduce((world, step) => check(settle(apply(world, step))), start);
      const recovered = apply(
        { ...end, driver: { ...end.driver, grants: true } },
        {
          kind: 'faults',
          delayMs: 0,
          isUnavailable: false,
          losesReplies: false,
        },
      );
      const waited = check(settle({ ...recovered, driver: advance(recovered.driver, 60_000) }));
      // The owner queries claims without a report, as it does after an agent restarts.
      const queried = (waited.agentCount > 2 ? lostClaims(waited) : []).reduce<World>(
        (world, lost) => apply(world, { kind: 'ask', job: lost }),
        waited,
      );
      const quiet = check(settle({ ...queried, driver: advance(queried.driver, 5_000) }));
      const { agent, worker } = quiet.driver;
      expect(agent.lease.phase).to.equal('held');
      expect(lostClaims(quiet), 'claimed rows without a run').to.deep.equal([]);
      expect(agent.ledger.tasks.size).to.equal(worker.machine.tasks.size);
    }),
    { seed: 4, numRuns: 300 },
  );
});
