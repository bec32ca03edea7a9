import { expect } from 'chai';
import fc from 'fast-check';
import type { CallerRequest } from '@bronzeyoke/types';
import { RETRY_BURST, RETRY_SHARE } from '@bronzeyoke/routing';
import type { RequestsObservation, RequestsSimulation } from './simulation';
import { createSimulation } from './simulation';

const SEED = 20_240_611;
const RUNS = 150;

type Command =
  | {
      readonly kind: 'arrive';
      readonly entry: number;
      readonly key: number;
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'drop';
      readonly entry: number;
      readonly agent: number;
      readonly awayMs: number;
    }
  | { readonly kind: 'replace'; readonly agent: number }
  | { readonly kind: 'leave'; readonly agent: number }
  | { readonly kind: 'advance'; readonly ms: number };

const entry = fc.nat({ max: 1 });
const agent = fc.nat({ max: 3 });
// Keys above 5 stand for idempotent requests.
const arrive = fc.record({
  kind: fc.constant('arrive' as const),
  entry,
  key: fc.nat({ max: 11 }),
  timeoutMs: fc.constantFrom(50, 400, 4_000, 20_000),
});
const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 8, arbitrary: arrive },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      ms: fc.constantFrom(1, 15, 60, 300),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('drop' as const),
      entry,
      agent,
      awayMs: fc.constantFrom(0, 100, 700, 9_000),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('replace' as const), agent }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), agent }) },
);

function requestOf(index: number, key: number, timeoutMs: number): CallerRequest {
  const requestId = `r${index}`;
  const base = { requestId, service: 'quoter', method: 'POST', path: '/price', headers: {} };
  return key > 5
    ? { ...base, timeoutMs, body: Buffer.from(requestId) }
    : { ...base, timeoutMs, body: Buffer.from(`key${key}`), idempotencyKey: `key${key}` };
}

function runCommand(simulation: RequestsSimulation, one: Command, index: number): void {
  switch (one.kind) {
    case 'arrive':
      simulation.arrive(one.entry, requestOf(index, one.key, one.timeoutMs));
      return;
    case 'drop':
      simulation.dropLink(one.entry, one.agent, one.awayMs);
      return;
    case 'replace':
      simulation.replaceAgent(one.agent);
      return;
    case 'leave':
      simulation.leave(one.agent);
      return;
    default:
      simulation.advance(one.ms);
  }
}

function runCommands(seed: number, commands: readonly Command[]): RequestsSimulation {
  const simulation = createSimulation(seed, 4, 0.25);
  simulation.advance(100);
  commands.forEach((one, index) => runCommand(simulation, one, index));
  simulation.advance(60_000);
  return simulation;
}

function ofKind<Kind extends RequestsObservation['kind']>(
  simulation: RequestsSimulation,
  kind: Kind,
): readonly Extract<RequestsObservation, { readonly kind: Kind }>[] {
  return simulation.observations.filter(
    (one): one is Extract<RequestsObservation, { readonly kind: Kind }> => one.kind === kind,
  );
}

function check(
  name: string,
  holds: (simulation: RequestsSimulation, commands: readonly Command[]) => void,
): void {
  it(name, () => {
    fc.assert(
      fc.property(
        fc.integer(),
        fc.array(command, { maxLength: 60, size: 'max' }),
        (seed, commands) => {
          holds(runCommands(seed, commands), commands);
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
}

// A duplicate quote misleads a buyer, so a key may start only one run whatever messages are lost.
check('requests: a key starts at most one run', (simulation) => {
  const keys = ofKind(simulation, 'run').flatMap(({ key }) => key ?? []);
  expect(new Set(keys).size).to.equal(keys.length);
});

check('requests: each request gets one reply and its own answer', (simulation, commands) => {
  const replies = ofKind(simulation, 'reply');
  const arrived = commands.filter((one) => one.kind === 'arrive').length;
  expect(replies).to.have.length(arrived);
  replies.forEach(({ request, outcome }) => {
    if (outcome.kind === 'answered') expect(outcome.answer.body).to.deep.equal(request.body);
  });
});

// Callers repeat requests that were not run, so a wrong refusal runs a request twice.
check('requests: a request that was refused as not run never ran', (simulation) => {
  const ran = new Set(ofKind(simulation, 'run').map(({ requestId }) => requestId));
  const refused = ofKind(simulation, 'reply').filter(({ outcome }) => outcome.kind === 'notRun');
  refused.forEach(({ request }) => expect(ran.has(request.requestId)).to.equal(false));
});

check('requests: counts match the records and return to zero', (simulation) => {
  expect(ofKind(simulation, 'violation')).to.deep.equal([]);
  simulation.entries.forEach((state) => {
    expect(state.records.size).to.equal(0);
    expect(state.queues.size).to.equal(0);
    expect(state.collectors.size).to.equal(0);
    expect(state.groups).to.deep.include({ waiting: [] });
    expect(state.groups.inFlight.size).to.equal(0);
    expect(state.routing.inFlight.size).to.equal(0);
  });
});

// Under constant failures every request would use all three of its attempts.
it('requests: retries stay within the budget when most attempts fail', () => {
  const simulation = createSimulation(SEED, 4, 0.9);
  simulation.advance(100);
  Array.from({ length: 600 }, (_, index) => index).forEach((index) => {
    simulation.arrive(0, requestOf(index, 6, 4_000));
    simulation.advance(50);
  });
  simulation.advance(60_000);
  const sent = ofKind(simulation, 'sent');
  const extra = sent.length - new Set(sent.map(({ requestId }) => requestId)).size;
  expect(extra).to.be.within(RETRY_BURST, RETRY_BURST + RETRY_SHARE * 600);
});

check('requests: retries and hedges stay within the budget', (simulation, commands) => {
  [0, 1].forEach((index) => {
    const sent = ofKind(simulation, 'sent').filter((one) => one.entry === index);
    const extra = sent.length - new Set(sent.map(({ requestId }) => requestId)).size;
    const arrived = commands.filter((one) => one.kind === 'arrive' && one.entry === index).length;
    expect(extra).to.be.at.most(RETRY_BURST + RETRY_SHARE * arrived);
  });
});
