import { once } from 'node:events';
import { createServer } from 'node:net';
import { performance } from 'node:perf_hooks';
import * as nact from 'nact';
import { dispatch } from '@bronzeyoke/actors';
import type { LinkGuard } from '@bronzeyoke/link';
import type { IntakeReply } from '@bronzeyoke/intake';
import type { RowStorePort } from '@bronzeyoke/ports';
import type { SchedulerSettings, SchedulerTimes } from '@bronzeyoke/scheduler';
import { policyOf } from '@bronzeyoke/scheduler';
import type { FleetConfig, WorkflowJob } from '@bronzeyoke/workflow';
import { createAgentLinks } from './agentlinks';
import { startIntake } from './intake';
import { followLeader } from './leader';
import { startScheduler } from './scheduler';
import type { StartupEvent } from './startup';
import { advanceStartup, NOT_STARTED } from './startup';
import { trackStore } from './trackedstore';
import type { LogEvent, ReportError } from './types';
import { followVerdicts } from './verdicts';

/** Settings of an entry and the ports that it uses. */
export interface ControllerOptions {
  readonly settings: SchedulerSettings;
  readonly store: RowStorePort;
  readonly log: LogEvent;
  readonly onError: ReportError;
  /** Limits the connections of agents; without it there are no limits. */
  readonly linkGuard?: LinkGuard;
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
  /** Applies the failure domains that operators evacuate, as the store held them `ageMs` ago. */
  readonly setDomainsOut: (domains: ReadonlySet<string>, ageMs: number) => void;
  /** Returns the time since the store last answered. */
  readonly storeSilentMs: () => number;
  readonly stop: () => void;
}

const TICK_MS = 50;

/** Connections that wait to be accepted. All agents connect to a new leader at the same time. */
const CONNECTION_BACKLOG = 2_048;

/** Longest wait of one call of a feed. Short, so that a silent connection is detected soon. */
const FEED_WAIT_MS = 2_000;

/**
 * The same for the feed of verdicts. Longer, because an entry that misses verdicts accepts all jobs, and each
 * call is priced while nothing is limited, too.
 */
const VERDICT_WAIT_MS = 10_000;

/** Starts the actors of an entry: the scheduler, the intake, the feeds and the links to agents. */
export async function startController(options: ControllerOptions): Promise<Controller> {
  const { settings, store, log, onError } = options;
  const system = nact.start();
  const startup = { state: NOT_STARTED };
  const noteStartup = (event: StartupEvent): void => {
    const { state, logs } = advanceStartup(startup.state, event, performance.now());
    startup.state = state;
    logs.forEach((line) => log(line.event, line.fields));
  };
  const tracked = trackStore(store, log, () => noteStartup('storeAnswered'));
  const links = createAgentLinks(system, log, options.linkGuard);
  const { limitsAdmission } = policyOf(settings);
  const intake = startIntake(
    system,
    tracked.store,
    log,
    onError,
    limitsAdmission ? settings.entryId : undefined,
  );
  const scheduler = startScheduler(system, {
    settings,
    store,
    trackedStore: tracked.store,
    links,
    feedWaitMs: FEED_WAIT_MS,
    tickMs: TICK_MS,
    log,
    onError,
  });
  let currentConfig: FleetConfig | undefined;

  const server = createServer((socket) => links.accept(socket, scheduler));
  server.listen({ port: settings.port, host: settings.host, backlog: CONNECTION_BACKLOG });
  await once(server, 'listening');

  const leaderFeed = followLeader(store, {
    waitMs: FEED_WAIT_MS,
    onRow: (row) => dispatch(scheduler, { kind: 'leaderRow', row }),
    ...(limitsAdmission ? { onVersion: intake.noteVersion } : {}),
    onAnswer: tracked.recordResult,
    onError,
  });
  const verdictFeed = limitsAdmission
    ? followVerdicts(store, { waitMs: VERDICT_WAIT_MS, onVerdicts: intake.hear, onError })
    : undefined;

  setInterval(() => {
    dispatch(scheduler, { kind: 'tick', wallMs: Date.now() });
    intake.tick();
  }, TICK_MS).unref();

  return {
    submit: (job, timeoutMs) => {
      const silentMs = tracked.silentMs();
      return intake.call((callId) => ({ kind: 'submit', callId, job, timeoutMs, silentMs }));
    },
    cancel: (jobId, timeoutMs) =>
      intake.call((callId) => ({ kind: 'cancel', callId, jobId, timeoutMs })),
    status: (jobId, timeoutMs) =>
      intake.call((callId) => ({ kind: 'status', callId, jobId, timeoutMs })),
    pending: (queue, timeoutMs) =>
      intake.call((callId) => ({ kind: 'pending', callId, queue, timeoutMs })),
    setConfig: (config) => {
      if (config.version <= (currentConfig?.version ?? -Infinity)) return;
      currentConfig = config;
      log('configApplied', { version: config.version, queues: config.queues.length });
      noteStartup('configured');
      dispatch(scheduler, { kind: 'configChanged', config });
    },
    config: () => currentConfig,
    setTimes: (times) => dispatch(scheduler, { kind: 'timesChanged', times }),
    setDomainsOut: (domains, ageMs) => dispatch(scheduler, { kind: 'domainsOut', domains, ageMs }),
    storeSilentMs: tracked.silentMs,
    // Ticks go on, because the release of the lease may have to be sent again.
    stop: () => {
      dispatch(scheduler, { kind: 'stop' });
      leaderFeed.stop();
      verdictFeed?.stop();
      server.close();
    },
  };
}
