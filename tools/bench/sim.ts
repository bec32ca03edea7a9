import { List, Map } from 'immutable';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Heap } from '@bronzeyoke/harness';
import { pop, push } from '@bronzeyoke/harness';
import { assertNever } from '@bronzeyoke/types';

/** Behaviour of an upstream in a scenario. */
export type Behaviour = 'healthy' | 'tenTimesSlower' | 'failsAtOnce';

/** A load on one service, as seen from one entry. */
export interface Scenario {
  readonly name: string;
  readonly upstreams: readonly Behaviour[];
  readonly slots: number;
  readonly connections: number;
  readonly meanServiceMs: number;
  /** Offered load as a share of the slots of healthy upstreams. */
  readonly load: number;
  readonly durationMs: number;
  readonly timeoutMs: number;
  /** Latencies before this time are left out. */
  readonly countFromMs: number;
  readonly seed: number;
}

/** A request that arrives, with the service time that only the omniscient router may read. */
export interface Arrival {
  readonly requestId: string;
  readonly serviceMs: number;
  readonly arrivedAtMs: number;
}

/** Effects of a router's decision. */
export type RouterEffect<Timer> =
  | {
      readonly kind: 'send';
      readonly upstream: number;
      readonly attemptId: string;
      readonly arrival: Arrival;
    }
  | {
      readonly kind: 'reply';
      readonly arrival: Arrival;
      readonly isAnswered: boolean;
      readonly status: number;
    }
  | { readonly kind: 'wake'; readonly timer: Timer; readonly afterMs: number };

/** An attempt that has ended, with its status. */
export interface EndedAttempt {
  readonly upstream: number;
  readonly attemptId: string;
  readonly arrival: Arrival;
  readonly status: number;
}

/** Events that a router handles. */
export type RouterEvent<Timer> =
  | { readonly kind: 'arrived'; readonly arrival: Arrival }
  | { readonly kind: 'ended'; readonly end: EndedAttempt }
  | { readonly kind: 'timer'; readonly timer: Timer };

/** A router under test, as a pure function from state and event to state and effects. */
export interface Router<State, Timer> {
  readonly name: string;
  readonly create: (scenario: Scenario) => State;
  readonly decide: (
    state: State,
    event: RouterEvent<Timer>,
    instant: { readonly nowMs: number; readonly random: number },
  ) => { readonly state: State; readonly effects: readonly RouterEffect<Timer>[] };
}

/** Counts and latencies of a simulation. */
export interface SimulationResult {
  readonly latenciesMs: List<number>;
  readonly offered: number;
  readonly answered: number;
  readonly failed: number;
  readonly refused: number;
  readonly attempts: number;
}

interface Server {
  readonly running: number;
  readonly queue: List<EndedAttempt>;
}

type AgendaItem<Timer> =
  | { readonly kind: 'router'; readonly event: RouterEvent<Timer> }
  | { readonly kind: 'attemptArrived'; readonly end: EndedAttempt }
  | { readonly kind: 'attemptFinished'; readonly end: EndedAttempt };

interface SimulationRun<State, Timer> {
  readonly state: State;
  readonly nowMs: number;
  readonly sequence: number;
  readonly agenda: Heap<AgendaItem<Timer>>;
  readonly servers: Map<number, Server>;
  readonly result: SimulationResult;
}

const FAIL_AFTER_MS = 0.2;
const SLOW_FACTOR = 10;
const DOMAIN_COUNT = 4;
const NEAR_TRIP_MS = 0.1;

/** Returns the one-way time from the entry, which is in the first failure domain. */
function tripMs(scenario: Scenario, upstream: number): number {
  const farMs = scenario.name.startsWith('kestrel') ? 1 : 1.5;
  return upstream % DOMAIN_COUNT === 0 ? NEAR_TRIP_MS : farMs;
}

function serviceMs(scenario: Scenario, end: EndedAttempt): number {
  const behaviour = scenario.upstreams[end.upstream] ?? 'healthy';
  switch (behaviour) {
    case 'healthy':
      return end.arrival.serviceMs;
    case 'tenTimesSlower':
      return end.arrival.serviceMs * SLOW_FACTOR;
    case 'failsAtOnce':
      return FAIL_AFTER_MS;
    default:
      return assertNever(behaviour);
  }
}

function scheduleAfter<State, Timer>(
  run: SimulationRun<State, Timer>,
  afterMs: number,
  item: AgendaItem<Timer>,
): SimulationRun<State, Timer> {
  const due = { atMs: run.nowMs + afterMs, sequence: run.sequence, item };
  return { ...run, sequence: run.sequence + 1, agenda: push(run.agenda, due) };
}

function countReply(
  scenario: Scenario,
  result: SimulationResult,
  arrival: Arrival,
  isAnswered: boolean,
  status: number,
  nowMs: number,
): SimulationResult {
  if (arrival.arrivedAtMs < scenario.countFromMs) return result;
  if (!isAnswered) return { ...result, refused: result.refused + 1 };
  if (status !== 200) return { ...result, failed: result.failed + 1 };
  const latenciesMs = result.latenciesMs.push(nowMs - arrival.arrivedAtMs);
  return { ...result, latenciesMs, answered: result.answered + 1 };
}

/** Runs a scenario with a router in virtual time. */
export function simulateLoad<State, Timer>(
  scenario: Scenario,
  router: Router<State, Timer>,
): SimulationResult {
  const generator = xoroshiro128plus(scenario.seed);
  const exponential = (mean: number): number => -mean * Math.log(1 - uniformFloat64(generator));
  const healthy = scenario.upstreams.filter((behaviour) => behaviour === 'healthy').length;
  const perMs = (scenario.load * healthy * scenario.slots) / scenario.meanServiceMs;

  const applyEffect = (
    run: SimulationRun<State, Timer>,
    effect: RouterEffect<Timer>,
  ): SimulationRun<State, Timer> => {
    switch (effect.kind) {
      case 'send': {
        const { upstream, attemptId, arrival } = effect;
        const status = scenario.upstreams[upstream] === 'failsAtOnce' ? 500 : 200;
        const end = { upstream, attemptId, arrival, status };
        const counted = arrival.arrivedAtMs >= scenario.countFromMs ? 1 : 0;
        const result = { ...run.result, attempts: run.result.attempts + counted };
        return scheduleAfter({ ...run, result }, tripMs(scenario, upstream), {
          kind: 'attemptArrived',
          end,
        });
      }
      case 'reply': {
        const { arrival, isAnswered, status } = effect;
        const result = countReply(scenario, run.result, arrival, isAnswered, status, run.nowMs);
        return { ...run, result };
      }
      case 'wake':
        return scheduleAfter(run, effect.afterMs, {
          kind: 'router',
          event: { kind: 'timer', timer: effect.timer },
        });
      default:
        return assertNever(effect);
    }
  };

  const decide = (
    run: SimulationRun<State, Timer>,
    event: RouterEvent<Timer>,
  ): SimulationRun<State, Timer> => {
    const instant = { nowMs: run.nowMs, random: uniformFloat64(generator) };
    const step = router.decide(run.state, event, instant);
    return step.effects.reduce(applyEffect, { ...run, state: step.state });
  };

  const startService = (
    run: SimulationRun<State, Timer>,
    end: EndedAttempt,
    server: Server,
  ): SimulationRun<State, Timer> => {
    const servers = run.servers.set(end.upstream, { ...server, running: server.running + 1 });
    return scheduleAfter({ ...run, servers }, serviceMs(scenario, end), {
      kind: 'attemptFinished',
      end,
    });
  };

  const handleItem = (
    run: SimulationRun<State, Timer>,
    item: AgendaItem<Timer>,
  ): SimulationRun<State, Timer> => {
    switch (item.kind) {
      case 'router':
        return decide(run, item.event);
      case 'attemptArrived': {
        const { upstream } = item.end;
        const server = run.servers.get(upstream) ?? { running: 0, queue: List() };
        if (server.running < scenario.slots) return startService(run, item.end, server);
        const queued = { ...server, queue: server.queue.push(item.end) };
        return { ...run, servers: run.servers.set(upstream, queued) };
      }
      case 'attemptFinished': {
        const { end } = item;
        const server = run.servers.get(end.upstream) ?? { running: 1, queue: List() };
        const left = { running: server.running - 1, queue: server.queue.shift() };
        const next = server.queue.first();
        const replied = scheduleAfter(run, tripMs(scenario, end.upstream), {
          kind: 'router',
          event: { kind: 'ended', end },
        });
        return next === undefined
          ? { ...replied, servers: run.servers.set(end.upstream, { ...left, queue: List() }) }
          : startService(replied, next, left);
      }
      default:
        return assertNever(item);
    }
  };

  const scheduleArrivals = (
    run: SimulationRun<State, Timer>,
    atMs: number,
    count: number,
  ): SimulationRun<State, Timer> => {
    let next = run;
    let at = atMs;
    let index = count;
    // A plain loop: a scenario has tens of thousands of arrivals.
    while (at < scenario.durationMs) {
      const arrival = {
        requestId: `r${index}`,
        serviceMs: exponential(scenario.meanServiceMs),
        arrivedAtMs: at,
      };
      next = scheduleAfter(next, at, { kind: 'router', event: { kind: 'arrived', arrival } });
      at += exponential(1 / perMs);
      index += 1;
    }
    const offered = index;
    return { ...next, result: { ...next.result, offered } };
  };

  let run = scheduleArrivals(
    {
      state: router.create(scenario),
      nowMs: 0,
      sequence: 0,
      agenda: undefined,
      servers: Map(),
      result: {
        latenciesMs: List<number>(),
        offered: 0,
        answered: 0,
        failed: 0,
        refused: 0,
        attempts: 0,
      },
    },
    0,
    0,
  );
  const endsAtMs = scenario.durationMs + scenario.timeoutMs;
  while (run.agenda !== undefined && run.agenda.first.atMs <= endsAtMs) {
    const { atMs, item } = run.agenda.first;
    run = handleItem({ ...run, nowMs: atMs, agenda: pop(run.agenda) }, item);
  }
  return run.result;
}
