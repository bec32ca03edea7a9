import { performance } from 'node:perf_hooks';
import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, spawnCore } from '@bronzeyoke/actors';
import type { Follower } from '@bronzeyoke/follow';
import { spawnDialer } from '@bronzeyoke/link';
import type { RowStorePort } from '@bronzeyoke/ports';
import type {
  SchedulerEffect,
  SchedulerEvent,
  SchedulerSettings,
  SchedulerStep,
} from '@bronzeyoke/scheduler';
import { createScheduler, policyOf, stepScheduler } from '@bronzeyoke/scheduler';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, chainAfter } from '@bronzeyoke/types';
import { AGENT_CODEC } from '@bronzeyoke/wire';
import type { AgentLinks } from './agentlinks';
import type { ClockReading } from './clockgap';
import { findClockGap } from './clockgap';
import { createEventMailbox } from './eventmailbox';
import { spawnHolderProbe } from './holderprobe';
import { followJobs } from './jobfeed';
import {
  areWaitsDue,
  closeWindow,
  countTasks,
  nextWaits,
  openWaits,
  openWindow,
  recordEvent,
  recordWait,
} from './loadmeter';
import { performStoreCall } from './store';
import type { LogEvent, ReportError } from './types';

/** Settings of a scheduler, and what its effects act on. */
export interface SchedulerOptions {
  readonly settings: SchedulerSettings;
  /** Store of the feed of jobs. */
  readonly store: RowStorePort;
  /** Store of commits and reads. */
  readonly trackedStore: RowStorePort;
  readonly links: AgentLinks;
  readonly feedWaitMs: number;
  /** Time between two ticks that the scheduler is sent. */
  readonly tickMs: number;
  readonly log: LogEvent;
  readonly onError: ReportError;
}

/** Time after which the connection that notifies a former leader is closed. */
const NOTIFY_TIMEOUT_MS = 2_000;

function notifyEntry(
  system: ActorSystemRef,
  effect: Extract<SchedulerEffect, { kind: 'notifyEntry' }>,
): void {
  const { host, port, leader } = effect;
  const dialer = spawnDialer(
    system,
    { host, port },
    {
      linkId: `entry-${host}`,
      codec: AGENT_CODEC,
      report: (event) => {
        if (event.kind !== 'opened') return;
        const message = { kind: 'leaderChanged', ...leader } as const;
        setImmediate(() => dispatch(dialer, { kind: 'send', message }));
      },
    },
  );
  setTimeout(() => dispatch(dialer, { kind: 'close' }), NOTIFY_TIMEOUT_MS).unref();
}

/** Starts the actor of the scheduler. It follows the jobs while it leads. */
export function startScheduler(
  system: ActorSystemRef,
  options: SchedulerOptions,
): Ref<SchedulerEvent> {
  const { settings, store, trackedStore, links, feedWaitMs, tickMs, log, onError } = options;
  let jobFeed: Follower | undefined;

  const switchJobFeed = (isOn: boolean, self: Ref<SchedulerEvent>): void => {
    jobFeed?.stop();
    jobFeed = isOn
      ? followJobs(store, {
          capacity: settings.capacity,
          waitMs: feedWaitMs,
          onRows: (isFull, rows) =>
            dispatch(self, { kind: 'jobRows', isFull, rows, wallMs: Date.now() }),
          onError,
        })
      : undefined;
  };

  const perform = (effect: SchedulerEffect, self: Ref<SchedulerEvent>): void => {
    switch (effect.kind) {
      case 'commit':
      case 'range':
        performStoreCall(trackedStore, effect, (done) => dispatch(self, done)).catch(onError);
        return;
      case 'followJobs':
        switchJobFeed(effect.isOn, self);
        return;
      case 'send':
        links.send(effect.linkId, effect.message);
        return;
      case 'notifyEntry':
        notifyEntry(system, effect);
        return;
      case 'askHolder': {
        const { host, port, version } = effect;
        spawnHolderProbe(system, { host, port }, (answer) =>
          dispatch(self, { kind: 'holderAnswered', version, answer }),
        );
        return;
      }
      case 'log':
        log(effect.event, effect.fields);
        return;
      default:
        assertNever(effect);
    }
  };

  const clocks: { last: ClockReading | undefined } = { last: undefined };

  /** Tells the scheduler first if the clocks have run apart since the event before. */
  const stepWithClocks: typeof stepScheduler = (state, event, inputs) => {
    const reading = { steadyMs: performance.now(), wallMs: Date.now() };
    const gapMs = findClockGap(clocks.last, reading);
    clocks.last = reading;
    if (gapMs === undefined) return stepScheduler(state, event, inputs);
    return chainAfter(stepScheduler(state, { kind: 'clockGap', gapMs }, inputs), [
      (current) => stepScheduler(current, event, inputs),
    ]);
  };

  const meter = {
    window: openWindow(performance.now()),
    waits: openWaits(performance.now()),
  };

  /** Tells the scheduler from time to time how long events have waited. */
  const tellWaits = (step: SchedulerStep, inputs: StepInputs): SchedulerStep => {
    const { nowMs } = inputs;
    if (!areWaitsDue(meter.waits, nowMs)) return step;
    const { waitMs } = meter.waits;
    meter.waits = nextWaits(meter.waits, nowMs);
    return chainAfter(step, [
      (current) => stepScheduler(current, { kind: 'loadMeasured', waitMs }, inputs),
    ]);
  };

  /**
   * Decides on an event, and tells from time to time how long a leader's events wait and take. The
   * scheduler learns how long its placement passes take, because that depends on the machine.
   */
  const decide: typeof stepScheduler = (state, event, inputs) => {
    const startMs = performance.now();
    const decided = stepWithClocks(state, event, inputs);
    const nowMs = performance.now();
    const hasPlaced = decided.state.passCount !== state.passCount;
    const durationMs = nowMs - startMs;
    const waitMs =
      'wallMs' in event ? Math.max(0, Date.now() - event.wallMs - (nowMs - startMs)) : 0;
    meter.waits = recordWait(meter.waits, { kind: event.kind, waitMs }, tickMs, startMs);
    const placed = hasPlaced
      ? chainAfter(decided, [
          (current) =>
            stepScheduler(current, { kind: 'passTook', durationMs }, { ...inputs, nowMs }),
        ])
      : decided;
    const step = tellWaits(placed, { ...inputs, nowMs });
    const { phase, pendingWrites, dueGrants, absences } = step.state;
    if (phase !== 'leading') {
      meter.window = openWindow(nowMs);
      return step;
    }
    meter.window = recordEvent(meter.window, {
      kind: event.kind,
      waitMs,
      durationMs,
      hasPlaced,
      ...countTasks(state, event, decided),
    });
    const backlog = {
      rows: pendingWrites.jobs.size,
      actions: pendingWrites.actions.size,
      grants: dueGrants.size,
      away: absences.size,
    };
    const line = closeWindow(meter.window, backlog, nowMs);
    if (line === undefined) return step;
    meter.window = openWindow(nowMs);
    return { state: step.state, effects: [...step.effects, line] };
  };

  return spawnCore<ReturnType<typeof createScheduler>, SchedulerEvent, SchedulerEffect>(system, {
    name: 'scheduler',
    initial: createScheduler(settings),
    decide,
    onError,
    perform,
    maxBatchMs: links.beginBatch,
    mailbox: policyOf(settings).ordersEvents ? createEventMailbox() : undefined,
  });
}
