import { randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { start, stop } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, dispatchAfter, spawnCore } from '@bronzeyoke/actors';
import type { ReceivedAttempt } from '@bronzeyoke/admission';
import type { DialerCommand, LinkEvent } from '@bronzeyoke/link';
import { spawnDialer } from '@bronzeyoke/link';
import type { UpstreamPort, WorkerPort } from '@bronzeyoke/ports';
import type { Address, AgentProfile, Failure, UpstreamAnswer } from '@bronzeyoke/types';
import { assertNever, formatAddress } from '@bronzeyoke/types';
import type { EntryMessage } from '@bronzeyoke/wire';
import { decodeEntryMessage, plainCodec } from '@bronzeyoke/wire';
import { createAgent, stepAgent } from './core';
import type { AgentObserver } from './monitor';
import type { AgentEffect, AgentEvent } from './types';
import { performWorkerEffect } from './worker';

/** Options of `startAgent`. */
export interface AgentOptions {
  readonly profile: Omit<AgentProfile, 'agentId'>;
  readonly entries: readonly Address[];
  readonly upstream: UpstreamPort;
  /** An agent without a worker serves requests only. */
  readonly worker?: WorkerPort;
  readonly onError: (error: unknown) => void;
  /** Called after each step of the core. */
  readonly observe?: AgentObserver;
}

/** A running agent. */
export interface RunningAgent {
  readonly agentId: string;
  /** Starts a planned stop. */
  readonly stop: () => void;
  /** Resolves when the agent has stopped, with the failure if the stop was not planned. */
  readonly stopped: Promise<Failure | undefined>;
}

function toEvent(event: LinkEvent<EntryMessage>): AgentEvent | undefined {
  switch (event.kind) {
    case 'opened':
      return { kind: 'linkOpened', linkId: event.linkId };
    case 'closed':
      return { kind: 'linkClosed', linkId: event.linkId };
    case 'received':
      return event;
    case 'skipped':
      return undefined;
    default:
      return assertNever(event);
  }
}

function isSampled(traceparent: string | undefined): boolean {
  return traceparent?.endsWith('-01') ?? false;
}

/** Adds the duration of the upstream call to the answer's headers; the entry reports it as a span. */
function withTiming(answer: UpstreamAnswer, durationMs: number): UpstreamAnswer {
  const ownTiming = `bronzeyoke-upstream;dur=${durationMs.toFixed(3)}`;
  const upstreamTiming = answer.headers['server-timing'];
  const timing = upstreamTiming === undefined ? ownTiming : `${ownTiming}, ${upstreamTiming}`;
  return { ...answer, headers: { ...answer.headers, 'server-timing': timing } };
}

async function callUpstream(
  upstream: UpstreamPort,
  attempt: ReceivedAttempt,
  timeoutMs: number,
): Promise<AgentEvent> {
  const { attemptId, method, path, body, traceparent } = attempt;
  const headers = traceparent === undefined ? attempt.headers : { ...attempt.headers, traceparent };
  const startedAtMs = performance.now();
  const result = await upstream.call({ method, path, headers, body, timeoutMs });
  switch (result.kind) {
    case 'answered':
      return {
        kind: 'upstreamAnswered',
        attemptId,
        answer: isSampled(traceparent)
          ? withTiming(result.answer, performance.now() - startedAtMs)
          : result.answer,
      };
    case 'notReached':
      return { kind: 'upstreamNotReached', attemptId };
    case 'lost':
      return { kind: 'upstreamLost', attemptId, reason: result.reason };
    default:
      return assertNever(result);
  }
}

/** Starts an agent, which connects to the entries, announces itself and serves requests. */
export function startAgent(options: AgentOptions): RunningAgent {
  const system = start();
  const profile = { ...options.profile, agentId: randomUUID() };
  const links = new Map<string, Ref<DialerCommand>>();
  let resolveStopped = (_failure?: Failure): void => undefined;
  const stopped = new Promise<Failure | undefined>((resolve) => {
    resolveStopped = resolve;
  });

  const exit = (failure?: Failure): void => {
    links.forEach((link) => dispatch(link, { kind: 'close' }));
    setImmediate(() => {
      stop(system);
      resolveStopped(failure);
    });
  };

  const perform = (effect: AgentEffect, self: Ref<AgentEvent>): void => {
    switch (effect.kind) {
      case 'send': {
        const link = links.get(effect.linkId);
        if (link !== undefined) dispatch(link, { kind: 'send', message: effect.message });
        return;
      }
      case 'callUpstream':
        callUpstream(options.upstream, effect.attempt, effect.timeoutMs)
          .then((event) => dispatch(self, event))
          .catch(options.onError);
        return;
      case 'worker':
        performWorkerEffect(options.worker, effect)
          .then((event) => dispatch(self, event))
          .catch(options.onError);
        return;
      case 'wake':
        dispatchAfter(self, { kind: 'timer', timer: effect.timer }, effect.afterMs);
        return;
      case 'exit':
        exit(effect.failure);
        return;
      default:
        assertNever(effect);
    }
  };

  const core = spawnCore(system, {
    name: 'agent',
    initial: createAgent(profile),
    decide: (state, event, inputs) => {
      const step = stepAgent(state, event, inputs);
      options.observe?.(state, event, step);
      return step;
    },
    perform,
    onError: options.onError,
  });
  options.entries.forEach((address) => {
    const linkId = formatAddress(address);
    const link = spawnDialer<EntryMessage>(system, address, {
      linkId,
      codec: plainCodec(decodeEntryMessage),
      report: (linkEvent) => {
        const event = toEvent(linkEvent);
        if (event !== undefined) dispatch(core, event);
      },
    });
    links.set(linkId, link);
  });
  dispatch(core, { kind: 'started' });
  return { agentId: profile.agentId, stop: () => dispatch(core, { kind: 'stop' }), stopped };
}
