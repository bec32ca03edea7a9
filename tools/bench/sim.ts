import { List, Map } from 'immutable';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Heap } from '@bronzeyoke/harness';
import { pop, push } from '@bronzeyoke/harness';
import { assertNever } from '@bronzeyoke/types';

/** How an upstream of a scenario behaves. */
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

/** A request of the load, with the service time that only the omniscient router may look at. */
export interface Load {
  readonly requestId: string;
  readonly serviceMs: number;
  readonly arrivedAtMs: number;
}

/** What a router asks for. */
export type RouterEffect<Timer> =
  | {
      readonly kind: 'send';
      readonly upstream: number;
      readonly attemptId: string;
      readonly load: Load;
    }
  | {
      readonly kind: 'reply';
      readonly load: Load;
      readonly isAnswered: boolean;
      readonly status: number;
    }
  | { readonly kind: 'wake'; readonly timer: Timer; readonly afterMs: number };

/** How an attempt ended. */
export interface AttemptEnd {
  readonly upstream: number;
  readonly attemptId: string;
  readonly load: Load;
  readonly status: number;
}

/** What happens to a router. */
export type RouterEvent<Timer> =
  | { readonly kind: 'arrived'; readonly load: Load }
  | { readonly kind: 'ended'; readonly end: AttemptEnd }
  | { readonly kind: 'timer'; readonly timer: Timer };

/** A router under test: a pure decision. */
export interface Router<State, Timer> {
  readonly name: string;
  readonly create: (scenario: Scenario) => State;
  readonly decide: (
    state: State,
    event: RouterEvent<Timer>,
    instant: { readonly nowMs: number; readonly random: number },
  ) => { readonly state: State; readonly effects: readonly RouterEffect<Timer>[] };
}

/** What a run showed. */
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
  readonly queue: List<AttemptEnd>;
}

type Item<Timer> =
  | { readonly kind: 'router'; readonly event: RouterEvent<Timer> }
  | { readonly kind: 'reach'; readonly end: AttemptEnd }
  | { readonly kind: 'finish'; readonly end: AttemptEnd };

interface Run<State, Timer> {
  readonly state: State;
  readonly nowMs: number;
  readonly sequence: number;
  readonly agenda: Heap<Item<Timer>>;
  readonly servers: Map<number, Server>;
  readonly outcome: SimulationResult;
}

const FAIL_AFTER_MS = 0.2;
const SLOW_FACTOR = 10;
const DOMAINS = 4;
const NEAR_MS = 0.1;

/** One way from the entry, which is in the first failure domain. */
function tripMs(scenario: Scenario, upstream: number): number {
  const farMs = scenario.name.startsWith('kestrel') ? 1 : 1.5;
  return upstream % DOMAINS === 0 ? NEAR_MS : farMs;
}

function serviceMs(scenario: Scenario, end: AttemptEnd): number {
  const behaviour = scenario.upstreams[end.upstream] ?? 'healthy';
  switch (behaviour) {
    case 'healthy':
      return end.load.serviceMs;
    case 'tenTimesSlower':
      return end.load.serviceMs * SLOW_FACTOR;
    case 'failsAtOnce':
      return FAIL_AFTER_MS;
    default:
      return assertNever(behaviour);
  }
}

function add<State, Timer>(
  run: Run<State, Timer>,
  afterMs: number,
  item: Item<Timer>,
): Run<State, Timer> {
  const due = { atMs: run.nowMs + afterMs, sequence: run.sequence, item };
  return { ...run, sequence: run.sequence + 1, agenda: push(run.agenda, due) };
}

function countReply(
  scenario: Scenario,
  run: SimulationResult,
  load: Load,
  ok: boolean,
  status: number,
  nowMs: number,
): SimulationResult {
  if (load.arrivedAtMs < scenario.countFromMs) return run;
  if (!ok) return { ...run, refused: run.refused + 1 };
  if (status !== 200) return { ...run, failed: run.failed + 1 };
  const latenciesMs = run.latenciesMs.push(nowMs - load.arrivedAtMs);
  return { ...run, latenciesMs, answered: run.answered + 1 };
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

  const perform = (run: Run<State, Timer>, effect: RouterEffect<Timer>): Run<State, Timer> => {
    switch (effect.kind) {
      case 'send': {
        const { upstream, attemptId, load } = effect;
        const status = scenario.upstreams[upstream] === 'failsAtOnce' ? 500 : 200;
        const end = { upstream, attemptId, load, status };
        const counted = load.arrivedAtMs >= scenario.countFromMs ? 1 : 0;
        const outcome = { ...run.outcome, attempts: run.outcome.attempts + counted };
        return add({ ...run, outcome }, tripMs(scenario, upstream), { kind: 'reach', end });
      }
      case 'reply': {
        const { load, isAnswered, status } = effect;
        const outcome = countReply(scenario, run.outcome, load, isAnswered, status, run.nowMs);
        return { ...run, outcome };
      }
      case 'wake':
        return add(run, effect.afterMs, {
          kind: 'router',
          event: { kind: 'timer', timer: effect.timer },
        });
      default:
        return assertNever(effect);
    }
  };

  const route = (run: Run<State, Timer>, event: RouterEvent<Timer>): Run<State, Timer> => {
    const instant = { nowMs: run.nowMs, random: uniformFloat64(generator) };
    const step = router.decide(run.state, event, instant);
    return step.effects.reduce(perform, { ...run, state: step.state });
  };

  const begin = (run: Run<State, Timer>, end: AttemptEnd, server: Server): Run<State, Timer> => {
    const servers = run.servers.set(end.upstream, { ...server, running: server.running + 1 });
    return add({ ...run, servers }, serviceMs(scenario, end), { kind: 'finish', end });
  };

  const happen = (run: Run<State, Timer>, item: Item<Timer>): Run<State, Timer> => {
    switch (item.kind) {
      case 'router':
        return route(run, item.event);
      case 'reach': {
        const { upstream } = item.end;
        const server = run.servers.get(upstream) ?? { running: 0, queue: List() };
        if (server.running < scenario.slots) return begin(run, item.end, server);
        const queued = { ...server, queue: server.queue.push(item.end) };
        return { ...run, servers: run.servers.set(upstream, queued) };
      }
      case 'finish': {
        const { end } = item;
        const server = run.servers.get(end.upstream) ?? { running: 1, queue: List() };
        const left = { running: server.running - 1, queue: server.queue.shift() };
        const next = server.queue.first();
        const replied = add(run, tripMs(scenario, end.upstream), {
          kind: 'router',
          event: { kind: 'ended', end },
        });
        return next === undefined
          ? { ...replied, servers: run.servers.set(end.upstream, { ...left, queue: List() }) }
          : begin(replied, next, left);
      }
      default:
        return assertNever(item);
    }
  };

  const arrivals = (run: Run<State, Timer>, atMs: number, count: number): Run<State, Timer> => {
    let next = run;
    let at = atMs;
    let index = count;
    // A plain loop: a scenario has tens of thousands of arrivals.
    while (at < scenario.durationMs) {
      const load = {
        requestId: `r${index}`,
        serviceMs: exponential(scenario.meanServiceMs),
        arrivedAtMs: at,
      };
      next = add(next, at, { kind: 'router', event: { kind: 'arrived', load } });
      at += exponential(1 / perMs);
      index += 1;
    }
    const offered = index;
    return { ...next, outcome: { ...next.outcome, offered } };
  };

  let run = arrivals(
    {
      state: router.create(scenario),
      nowMs: 0,
      sequence: 0,
      agenda: undefined,
      servers: Map(),
      outcome: {
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
    run = happen({ ...run, nowMs: atMs, agenda: pop(run.agenda) }, item);
  }
  return run.outcome;
}
