import * as nact from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, dispatchAfter, spawnCore } from '@bronzeyoke/actors';
import type { RowStorePort, StoredRow, WorkerCallPort, WorkerReport } from '@bronzeyoke/ports';
import type { RunnerEffect, RunnerEvent, RunnerSettings } from '@bronzeyoke/runner';
import { createRunner, stepRunner } from '@bronzeyoke/runner';
import { decodeLeader } from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';
import { followLeader } from './leader';
import { createLeaderLink } from './leaderlink';
import type { LogEvent, ReportError } from './types';

/** Settings of an agent and the ports that it uses. */
export interface RunnerOptions {
  readonly settings: RunnerSettings;
  readonly store: RowStorePort;
  readonly worker: WorkerCallPort;
  readonly log: LogEvent;
  readonly onError: ReportError;
}

/** Handle of a running agent. */
export interface Runner {
  readonly heartbeat: (report: WorkerReport) => void;
  readonly workerLeft: (id: string) => void;
  /**
   * Starts a planned stop. The promise resolves when the agent has settled what it knows, after
   * `withinMs` at the latest.
   */
  readonly stop: (withinMs: number) => Promise<void>;
}

const TICK_MS = 100;

/** Long, because many agents follow the leader's row at the same time. */
const FEED_WAIT_MS = 10_000;

/** Delay of the tick after a hold call, by which a hold that was not due yet may be due. */
const HOLD_TICK_DELAY_MS = 45;

/** Starts the actors of an agent: its core, the connection to the leader and the feed of its row. */
export function startRunner(options: RunnerOptions): Runner {
  const { settings, store, worker, log, onError } = options;
  const system = nact.start();
  const stopping: { onSettled: () => void } = { onSettled: () => undefined };
  const leaderLink = createLeaderLink(system, log);

  const perform = (effect: RunnerEffect, self: Ref<RunnerEvent>): void => {
    switch (effect.kind) {
      case 'connect':
        leaderLink.connect(effect.address, self);
        return;
      case 'askSeed':
        leaderLink.askSeed(effect.address, self);
        return;
      case 'endLookup':
        leaderLink.endLookup();
        return;
      case 'send':
        leaderLink.send(effect.message);
        return;
      case 'call': {
        const { callId, call, timeoutMs } = effect;
        worker
          .call(effect.worker, call, timeoutMs)
          .then((result) => {
            dispatch(self, { kind: 'callDone', callId, result });
            if (call.kind === 'hold') dispatchAfter(self, { kind: 'tick' }, HOLD_TICK_DELAY_MS);
          })
          .catch(onError);
        return;
      }
      case 'settled':
        stopping.onSettled();
        return;
      case 'log':
        log(effect.event, effect.fields);
        return;
      default:
        assertNever(effect);
    }
  };

  const core = spawnCore<ReturnType<typeof createRunner>, RunnerEvent, RunnerEffect>(system, {
    name: 'runner',
    initial: createRunner(settings),
    decide: stepRunner,
    perform,
    onError,
  });

  const onLeaderRow = (row: StoredRow | undefined): void => {
    const leader = decodeLeader(row);
    if (leader === undefined) return;
    const { term, host, port } = leader;
    dispatch(core, { kind: 'leader', term, address: { host, port } });
  };

  const feed = followLeader(store, { waitMs: FEED_WAIT_MS, onRow: onLeaderRow, onError });
  const ticker = setInterval(() => dispatch(core, { kind: 'tick' }), TICK_MS);

  return {
    heartbeat: (report) => dispatch(core, { kind: 'heartbeat', report }),
    workerLeft: (id) => dispatch(core, { kind: 'workerLeft', id }),
    stop: async (withinMs) => {
      await new Promise<void>((resolve) => {
        stopping.onSettled = resolve;
        dispatch(core, { kind: 'stop', withinMs });
      });
      feed.stop();
      clearInterval(ticker);
    },
  };
}
