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
import {
  createScheduler,
  JOB_PAGE_ROWS,
  SMALL_JOB_PAGE_ROWS,
  PARTITION,
  stepScheduler,
  TABLES,
} from '@bronzeyoke/scheduler';
import type { EventFields, EventName } from '@bronzeyoke/telemetry';
import { assertNever } from '@bronzeyoke/types';
import { decodeLeaderMessage, decodeRunnerMessage } from '@bronzeyoke/wire';
import type { FleetConfig, WorkflowJob } from '@bronzeyoke/workflow';
import { followLeader } from './leader';
import type { Reachability } from './reachability';
import { REACHABLE, updateReachability } from './reachability';
import { performStoreCall } from './store';

/** Settings of an entry and the ports that it uses. */
export interface ControllerOptions {
  readonly settings: SchedulerSettings;
  readonly store: RowStorePort;
  readonly log: (event: EventName, fields: EventFields) => void;
  /** Called with an error that a decision has thrown. */
  readonly onError: (error: unknown) => void;
}

/** Handle of a running entry. */
export interface Controller {
  readonly submit: (job: WorkflowJob, timeoutMs: number) => Promise<IntakeReply>;
  readonly cancel: (jobId: string, timeoutMs: number) => Promise<IntakeReply>;
  readonly status: (jobId: string, timeoutMs: number) => Promise<IntakeReply>;
  readonly pending: (queue: string, timeoutMs: number) => Promise<IntakeReply>;
  /** Applies a configuration, unless it is not newer than the current one. */
  readonly setConfig: (config: FleetConfig) => void;
  readonly config: () => FleetConfig | undefined;
  /** Applies times that were derived from changed settings. */
  readonly setTimes: (times: SchedulerTimes) => void;
  readonly setDomainsOut: (domains: ReadonlySet<string>) => void;
  /** Returns the time since the store last answered. */
  readonly storeSilentMs: () => number;
  readonly stop: () => void;
}

const TICK_MS = 50;

/** Longest wait of one call of a feed. Short, so that a silent connection is detected soon. */
const FEED_WAIT_MS = 2_000;

/** Time after which the connection that notifies a former leader is closed. */
const NOTIFY_TIMEOUT_MS = 2_000;

/** Mutable state of the shell. */
interface ControllerState {
  callCount: number;
  linkCount: number;
  storeAnsweredAtMs: number;
  storeReachability: Reachability;
  config?: FleetConfig;
}

/** Starts the actors of an entry: the scheduler, the intake, the feeds and the links to agents. */
export async function startController(options: ControllerOptions): Promise<Controller> {
  const { settings, store, log, onError } = options;
  const system = nact.start();
  const links = new Map<string, Ref<LinkCommand>>();
  const pendingReplies = new Map<string, (reply: IntakeReply) => void>();
  const state: ControllerState = {
    callCount: 0,
    linkCount: 0,
    storeAnsweredAtMs: performance.now(),
    storeReachability: REACHABLE,
  };

  const recordStoreResult = (isAnswered: boolean): void => {
    const nowMs = performance.now();
    if (isAnswered) state.storeAnsweredAtMs = nowMs;
    const next = updateReachability(state.storeReachability, 'store', isAnswered, nowMs);
    state.storeReachability = next.state;
    next.logs.forEach(({ event, fields }) => log(event, fields));
  };

  const trackedStore: RowStorePort = {
    ...store,
    commit: async (transaction) => {
      const result = await store.commit(transaction);
      recordStoreResult(result.kind === 'committed' || result.kind === 'conflict');
      return result;
    },
    range: async (range) => {
      const result = await store.range(range);
      recordStoreResult(result.kind === 'rows');
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
          performStoreCall(trackedStore, effect, (done) => dispatch(self, done)).catch(onError);
          return;
        case 'reply':
          pendingReplies.get(effect.callId)?.(effect.reply);
          pendingReplies.delete(effect.callId);
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
          pageRows: JOB_PAGE_ROWS,
          smallPageRows: SMALL_JOB_PAGE_ROWS,
          waitMs: FEED_WAIT_MS,
          onError,
          report: (update) => {
            const wallMs = Date.now();
            if (update.kind === 'snapshot') {
              dispatch(self, { kind: 'jobRows', isFull: true, rows: update.rows, wallMs });
            } else if (update.kind === 'changes') {
              const rows = update.changes.flatMap((change) =>
                change.kind === 'put' ? [change] : [],
              );
              dispatch(self, { kind: 'jobRows', isFull: false, rows, wallMs });
            }
          },
        })
      : undefined;
  };

  const notifyEntry = (effect: Extract<SchedulerEffect, { kind: 'notifyEntry' }>): void => {
    const { host, port, leader } = effect;
    const dialer = spawnDialer(
      system,
      { host, port },
      {
        linkId: `entry-${host}`,
        decode: decodeLeaderMessage,
        report: (event) => {
          if (event.kind !== 'opened') return;
          const message = { kind: 'leaderChanged', ...leader } as const;
          setImmediate(() => dispatch(dialer, { kind: 'send', message }));
        },
      },
    );
    setTimeout(() => dispatch(dialer, { kind: 'close' }), NOTIFY_TIMEOUT_MS).unref();
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
          performStoreCall(trackedStore, effect, (done) => dispatch(self, done)).catch(onError);
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
          notifyEntry(effect);
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
    state.linkCount += 1;
    const linkId = `link-${state.linkCount}`;
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
    onAnswer: recordStoreResult,
    onError,
  });

  setInterval(() => {
    dispatch(scheduler, { kind: 'tick', wallMs: Date.now() });
    dispatch(intake, { kind: 'tick' });
  }, TICK_MS).unref();

  const callIntake = (eventOf: (callId: string) => IntakeEvent): Promise<IntakeReply> => {
    state.callCount += 1;
    const callId = `call-${state.callCount}`;
    return new Promise((resolve) => {
      pendingReplies.set(callId, resolve);
      dispatch(intake, eventOf(callId));
    });
  };

  return {
    submit: (job, timeoutMs) => {
      const silentMs = performance.now() - state.storeAnsweredAtMs;
      return callIntake((callId) => ({ kind: 'submit', callId, job, timeoutMs, silentMs }));
    },
    cancel: (jobId, timeoutMs) =>
      callIntake((callId) => ({ kind: 'cancel', callId, jobId, timeoutMs })),
    status: (jobId, timeoutMs) =>
      callIntake((callId) => ({ kind: 'status', callId, jobId, timeoutMs })),
    pending: (queue, timeoutMs) =>
      callIntake((callId) => ({ kind: 'pending', callId, queue, timeoutMs })),
    setConfig: (config) => {
      if (config.version <= (state.config?.version ?? -Infinity)) return;
      state.config = config;
      log('configApplied', { version: config.version, queues: config.queues.length });
      dispatch(scheduler, { kind: 'configChanged', config });
    },
    config: () => state.config,
    setTimes: (times) => dispatch(scheduler, { kind: 'timesChanged', times }),
    setDomainsOut: (domains) => dispatch(scheduler, { kind: 'domainsOut', domains }),
    storeSilentMs: () => performance.now() - state.storeAnsweredAtMs,
    // Ticks go on, because the release of the lease may have to be sent again.
    stop: () => {
      dispatch(scheduler, { kind: 'stop' });
      leaderFeed.stop();
      server.close();
    },
  };
}
