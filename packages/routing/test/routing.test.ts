import { expect } from 'chai';
import fc from 'fast-check';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { AttemptEnd, RoutingEffect, RoutingState, UpstreamInfo } from '@bronzeyoke/routing';
import {
  EMPTY_QUEUE,
  RETRY_BURST,
  addToQueue,
  addUpstream,
  allowProbe,
  chooseUpstream,
  countEnded,
  countSent,
  createRouting,
  removeFirst,
  depositRetry,
  hasSpareSlots,
  firstInQueue,
  inFlightAt,
  markFull,
  markLeaving,
  poolOf,
  removeUpstream,
  setOutDomains,
  setPresence,
  withdrawRetry,
} from '@bronzeyoke/routing';

const SEED = 20_240_612;

function info(agentId: string, change: Partial<UpstreamInfo> = {}): UpstreamInfo {
  return { agentId, service: 'quoter', domain: 'hobart', slots: 2, connections: 4, ...change };
}

function routing(infos: readonly UpstreamInfo[]): RoutingState {
  return infos.reduce(addUpstream, createRouting('hobart'));
}

function repeat<Value>(count: number, start: Value, change: (value: Value) => Value): Value {
  return Array.from({ length: count }).reduce<Value>((value) => change(value), start);
}

function exchange(state: RoutingState, agentId: string, end: AttemptEnd, nowMs = 0): RoutingState {
  return countEnded(countSent(state, agentId), agentId, end, nowMs).state;
}

const ok = (latencyMs: number): AttemptEnd => ({ kind: 'answered', latencyMs, isFailure: false });
const FAILED: AttemptEnd = { kind: 'failed' };

type Op = readonly [kind: number, agent: number, value: number];

/** Applies random changes, sends attempts only to chosen upstreams, and checks after each change. */
function applyOps(ops: readonly Op[], check: (state: RoutingState, chosen?: string) => void): void {
  const agentIds = ['a', 'b', 'c', 'd'];
  const domains = ['hobart', 'burnie'];
  const first = routing(
    agentIds.map((id, index) => info(id, { domain: domains[index % 2] ?? '' })),
  );
  const ends: readonly AttemptEnd[] = [
    ok(1),
    ok(50),
    FAILED,
    { kind: 'timedOut' },
    { kind: 'refused' },
    { kind: 'released' },
    { kind: 'abandoned', elapsedMs: 40 },
    { kind: 'answered', latencyMs: 1, isFailure: true },
  ];
  ops.reduce<RoutingState>((state, [kind, agent, value], index) => {
    const id = agentIds[agent % agentIds.length] ?? '';
    const apply = (): RoutingState => {
      switch (kind) {
        case 0:
          return markLeaving(state, id);
        case 1:
          return addUpstream(state, info(id, { domain: domains[agent % 2] ?? '' }));
        case 2:
          return setPresence(state, id, value % 2 === 0 ? 'present' : 'suspect');
        case 3:
          return setOutDomains(state, value % 3 === 0 ? [domains[agent % 2] ?? ''] : []);
        case 4:
          return removeUpstream(state, id);
        case 5:
          return allowProbe(state, id);
        case 6:
          return markFull(state, 'quoter');
        default:
          return state;
      }
    };
    const changed = apply();
    const isEnd = kind > 10 && inFlightAt(changed, id) > 0;
    const end = ends[value % ends.length] ?? FAILED;
    const next = isEnd ? countEnded(changed, id, end, index * 10).state : changed;
    const chosen = chooseUpstream(next, 'quoter', [], value / 100);
    check(next, chosen);
    return chosen === undefined || kind > 13 ? next : countSent(next, chosen);
  }, first);
}

const ops = fc.array(fc.tuple(fc.nat(18), fc.nat(3), fc.nat(99)), { maxLength: 120, size: 'max' });

function property(name: string, check: (state: RoutingState, chosen?: string) => void): void {
  it(name, () => {
    fc.assert(
      fc.property(ops, (list) => applyOps(list, check)),
      { seed: SEED, numRuns: 200 },
    );
  });
}

// Work sent to a leaving, ejected, suspect or taken-out upstream is interrupted or wasted.
property('routing: never chooses an upstream that takes no work', (state, chosen) => {
  const view = chosen === undefined ? undefined : state.upstreams.get(chosen);
  if (chosen === undefined) return;
  expect(view).to.include({ isLeaving: false, presence: 'present' });
  expect(view?.health).to.be.oneOf(['healthy', 'ready']);
  expect(state.outDomains).to.not.include(view?.info.domain);
  const isWithin = inFlightAt(state, chosen) < Math.floor(view?.limit ?? 0);
  expect(isWithin || view?.health === 'ready').to.equal(true);
});

property('routing: limits stay between one and the sum of slots and connections', (state) => {
  state.upstreams.forEach(({ limit, info: { slots, connections } }) => {
    expect(limit).to.be.within(1, slots + connections);
  });
  state.inFlight.forEach((count) => expect(count).to.be.greaterThan(0));
});

// When most upstreams fail the cause is elsewhere, and ejecting them adds an outage.
property('routing: at most half of the upstreams are ejected', (state) => {
  const { memberIds } = poolOf(state, 'quoter');
  const eligible = memberIds
    .flatMap((id) => state.upstreams.get(id) ?? [])
    .filter(({ isLeaving, info: { domain } }) => !isLeaving && !state.outDomains.includes(domain));
  const ejected = eligible.filter(({ health }) => health !== 'healthy');
  expect(ejected.length).to.be.at.most(Math.floor(eligible.length / 2));
});

it('routing: never ejects more than half', () => {
  const agentIds = ['a', 'b', 'c', 'd', 'e'];
  const failing = agentIds.reduce<RoutingState>(
    (state, id) => repeat(9, state, (current) => exchange(current, id, FAILED)),
    routing(agentIds.map((id) => info(id))),
  );
  expect(poolOf(failing, 'quoter').ejectedCount).to.equal(2);
});

it('routing: the local domain is used while it has a free slot', () => {
  const start = routing([info('near'), info('far', { domain: 'burnie' })]);
  const choose = (state: RoutingState) => chooseUpstream(state, 'quoter', [], 0.7);
  expect(choose(start)).to.equal('near');
  const full = countSent(countSent(start, 'near'), 'near');
  expect(choose(full)).to.equal('far');
  expect(choose(setOutDomains(start, ['hobart']))).to.equal('far');
});

// An upstream that answers ten times slower must not get the same share as the others.
it('routing: the better of two choices gets most requests', () => {
  const agentIds = ['a', 'b', 'c'];
  const start = agentIds.reduce<RoutingState>(
    (state, id) => exchange(state, id, ok(id === 'c' ? 30 : 10)),
    routing(agentIds.map((id) => info(id, { slots: 8 }))),
  );
  const generator = xoroshiro128plus(SEED);
  const chosen = Array.from({ length: 900 }, () =>
    chooseUpstream(start, 'quoter', [], uniformFloat64(generator)),
  );
  const slow = chosen.filter((id) => id === 'c').length;
  expect(slow).to.be.below(900 / 6);
  expect(chosen.filter((id) => id === 'a').length).to.be.above(300);
});

it('routing: an ejected upstream gets one probe, with delays that double to a limit', () => {
  const start = routing(['a', 'b', 'c'].map((id) => info(id)));
  const failing = repeat(4, start, (state) => exchange(state, 'a', FAILED));
  const eject = countEnded(countSent(failing, 'a'), 'a', FAILED, 0);
  const delays: number[] = [];
  const probe = (effects: readonly RoutingEffect[], state: RoutingState): RoutingState => {
    delays.push(...effects.map(({ afterMs }) => afterMs));
    const ready = allowProbe(state, 'a');
    expect(chooseUpstream(ready, 'quoter', [], 0.5)).to.equal('a');
    const sent = countSent(ready, 'a');
    expect(poolOf(sent, 'quoter').readyIds).to.deep.equal([]);
    if (delays.length === 7) return countEnded(sent, 'a', ok(1), 0).state;
    const failed = countEnded(sent, 'a', FAILED, 0);
    return probe(failed.effects, failed.state);
  };
  const restored = probe(eject.effects, eject.state);
  expect(delays).to.deep.equal([1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000]);
  expect(restored.upstreams.get('a')?.health).to.equal('healthy');
});

it('routing: an upstream four times slower than the median is ejected', () => {
  const agentIds = ['a', 'b', 'c', 'd'];
  const run = repeat(80, routing(agentIds.map((id) => info(id))), (state) =>
    agentIds.reduce((current, id) => exchange(current, id, ok(id === 'd' ? 50 : 10)), state),
  );
  expect(run.upstreams.get('d')?.health).to.equal('ejected');
  expect(poolOf(run, 'quoter').ejectedCount).to.equal(1);
});

it('routing: the limit grows under load, and slow answers lower it to the slots', () => {
  const warm = repeat(20, routing([info('a')]), (state) => exchange(state, 'a', ok(10)));
  const { slots } = info('a');
  const busy = repeat(slots, warm, (state) => countSent(state, 'a'));
  const grown = countEnded(busy, 'a', ok(10), 9_000).state;
  expect(grown.upstreams.get('a')?.limit).to.be.above(slots);
  const slow = Array.from({ length: 40 }, (_, index) => index).reduce(
    (state, index) => exchange(state, 'a', ok(40), 10_000 + index * 100),
    grown,
  );
  expect(slow.upstreams.get('a')?.limit).to.equal(slots);
});

// Service times of requests differ, so slow answers alone must not remove capacity.
it('routing: only timeouts and refusals lower the limit below the slots', () => {
  const warm = repeat(20, routing([info('a')]), (state) => exchange(state, 'a', ok(10)));
  const { slots } = info('a');
  const timedOut = Array.from({ length: 40 }, (_, index) => index).reduce(
    (state, index) => exchange(state, 'a', { kind: 'timedOut' }, 10_000 + index * 100),
    warm,
  );
  const limit = timedOut.upstreams.get('a')?.limit ?? 0;
  expect(limit).to.be.below(slots);
  expect(limit).to.be.at.least(1);
});

it('routing: the retry budget allows a burst and a tenth of the requests', () => {
  const spend = (pool: ReturnType<typeof poolOf>) => withdrawRetry(pool) ?? pool;
  const empty = repeat(RETRY_BURST + 5, poolOf(routing([]), 'quoter'), spend);
  expect(withdrawRetry(empty)).to.equal(undefined);
  expect(withdrawRetry(repeat(9, empty, depositRetry))).to.equal(undefined);
  expect(withdrawRetry(repeat(11, empty, depositRetry))).to.not.equal(undefined);
});

it('routing: the queue returns the earliest deadline first', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(50), { maxLength: 200, size: 'max' }), (deadlines) => {
      const filled = deadlines.reduce(
        (queue, deadlineAtMs, index) => addToQueue(queue, { requestId: `r${index}`, deadlineAtMs }),
        EMPTY_QUEUE,
      );
      const taken: number[] = [];
      deadlines.reduce((queue) => {
        taken.push(firstInQueue(queue)?.deadlineAtMs ?? -1);
        return removeFirst(queue);
      }, filled);
      expect(taken).to.deep.equal([...deadlines].sort((one, other) => one - other));
    }),
    { seed: SEED, numRuns: 100 },
  );
});

// Hedges in a busy service take the slots of waiting requests: p99 was 2.56 times the optimum.
it('routing: a service without spare slots is not hedged', () => {
  const idle = routing([info('a'), info('b')]);
  expect(hasSpareSlots(idle, 'quoter')).to.equal(true);
  const { slots } = info('a');
  const busy = ['a', 'b'].reduce(
    (state, id) => repeat(slots, state, (current) => countSent(current, id)),
    idle,
  );
  expect(hasSpareSlots(busy, 'quoter')).to.equal(false);
});
