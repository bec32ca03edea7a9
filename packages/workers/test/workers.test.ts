import { expect } from 'chai';
import fc from 'fast-check';
import type { AccessFault, TableState } from '@bronzeyoke/standins';
import { EMPTY_TABLE, accessRows, commitRows, readRows } from '@bronzeyoke/standins';
import type { EntryMessage } from '@bronzeyoke/wire';
import type { WorkersEvent, WorkersState } from '@bronzeyoke/workers';
import { createWorkers, stepWorkers, workerRowOf } from '@bronzeyoke/workers';

interface Fixture {
  readonly table: TableState;
  readonly state: WorkersState;
  readonly sent: readonly EntryMessage[];
  readonly commits: number;
}

const START: Fixture = { table: EMPTY_TABLE, state: createWorkers(), sent: [], commits: 0 };

/** Applies events at time 0 and performs all their effects. */
function run(
  from: Fixture,
  events: readonly WorkersEvent[],
  faults: readonly AccessFault[] = [],
): Fixture {
  let fixture = from;
  let accessCount = 0;
  let due = events.map((event) => ({ event, atMs: 0 }));
  const next = (): void => {
    const [{ event, atMs }, ...rest] = due as [(typeof due)[0], ...typeof due];
    const step = stepWorkers(fixture.state, event, { nowMs: atMs, random: 0 });
    fixture = { ...fixture, state: step.state };
    due = rest;
    step.effects.forEach((effect) => {
      if (effect.kind === 'send') fixture = { ...fixture, sent: [...fixture.sent, effect.message] };
      else if (effect.kind === 'wake') {
        const timer = { kind: 'timer', timer: effect.timer } as const;
        due = [...due, { event: timer, atMs: atMs + effect.afterMs }];
      } else {
        const access = accessRows(fixture.table, effect, faults[accessCount] ?? 'none');
        accessCount += 1;
        const commits = fixture.commits + (effect.kind === 'commit' ? 1 : 0);
        fixture = { ...fixture, table: access.state, commits };
        due = [...due, { event: access.event, atMs: atMs + 2 }];
      }
    });
    due = [...due].sort((left, right) => left.atMs - right.atMs);
  };
  while (due.length > 0) next();
  return fixture;
}

function register(index: number, token = `t${index}`): WorkersEvent {
  return { kind: 'register', agentId: `a${index}`, worker: `w${index}`, token };
}

function renew(index: number, incarnation: number): WorkersEvent {
  const token = `r${index}`;
  return { kind: 'renew', agentId: `a${index}`, worker: `w${index}`, incarnation, token };
}

// Two agents with the same incarnation would both start tasks on the worker.
it('workers: each registration gets its own incarnation, even with lost replies', () => {
  const faultLists = fc.array(fc.constantFrom<AccessFault>('none', 'lost', 'down'), {
    maxLength: 15,
  });
  fc.assert(
    fc.property(faultLists, fc.integer({ min: 1, max: 4 }), (faults, count) => {
      const events = Array.from({ length: count }, (_, index) => register(1, `token${index}`));
      const fixture = run(START, events, faults);
      const granted = fixture.sent.flatMap((message) =>
        message.kind === 'workerRegistered' ? [message.incarnation] : [],
      );
      expect(granted.length).to.equal(count);
      expect(new Set(granted).size).to.equal(count);
      const row = workerRowOf(readRows(fixture.table, ['worker/w1'])[0], 0);
      expect(row.incarnation).to.equal(Math.max(...granted));
    }),
    { seed: 41, numRuns: 200 },
  );
});

// One transaction for each renewal would use the whole transaction budget at 630 workers.
it('workers: 200 renewals take 5 transactions', () => {
  const indices = Array.from({ length: 200 }, (_, index) => index);
  const registered = run(
    START,
    indices.map((index) => register(index)),
  );
  const renewed = run(
    registered,
    indices.map((index) => renew(index, 1)),
  );
  expect(renewed.commits - registered.commits).to.equal(5);
  const acknowledged = renewed.sent.filter((message) => message.kind === 'workerRenewed');
  expect(acknowledged.length).to.equal(200);
});

// An agent whose tasks were taken over must not renew its lease.
it('workers: a fenced agent is refused, and the others in its transaction are renewed', () => {
  const registered = run(START, [register(1), register(2)]);
  const value = { incarnation: 1, agentId: 'a1', fenced: true, token: 'f' };
  const fenced = commitRows(registered.table, {
    conditions: [],
    writes: [{ kind: 'put', key: 'worker/w1', value }],
  });
  const fixture = run({ ...registered, table: fenced.state, sent: [] }, [renew(1, 1), renew(2, 1)]);
  expect(fixture.sent).to.deep.equal([
    { kind: 'workerFenced', incarnation: 1 },
    { kind: 'workerRenewed', token: 'r2' },
  ]);
});
