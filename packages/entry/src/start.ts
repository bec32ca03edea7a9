import { randomUUID } from 'node:crypto';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { performance } from 'node:perf_hooks';
import { start, stop } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, dispatchAfter, spawnCore } from '@bronzeyoke/actors';
import type { LinkCommand, LinkEvent, LinkGuard } from '@bronzeyoke/link';
import { spawnLink } from '@bronzeyoke/link';
import type { TablePort } from '@bronzeyoke/ports';
import type { AdminCommand, AdminReply, Failure, Result } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';
import { decodeAgentMessage, plainCodec } from '@bronzeyoke/wire';
import type { AdminApiOptions } from './api';
import { spawnAdminApi } from './api';
import { createEntry, stepEntry } from './core';
import type { LimitedServers } from './http';
import { spawnFrontEnd } from './http';
import type { EntryObserver } from './monitor';
import { NO_TABLE, spawnStore } from './store';
import type { EntryTracing } from './tracing';
import type { EntryEffect, EntryEvent } from './types';

/** Options of `startEntry`. Port 0 selects any free port. */
export interface EntryOptions {
  readonly domain: string;
  readonly host: string;
  readonly callerPort: number;
  /** Address for agents, if it is not `host`. */
  readonly agentHost?: string;
  readonly agentPort: number;
  /** Without a table an entry only routes idempotent requests. */
  readonly table?: TablePort;
  readonly onError: (error: unknown) => void;
  readonly onFailure: (failure: Failure) => void;
  /** Called after each step of the core. */
  readonly observe?: EntryObserver;
  readonly tracing?: EntryTracing;
  /** Without them the limits on callers are the defaults. */
  readonly limited?: LimitedServers;
  /** Without it connections of agents are not limited. */
  readonly linkGuard?: LinkGuard;
  /** Without it the entry has no administration API over HTTP. */
  readonly admin?: Pick<AdminApiOptions, 'tokens' | 'needsCallerToken' | 'count'>;
}

/** Carries out an administration command and resolves with its reply. */
export type Administer = (command: AdminCommand) => Promise<Result<AdminReply>>;

/** A running entry. */
export interface RunningEntry {
  readonly entryId: string;
  readonly callerPort: number;
  readonly agentPort: number;
  readonly administer: Administer;
  /** Begins a planned stop. */
  readonly stop: () => void;
  /** Resolves when the planned stop is complete. */
  readonly stopped: Promise<void>;
}

async function listen(server: Server, host: string, port: number): Promise<number> {
  server.listen(port, host);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/** Starts an entry that listens for callers and for agents. */
export async function startEntry(options: EntryOptions): Promise<RunningEntry> {
  const { domain, observe, tracing } = options;
  const system = start();
  const entryId = randomUUID();
  const links = new Map<string, Ref<LinkCommand>>();
  let resolveStopped = (): void => undefined;
  const stopped = new Promise<void>((resolve) => {
    resolveStopped = resolve;
  });
  const agentServer = createServer();

  const replies = new Map<string, (result: Result<AdminReply>) => void>();

  const frontEnd = spawnFrontEnd(system, options.onFailure, options.limited);

  const exit = (): void => {
    dispatch(frontEnd.actor, { kind: 'close' });
    agentServer.close();
    frontEnd.server.once('close', () => {
      links.forEach((link) => dispatch(link, { kind: 'close' }));
      setImmediate(() => {
        stop(system);
        resolveStopped();
      });
    });
  };

  let sendToCore: (event: EntryEvent) => void = () => undefined;
  const store = spawnStore(
    system,
    options.table ?? NO_TABLE,
    (event) => sendToCore(event),
    options.onError,
  );

  const perform = (effect: EntryEffect, self: Ref<EntryEvent>): void => {
    switch (effect.kind) {
      case 'send': {
        const link = links.get(effect.linkId);
        if (link !== undefined)
          dispatch(link, {
            kind: 'send',
            message: tracing?.traceSend(effect.message) ?? effect.message,
          });
        return;
      }
      case 'closeLink': {
        const link = links.get(effect.linkId);
        if (link !== undefined) dispatch(link, { kind: 'close' });
        return;
      }
      case 'commit':
      case 'read':
      case 'scan':
        dispatch(store, { kind: 'access', access: effect });
        return;
      case 'adminReply': {
        const { callId, result } = effect;
        replies.get(callId)?.(result);
        replies.delete(callId);
        return;
      }
      case 'reply':
        tracing?.traceReply(effect.requestId, effect.outcome);
        dispatch(frontEnd.actor, effect);
        return;
      case 'wake':
        dispatchAfter(self, { kind: 'timer', timer: effect.timer }, effect.afterMs);
        return;
      case 'exit':
        exit();
        return;
      default:
        assertNever(effect);
    }
  };

  const decide: typeof stepEntry = (state, event, inputs) => {
    const step = stepEntry(state, event, inputs);
    observe?.(state, event, step);
    return step;
  };

  const core: Ref<EntryEvent> = spawnCore(system, {
    name: 'entry',
    initial: createEntry(entryId, domain),
    decide,
    perform,
    onError: options.onError,
  });

  sendToCore = (event) => dispatch(core, event);
  sendToCore({ kind: 'started', wallOffsetMs: performance.timeOrigin });
  const administer: Administer = (command) =>
    new Promise((resolve) => {
      const callId = randomUUID();
      replies.set(callId, resolve);
      sendToCore({ kind: 'admin', callId, command });
    });

  dispatch(frontEnd.actor, {
    kind: 'attach',
    onRequest: (request) =>
      sendToCore({ kind: 'arrived', request: tracing?.traceRequest(request) ?? request }),
    ...(options.admin === undefined
      ? {}
      : { admin: spawnAdminApi(system, { ...options.admin, administer, entryId, domain }) }),
  });

  const report = (event: LinkEvent<AgentMessage>): void => {
    switch (event.kind) {
      case 'opened':
        sendToCore({ kind: 'linkOpened', linkId: event.linkId });
        return;
      case 'received':
        tracing?.traceReceive(event.message);
        sendToCore(event);
        return;
      case 'skipped':
        return;
      case 'closed':
        links.delete(event.linkId);
        if (event.failure !== undefined) options.onFailure(event.failure);
        sendToCore({ kind: 'linkClosed', linkId: event.linkId });
        return;
      default:
        assertNever(event);
    }
  };

  agentServer.on('connection', (socket) => {
    const linkId = randomUUID();
    const link = spawnLink(system, {
      linkId,
      socket,
      codec: plainCodec(decodeAgentMessage),
      report,
      ...(options.linkGuard === undefined ? {} : { guard: options.linkGuard }),
    });
    links.set(linkId, link);
  });
  const agentPort = await listen(agentServer, options.agentHost ?? options.host, options.agentPort);
  const callerPort = await listen(frontEnd.server, options.host, options.callerPort);
  return {
    entryId,
    callerPort,
    agentPort,
    administer,
    stop: () => sendToCore({ kind: 'stop' }),
    stopped,
  };
}
