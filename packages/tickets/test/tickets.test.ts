import { expect } from 'chai';
import fc from 'fast-check';
import type { AccessFault, TableState } from '@bronzeyoke/standins';
import { EMPTY_TABLE, accessRows } from '@bronzeyoke/standins';
import type { TicketsEffect, TicketsEvent, TicketsState } from '@bronzeyoke/tickets';
import { checkTicket, createTickets, stepTickets } from '@bronzeyoke/tickets';
import type { AdminReply, ConfigChange, Configuration, Result } from '@bronzeyoke/types';
import { EMPTY_CONFIGURATION } from '@bronzeyoke/types';

interface Simulation {
  readonly table: TableState;
  readonly entries: readonly TicketsState[];
  readonly spread: readonly (readonly Configuration[])[];
  readonly replies: readonly {
    readonly callId: string;
    readonly result: Result<AdminReply>;
  }[];
}

interface Pending {
  readonly entry: number;
  readonly effect: TicketsEffect;
  readonly atMs: number;
}

const out = (name: string): ConfigChange => ({ kind: 'domain', name, state: 'out' });

function apply(callId: string, number: number, changes: readonly ConfigChange[]): TicketsEvent {
  return {
    kind: 'command',
    callId,
    command: { kind: 'applyTicket', author: 'ops', number, changes },
  };
}

/** Runs entries on a shared table; accesses of all entries interleave in time order. */
function run(
  events: readonly { readonly entry: number; readonly event: TicketsEvent }[],
  faults: readonly AccessFault[],
  entryCount: number,
  untilMs: number,
): Simulation {
  let simulation: Simulation = {
    table: EMPTY_TABLE,
    entries: Array.from({ length: entryCount }, (_, index) => createTickets(`e${index}`)),
    spread: Array.from({ length: entryCount }, () => []),
    replies: [],
  };
  let pending: readonly Pending[] = [];
  let accessCount = 0;
  const step = (entry: number, event: TicketsEvent, nowMs: number): void => {
    const done = stepTickets(simulation.entries[entry]!, event, { nowMs, random: 0 });
    simulation = { ...simulation, entries: simulation.entries.with(entry, done.state) };
    const later = done.effects.map((effect) => ({
      entry,
      effect,
      atMs: nowMs + (effect.kind === 'wake' ? effect.afterMs : 3 + (accessCount % 5)),
    }));
    pending = [...pending, ...later].sort((left, right) => left.atMs - right.atMs);
  };
  simulation.entries.forEach((_, entry) => step(entry, { kind: 'started', wallOffsetMs: 0 }, 0));
  events.forEach(({ entry, event }) => step(entry, event, 0));
  for (;;) {
    const [next, ...rest] = pending;
    if (next === undefined || next.atMs > untilMs) return simulation;
    pending = rest;
    const { entry, effect, atMs } = next;
    if (effect.kind === 'wake') step(entry, { kind: 'timer', timer: effect.timer }, atMs);
    else if (effect.kind === 'adminReply') {
      simulation = { ...simulation, replies: [...simulation.replies, effect] };
    } else if (effect.kind === 'distribute') {
      const spread = [...simulation.spread[entry]!, effect.configuration];
      simulation = { ...simulation, spread: simulation.spread.with(entry, spread) };
    } else {
      const access = accessRows(simulation.table, effect, faults[accessCount] ?? 'none');
      accessCount += 1;
      simulation = { ...simulation, table: access.state };
      step(entry, access.event, atMs);
    }
  }
}

const faultLists = fc.array(fc.constantFrom<AccessFault>('none', 'none', 'down', 'lost'), {
  maxLength: 25,
});

// If two tickets were accepted, one operator's ticket would not be in force.
it('tickets: of concurrent tickets with the same number at most one is accepted, even with lost replies', () => {
  fc.assert(
    fc.property(faultLists, (faults) => {
      const simulation = run(
        [
          { entry: 0, event: apply('a', 1, [out('hobart')]) },
          { entry: 1, event: apply('b', 1, [out('burnie')]) },
        ],
        faults,
        2,
        60_000,
      );
      expect(simulation.replies.length).to.equal(2);
      const accepted = simulation.replies.filter((reply) => reply.result.ok);
      const failures = simulation.replies.flatMap(({ result }) =>
        result.ok ? [] : [result.failure],
      );
      expect(accepted.length).to.be.at.most(1);
      if (accepted.length === 1) {
        const areConflictsCurrent = failures.every(
          (failure) => failure.kind !== 'conflict' || failure.currentNumber === 1,
        );
        expect(areConflictsCurrent).to.equal(true);
      }
      simulation.entries.forEach((entry) => {
        expect(entry.configuration).to.deep.equal(simulation.entries[0]!.configuration);
        expect(entry.configuration.number).to.be.at.least(accepted.length);
      });
    }),
    { seed: 21, numRuns: 300 },
  );
});

// A process that returned to an older number would return a domain to use that was taken out.
it('tickets: the number in force never decreases', () => {
  fc.assert(
    fc.property(faultLists, fc.integer({ min: 1, max: 8 }), (faults, count) => {
      const events = Array.from({ length: count }, (_, index) => ({
        entry: index % 2,
        event: apply(`c${index}`, index + 1, [out(`d${index}`)]),
      }));
      const simulation = run(events, faults, 2, 30_000);
      simulation.spread.forEach((configurations) => {
        const numbers = configurations.map((configuration) => configuration.number);
        expect(numbers).to.deep.equal([...new Set(numbers)].sort((left, right) => left - right));
      });
    }),
    { seed: 22, numRuns: 200 },
  );
});

it('tickets: an entry that starts late loads the whole configuration', () => {
  const first = run(
    [{ entry: 0, event: apply('a', 1, [out('hobart'), out('burnie')]) }],
    [],
    1,
    99,
  );
  let late = createTickets('late');
  let event: TicketsEvent | undefined = { kind: 'started', wallOffsetMs: 0 };
  while (event !== undefined) {
    const step = stepTickets(late, event, { nowMs: 0, random: 0 });
    late = step.state;
    const [access] = step.effects;
    event =
      access === undefined ||
      access.kind === 'wake' ||
      access.kind === 'adminReply' ||
      access.kind === 'distribute'
        ? undefined
        : accessRows(first.table, access, 'none').event;
  }
  expect(late.configuration.number).to.equal(1);
  expect(late.configuration.entries.length).to.equal(2);
  expect(late.versions.get('domain/hobart')).to.be.above(0);
});

// A ticket that changes the same item twice has no unique new state.
it('tickets: malformed tickets are refused with the name of the invalid field', () => {
  const problemOf = (changes: readonly ConfigChange[]): string => {
    const result = checkTicket(EMPTY_CONFIGURATION, 'ops', 1, changes);
    return result.ok || result.failure.kind !== 'invalid' ? '' : result.failure.field;
  };
  expect(problemOf([])).to.equal('changes');
  expect(problemOf([out('a'), out('a')])).to.equal('domain/a');
  expect(problemOf([out('a/b')])).to.equal('domain.name');
  const quota = { processorsMilli: Number.NaN, memoryMb: 1, accelerators: 0 };
  expect(problemOf([{ kind: 'team', name: 't', quota }])).to.equal('team/t.quota.processorsMilli');
  expect(problemOf(Array.from({ length: 91 }, (_, index) => out(`d${index}`)))).to.equal('changes');
  expect(problemOf([out('a')])).to.equal('');
});
