import { Map } from 'immutable';
import type { RequestsEffect, RequestsState, RequestsTimer } from '@bronzeyoke/requests';
import { createRequests, stepRequests } from '@bronzeyoke/requests';
import { assertNever, drawUniforms } from '@bronzeyoke/types';
import type { Arrival, Router, RouterEffect, Scenario } from './sim';

const SERVICE = 'quoter';
const EMPTY_BODY = new Uint8Array(0);
const DOMAIN_COUNT = 4;

interface BronzeyokeState {
  readonly requests: RequestsState;
  readonly arrivals: Map<string, Arrival>;
}

function agentId(upstream: number): string {
  return `a${upstream}`;
}

function translate(
  arrivals: Map<string, Arrival>,
  effect: RequestsEffect,
): readonly RouterEffect<RequestsTimer>[] {
  switch (effect.kind) {
    case 'send': {
      const { message } = effect;
      if (message.kind !== 'request') return [];
      const arrival = arrivals.get(message.requestId);
      if (arrival === undefined) return [];
      const upstream = Number(effect.agentId.slice(1));
      return [{ kind: 'send', upstream, attemptId: message.attemptId, arrival }];
    }
    case 'reply': {
      const arrival = arrivals.get(effect.requestId);
      if (arrival === undefined) return [];
      const { outcome } = effect;
      const isAnswered = outcome.kind === 'answered';
      const status = isAnswered ? outcome.answer.status : 503;
      return [{ kind: 'reply', arrival, isAnswered, status }];
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

/** Bronzeyoke's own routing, as an entry runs it. */
export const BRONZEYOKE: Router<BronzeyokeState, RequestsTimer> = {
  name: 'bronzeyoke',
  create: (scenario: Scenario) => ({
    arrivals: Map(),
    requests: scenario.upstreams.reduce((state, _, index) => {
      const { slots, connections } = scenario;
      const domain = `d${index % DOMAIN_COUNT}`;
      const upstream = { agentId: agentId(index), service: SERVICE, domain, slots, connections };
      return stepRequests(state, { kind: 'upstreamUp', upstream }, { nowMs: 0, random: 0.5 }).state;
    }, createRequests('d0')),
  }),
  decide: (state, event, instant) => {
    switch (event.kind) {
      case 'arrived': {
        const { arrival } = event;
        const { requestId } = arrival;
        const request = {
          ...{ requestId, service: SERVICE, method: 'POST', path: '/', headers: {} },
          ...{ body: EMPTY_BODY, timeoutMs: 1_000 },
        };
        const arrivals = state.arrivals.set(requestId, arrival);
        const step = stepRequests(state.requests, { kind: 'arrived', request }, instant);
        return {
          state: { requests: step.state, arrivals },
          effects: step.effects.flatMap((effect) => translate(arrivals, effect)),
        };
      }
      case 'ended': {
        const { upstream, attemptId, arrival, status } = event.end;
        const answer = { status, headers: {}, body: EMPTY_BODY };
        const step = stepRequests(
          state.requests,
          {
            kind: 'attemptEnded',
            agentId: agentId(upstream),
            requestId: arrival.requestId,
            attemptId,
            result: { kind: 'answered', answer },
          },
          instant,
        );
        return {
          state: { ...state, requests: step.state },
          effects: step.effects.flatMap((effect) => translate(state.arrivals, effect)),
        };
      }
      case 'timer': {
        const step = stepRequests(state.requests, { kind: 'timer', timer: event.timer }, instant);
        return {
          state: { ...state, requests: step.state },
          effects: step.effects.flatMap((effect) => translate(state.arrivals, effect)),
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

type Choose = (state: SimpleState, arrival: Arrival, random: number, nowMs: number) => number;

function indexOfLeast(values: readonly number[]): number {
  return values.indexOf(Math.min(...values));
}

/** Adds the service time to the slot that is free first; only the omniscient router reads it. */
function reserveSlot(
  slots: readonly number[],
  nowMs: number,
  serviceMs: number,
): readonly number[] {
  const index = indexOfLeast(slots);
  return slots.map((freeAtMs, slot) =>
    slot === index ? Math.max(freeAtMs, nowMs) + serviceMs : freeAtMs,
  );
}

function createSimpleRouter(name: string, choose: Choose): Router<SimpleState, never> {
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
          const { arrival } = event;
          const upstream = choose(state, arrival, random, nowMs);
          const { slots, connections } = state.scenario;
          const open = state.inFlight[upstream] ?? 0;
          if (open >= slots + connections) {
            return { state, effects: [{ kind: 'reply', arrival, isAnswered: false, status: 503 }] };
          }
          const inFlight = state.inFlight.with(upstream, open + 1);
          const freeAtMs = state.freeAtMs.with(
            upstream,
            reserveSlot(state.freeAtMs[upstream] ?? [], nowMs, arrival.serviceMs),
          );
          const next = { ...state, inFlight, freeAtMs, nextIndex: state.nextIndex + 1 };
          const attemptId = arrival.requestId;
          return { state: next, effects: [{ kind: 'send', upstream, attemptId, arrival }] };
        }
        case 'ended': {
          const { upstream, arrival, status } = event.end;
          const inFlight = state.inFlight.with(upstream, (state.inFlight[upstream] ?? 1) - 1);
          const isLate = nowMs - arrival.arrivedAtMs > state.scenario.timeoutMs;
          const reply = { kind: 'reply', arrival, isAnswered: !isLate, status } as const;
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

/** Router with the true service times and queues, which never uses a faulty upstream. */
export const OMNISCIENT = createSimpleRouter('omniscient', (state, _, __, nowMs) =>
  indexOfLeast(
    state.freeAtMs.map((slots, index) => {
      if (state.scenario.upstreams[index] !== 'healthy') return Infinity;
      return Math.max(nowMs, Math.min(...slots)) + (index % DOMAIN_COUNT === 0 ? 0 : 1);
    }),
  ),
);

/** Common simple routers to compare with. */
export const BASELINES: readonly Router<SimpleState, never>[] = [
  createSimpleRouter('random', (state, _, random) => Math.floor(random * state.inFlight.length)),
  createSimpleRouter('round robin', (state) => state.nextIndex % state.inFlight.length),
  createSimpleRouter('least in flight', (state, _, random) => {
    const least = Math.min(...state.inFlight);
    const ties = state.inFlight.flatMap((count, index) => (count === least ? [index] : []));
    return ties[Math.floor((drawUniforms(random, 1)[0] ?? 0) * ties.length)] ?? 0;
  }),
];
