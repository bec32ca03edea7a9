import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import * as nact from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, spawnCore } from '@bronzeyoke/actors';
import type { Follower } from '@bronzeyoke/follow';
import { followTable } from '@bronzeyoke/follow';
import type { IntakeEffect, IntakeEvent, IntakeReply } from '@bronzeyoke/intake';
import { createIntake, stepIntake } from '@bronzeyoke/intake';
import type { LinkCommand } from '@bronzeyoke/link';
import { spawnDialer, spawnLink } from '@bronzeyoke/link';
import type { RowStorePort } from '@bronzeyoke/ports';
import type {
  SchedulerEffect,
  SchedulerEvent,
  SchedulerSettings,
  SchedulerTimes,
} from '@bronzeyoke/scheduler';
import { createScheduler, PARTITION, stepScheduler, TABLES } from '@bronzeyoke/scheduler';
import type { EventFields, EventName } from '@bronzeyoke/telemetry';
import { assertNever } from '@bronzeyoke/types';
import { decodeLeaderMessage, decodeRunnerMessage } from '@bronzeyoke/wire';
import type { FleetConfig, WorkflowJob } from '@bronzeyoke/workflow';
import { followLeader } from './leader';
import { performStoreCall } from './store';

/** What an entry needs beside its settings. */
export interface ControllerOptions {
  readonly settings: SchedulerSettings;
  readonly store: RowStorePort;
  readonly log: (event: EventName, fields: EventFields) => void;
  /** Told of an error that escaped a decision. */
  readonly onError: (error: unknown) => void;
}

/** A running entry. */
export interface Controller {
  readonly submit: (job: WorkflowJob, timeoutMs: number) => Promise<IntakeReply>;
  readonly cancel: (jobId: string, timeoutMs: number) => Promise<IntakeReply>;
  readonly status: (jobId: string, timeoutMs: number) => Promise<IntakeReply>;
  readonly pending: (queue: string, timeoutMs: number) => Promise<IntakeReply>;
  /** Takes a configuration; one that is not newer than the known one is ignored. */
  readonly setConfig: (config: FleetConfig) => void;
  readonly config: () => FleetConfig | undefined;
  /** Takes times that were derived anew from changed settings. */
  readonly setTimes: (times: SchedulerTimes) => void;
  readonly setDomainsOut: (domains: ReadonlySet<string>) => void;
  /** Time since the store last answered. */
  readonly storeSilentMs: () => number;
  readonly stop: () => void;
}

const TICK_MS = 50;

/** How long one call of a feed waits. Short, so that a silent connection is found soon. */
const FEED_WAIT_MS = 2_000;

/** The connection that tells an earlier leader closes after this time. */
const NOTIFY_TIMEOUT_MS = 2_000;

/** What the shell itself keeps. */
interface ControllerState {
  callCount: number;
  linkCount: number;
  storeAnsweredAtMs: number;
  isStoreUnavailable: boolean;
  config?: FleetConfig;
}

/** Starts the actors of an entry: the scheduler, the intake, the feeds and the links to agents. */
export async function startController(options: ControllerOptions): Promise<Controller> {
  const { settings, store, log, onError } = options;
  const system = nact.start();
  const links = new Map<string, Ref<LinkCommand>>();
  const waiting = new Map<string, (reply: IntakeReply) => void>();
  const memory: ControllerState = {
    callCount: 0,
    linkCount: 0,
    storeAnsweredAtMs: performance.now(),
    isStoreUnavailable: false,
  };

  const noteStore = (isAnswered: boolean): void => {
    if (isAnswered) memory.storeAnsweredAtMs = performance.now();
    if (isAnswered === !memory.isStoreUnavailable) return;
    memory.isStoreUnavailable = !isAnswered;
    log(isAnswered ? 'dependencyRegained' : 'dependencyLost', { what: 'store' });
  };

  const watchedStore: RowStorePort = {
    ...store,
    commit: async (transaction) => {
      const result = await store.commit(transaction);
      noteStore(result.kind === 'committed' || result.kind === 'conflict');
      return result;
    },
    range: async (range) => {
      const result = await store.range(range);
      noteStore(result.kind === 'rows');
      return result;
    },
  };

  const intake: Ref<IntakeEvent> = spawnCore<
    ReturnType<typeof createIntake>,
    IntakeEvent,
    IntakeEffect
  >(system, {
    name: 'intake',
    initial: createIntake(),
    decide: stepIntake,
    onError,
    perform: (effect, self) => {
      switch (effect.kind) {
        case 'commit':
        case 'range':
          performStoreCall(watchedStore, effect, (done) => dispatch(self, done)).catch(onError);
          return;
        case 'reply':
          waiting.get(effect.callId)?.(effect.reply);
          waiting.delete(effect.callId);
          return;
        case 'log':
          log(effect.event, effect.fields);
          return;
        default:
          assertNever(effect);
      }
    },
  });

  let jobFeed: Follower | undefined;

  const followJobs = (isOn: boolean, self: Ref<SchedulerEvent>): void => {
    jobFeed?.stop();
    jobFeed = isOn
      ? followTable(store, {
          table: TABLES.jobs,
          partition: PARTITION,
          waitMs: FEED_WAIT_MS,
          onError,
          report: (news) => {
            const wallMs = Date.now();
            if (news.kind === 'snapshot') {
              dispatch(self, { kind: 'jobRows', isFull: true, rows: news.rows, wallMs });
            } else if (news.kind === 'changes') {
              const rows = news.changes.flatMap((change) =>
                change.kind === 'put' ? [change] : [],
              );
              dispatch(self, { kind: 'jobRows', isFull: false, rows, wallMs });
            }
          },
        })
      : undefined;
  };

  const tellEntry = (effect: Extract<SchedulerEffect, { kind: 'notifyEntry' }>): void => {
    const { host, port, leader } = effect;
    const dial = spawnDialer(
      system,
      { host, port },
      {
        linkId: `entry-${host}`,
        decode: decodeLeaderMessage,
        report: (event) => {
          if (event.kind !== 'opened') return;
          const message = { kind: 'leaderChanged', ...leader } as const;
          setImmediate(() => dispatch(dial, { kind: 'send', message }));
        },
      },
    );
    setTimeout(() => dispatch(dial, { kind: 'close' }), NOTIFY_TIMEOUT_MS).unref();
  };

  const scheduler: Ref<SchedulerEvent> = spawnCore<
    ReturnType<typeof createScheduler>,
    SchedulerEvent,
    SchedulerEffect
  >(system, {
    name: 'scheduler',
    initial: createScheduler(settings),
    decide: stepScheduler,
    onError,
    perform: (effect, self) => {
      switch (effect.kind) {
        case 'commit':
        case 'range':
          performStoreCall(watchedStore, effect, (done) => dispatch(self, done)).catch(onError);
          return;
        case 'followJobs':
          followJobs(effect.isOn, self);
          return;
        case 'send': {
          const link = links.get(effect.linkId);
          if (link !== undefined) dispatch(link, { kind: 'send', message: effect.message });
          return;
        }
        case 'notifyEntry':
          tellEntry(effect);
          return;
        case 'log':
          log(effect.event, effect.fields);
          return;
        default:
          assertNever(effect);
      }
    },
  });

  const accept = (socket: Socket): void => {
    memory.linkCount += 1;
    const linkId = `link-${memory.linkCount}`;
    const link = spawnLink(system, {
      linkId,
      socket,
      decode: decodeRunnerMessage,
      report: (event) => {
        switch (event.kind) {
          case 'opened':
            dispatch(scheduler, { kind: 'linkOpened', linkId });
            return;
          case 'received':
            dispatch(scheduler, {
              kind: 'received',
              linkId,
              message: event.message,
              wallMs: Date.now(),
            });
            return;
          case 'skipped':
            log('malformed', { what: 'message', messageKind: event.messageKind });
            return;
          case 'closed':
            links.delete(linkId);
            dispatch(scheduler, { kind: 'linkClosed', linkId });
            return;
          default:
            assertNever(event);
        }
      },
    });
    links.set(linkId, link);
  };

  const server = createServer(accept);
  server.listen(settings.port, settings.host);
  await once(server, 'listening');

  const leaderFeed = followLeader(store, {
    waitMs: FEED_WAIT_MS,
    onRow: (row) => dispatch(scheduler, { kind: 'leaderRow', row }),
    onAnswer: noteStore,
    onError,
  });

  const ticker = setInterval(() => {
    dispatch(scheduler, { kind: 'tick', wallMs: Date.now() });
    dispatch(intake, { kind: 'tick' });
  }, TICK_MS);

  const ask = (eventOf: (callId: string) => IntakeEvent): Promise<IntakeReply> => {
    memory.callCount += 1;
    const callId = `call-${memory.callCount}`;
    return new Promise((resolve) => {
      waiting.set(callId, resolve);
      dispatch(intake, eventOf(callId));
    });
  };

  return {
    submit: (job, timeoutMs) => {
      const silentMs = performance.now() - memory.storeAnsweredAtMs;
      return ask((callId) => ({ kind: 'submit', callId, job, timeoutMs, silentMs }));
    },
    cancel: (jobId, timeoutMs) => ask((callId) => ({ kind: 'cancel', callId, jobId, timeoutMs })),
    status: (jobId, timeoutMs) => ask((callId) => ({ kind: 'status', callId, jobId, timeoutMs })),
    pending: (queue, timeoutMs) => ask((callId) => ({ kind: 'pending', callId, queue, timeoutMs })),
    setConfig: (config) => {
      if (config.version <= (memory.config?.version ?? -Infinity)) return;
      memory.config = config;
      log('configApplied', { version: config.version, queues: config.queues.length });
      dispatch(scheduler, { kind: 'configChanged', config });
    },
    config: () => memory.config,
    setTimes: (times) => dispatch(scheduler, { kind: 'timesChanged', times }),
    setDomainsOut: (domains) => dispatch(scheduler, { kind: 'domainsOut', domains }),
    storeSilentMs: () => performance.now() - memory.storeAnsweredAtMs,
    stop: () => {
      dispatch(scheduler, { kind: 'stop' });
      leaderFeed.stop();
      clearInterval(ticker);
      server.close();
    },
  };
}
