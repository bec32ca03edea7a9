import { Map } from 'immutable';
import type { RequestsEffect, RequestsState, RequestsTimer } from '@bronzeyoke/requests';
import { createRequests, stepRequests } from '@bronzeyoke/requests';
import { assertNever, drawUniforms } from '@bronzeyoke/types';
import type { Load, Router, RouterEffect, Scenario } from './sim';

const SERVICE = 'quoter';
const EMPTY = new Uint8Array(0);
const DOMAINS = 4;

interface ProductState {
  readonly requests: RequestsState;
  readonly loads: Map<string, Load>;
}

function agentId(upstream: number): string {
  return `a${upstream}`;
}

function translate(
  loads: Map<string, Load>,
  effect: RequestsEffect,
): readonly RouterEffect<RequestsTimer>[] {
  switch (effect.kind) {
    case 'send': {
      const { message } = effect;
      if (message.kind !== 'request') return [];
      const load = loads.get(message.requestId);
      if (load === undefined) return [];
      const upstream = Number(effect.agentId.slice(1));
      return [{ kind: 'send', upstream, attemptId: message.attemptId, load }];
    }
    case 'reply': {
      const load = loads.get(effect.requestId);
      if (load === undefined) return [];
      const { outcome } = effect;
      const isAnswered = outcome.kind === 'answered';
      const status = isAnswered ? outcome.answer.status : 503;
      return [{ kind: 'reply', load, isAnswered, status }];
    }
    case 'wake':
      return [effect];
    case 'commit':
    case 'read':
    case 'scan':
      return [];
    default:
      return assertNever(effect);
  }
}

/** The decisions of the product, as an entry runs them. */
export const PRODUCT: Router<ProductState, RequestsTimer> = {
  name: 'bronzeyoke',
  create: (scenario: Scenario) => ({
    loads: Map(),
    requests: scenario.upstreams.reduce((state, _, index) => {
      const { slots, connections } = scenario;
      const domain = `d${index % DOMAINS}`;
      const upstream = { agentId: agentId(index), service: SERVICE, domain, slots, connections };
      return stepRequests(state, { kind: 'upstreamUp', upstream }, { nowMs: 0, random: 0.5 }).state;
    }, createRequests('d0')),
  }),
  decide: (state, event, instant) => {
    switch (event.kind) {
      case 'arrived': {
        const { load } = event;
        const { requestId } = load;
        const request = {
          ...{ requestId, service: SERVICE, method: 'POST', path: '/', headers: {} },
          ...{ body: EMPTY, timeoutMs: 1_000 },
        };
        const loads = state.loads.set(requestId, load);
        const step = stepRequests(state.requests, { kind: 'arrived', request }, instant);
        return {
          state: { requests: step.state, loads },
          effects: step.effects.flatMap((effect) => translate(loads, effect)),
        };
      }
      case 'ended': {
        const { upstream, attemptId, load, status } = event.end;
        const answer = { status, headers: {}, body: EMPTY };
        const step = stepRequests(
          state.requests,
          {
            kind: 'attemptEnded',
            agentId: agentId(upstream),
            requestId: load.requestId,
            attemptId,
            result: { kind: 'answered', answer },
          },
          instant,
        );
        return {
          state: { ...state, requests: step.state },
          effects: step.effects.flatMap((effect) => translate(state.loads, effect)),
        };
      }
      case 'timer': {
        const step = stepRequests(state.requests, { kind: 'timer', timer: event.timer }, instant);
        return {
          state: { ...state, requests: step.state },
          effects: step.effects.flatMap((effect) => translate(state.loads, effect)),
        };
      }
      default:
        return assertNever(event);
    }
  },
};

interface SimpleState {
  readonly scenario: Scenario;
  readonly inFlight: readonly number[];
  readonly freeAtMs: readonly (readonly number[])[];
  readonly nextIndex: number;
}

type Choose = (state: SimpleState, load: Load, random: number, nowMs: number) => number;

function indexOfLeast(values: readonly number[]): number {
  return values.indexOf(Math.min(...values));
}

/** Commits the service time to the slot that is free first; only the omniscient router uses it. */
function plan(slots: readonly number[], nowMs: number, serviceMs: number): readonly number[] {
  const index = indexOfLeast(slots);
  return slots.map((freeAtMs, slot) =>
    slot === index ? Math.max(freeAtMs, nowMs) + serviceMs : freeAtMs,
  );
}

function simple(name: string, choose: Choose): Router<SimpleState, never> {
  return {
    name,
    create: (scenario) => ({
      scenario,
      inFlight: scenario.upstreams.map(() => 0),
      freeAtMs: scenario.upstreams.map(() => Array<number>(scenario.slots).fill(0)),
      nextIndex: 0,
    }),
    decide: (state, event, { nowMs, random }) => {
      switch (event.kind) {
        case 'arrived': {
          const { load } = event;
          const upstream = choose(state, load, random, nowMs);
          const { slots, connections } = state.scenario;
          const open = state.inFlight[upstream] ?? 0;
          if (open >= slots + connections) {
            return { state, effects: [{ kind: 'reply', load, isAnswered: false, status: 503 }] };
          }
          const inFlight = state.inFlight.with(upstream, open + 1);
          const freeAtMs = state.freeAtMs.with(
            upstream,
            plan(state.freeAtMs[upstream] ?? [], nowMs, load.serviceMs),
          );
          const next = { ...state, inFlight, freeAtMs, nextIndex: state.nextIndex + 1 };
          const attemptId = load.requestId;
          return { state: next, effects: [{ kind: 'send', upstream, attemptId, load }] };
        }
        case 'ended': {
          const { upstream, load, status } = event.end;
          const inFlight = state.inFlight.with(upstream, (state.inFlight[upstream] ?? 1) - 1);
          const isLate = nowMs - load.arrivedAtMs > state.scenario.timeoutMs;
          const reply = { kind: 'reply', load, isAnswered: !isLate, status } as const;
          return { state: { ...state, inFlight }, effects: [reply] };
        }
        case 'timer':
          return { state, effects: [] };
        default:
          return assertNever(event);
      }
    },
  };
}

/** Knows true service times and queues, and never uses an upstream that misbehaves. */
export const OMNISCIENT = simple('omniscient', (state, _, __, nowMs) =>
  indexOfLeast(
    state.freeAtMs.map((slots, index) => {
      if (state.scenario.upstreams[index] !== 'healthy') return Infinity;
      return Math.max(nowMs, Math.min(...slots)) + (index % DOMAINS === 0 ? 0 : 1);
    }),
  ),
);

/** Routers that a small project would start with. */
export const BASELINES: readonly Router<SimpleState, never>[] = [
  simple('random', (state, _, random) => Math.floor(random * state.inFlight.length)),
  simple('round robin', (state) => state.nextIndex % state.inFlight.length),
  simple('least in flight', (state, _, random) => {
    const least = Math.min(...state.inFlight);
    const ties = state.inFlight.flatMap((count, index) => (count === least ? [index] : []));
    return ties[Math.floor((drawUniforms(random, 1)[0] ?? 0) * ties.length)] ?? 0;
  }),
];
