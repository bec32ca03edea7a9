import type { StoredRow } from '@bronzeyoke/ports';
import type { RunnerEffect, RunnerEvent, RunnerState } from '@bronzeyoke/runner';
import { createRunner, stepRunner } from '@bronzeyoke/runner';
import type { SchedulerEffect, SchedulerEvent, SchedulerState } from '@bronzeyoke/scheduler';
import {
  createScheduler,
  decodeLeader,
  LEADER_KEY,
  stepScheduler,
  TABLES,
} from '@bronzeyoke/scheduler';
import type { LeaderMessage, RunnerMessage } from '@bronzeyoke/wire';
import { assertNever } from '@bronzeyoke/types';
import { TIMES, WALL_MS } from './fixture';
import type { Clock, Span } from './simclock';
import type { SimFollower, SimStore } from './simstore';
import type { SimWorker } from './simworker';

const ENTRY_TICK_MS = 50;
const AGENT_TICK_MS = 100;
const HOLD_TICK_DELAY_MS = 45;
const ENTRY_FEED_WAIT_MS = 2_000;
const AGENT_FEED_WAIT_MS = 10_000;
const HEARTBEAT_MS = 500;
const FIRST_REDIAL_MS = 100;
const MAX_REDIAL_MS = 400;
const HOP_MS: Span = [1, 3];
const PORT = 1;

/** Parts of the simulation that its processes use, and the observers of what they do. */
export interface World {
  readonly clock: Clock;
  readonly store: SimStore;
  readonly entryAt: (host: string) => EntryNode | undefined;
  readonly seeds: readonly string[];
  readonly log: (who: string, text: string) => void;
  readonly onSend: (entry: EntryNode, message: LeaderMessage) => void;
}

/** A connection between an agent and an entry. Messages arrive in order. */
export interface Link {
  readonly linkId: string;
  readonly toAgent: (message: LeaderMessage) => void;
  readonly toEntry: (message: RunnerMessage) => void;
  /** Closes the connection; only the ends that are up learn of it. */
  readonly close: () => void;
}

/** Process of an entry. */
export interface EntryNode {
  readonly name: string;
  readonly host: string;
  readonly state: () => SchedulerState;
  readonly isUp: () => boolean;
  readonly accepts: () => boolean;
  readonly dispatch: (event: SchedulerEvent) => void;
  readonly addLink: (link: Link) => void;
  readonly stop: () => void;
  readonly kill: () => void;
  readonly setFrozen: (isFrozen: boolean) => void;
}

/** Process of an agent. */
export interface AgentNode {
  readonly state: () => RunnerState;
  readonly isUp: () => boolean;
  readonly dispatch: (event: RunnerEvent) => void;
  readonly heartbeat: () => void;
  readonly kill: () => void;
}

const LOGGED: readonly string[] = [
  'leaderClaimed',
  'leaderLost',
  'leaderSeen',
  'workerGone',
  'taskReleased',
  'taskPlaced',
];

function leaderRowOf(rows: readonly StoredRow[]): StoredRow | undefined {
  return rows.find(({ key }) => key === LEADER_KEY.key);
}

/** Starts an entry. */
export function createEntry(world: World, host: string, entryId: string): EntryNode {
  const { clock, store } = world;
  const node: {
    state: SchedulerState;
    isUp: boolean;
    isStopping: boolean;
    isFrozen: boolean;
    held: readonly SchedulerEvent[];
    jobFeed?: SimFollower | undefined;
  } = {
    state: createScheduler({ entryId, host, port: PORT, times: TIMES }),
    isUp: true,
    isStopping: false,
    isFrozen: false,
    held: [],
  };
  const links = new Map<string, Link>();
  const wallMs = (): number => WALL_MS + clock.now();

  const dispatch = (event: SchedulerEvent): void => {
    if (!node.isUp) return;
    if (node.isFrozen) {
      node.held = [...node.held, event];
      return;
    }
    const inputs = { nowMs: clock.now(), random: clock.random() };
    const step = stepScheduler(node.state, event, inputs);
    node.state = step.state;
    step.effects.forEach(perform);
  };

  function followJobs(isOn: boolean): void {
    node.jobFeed?.stop();
    node.jobFeed = isOn
      ? store.follow(host, TABLES.jobs, ENTRY_FEED_WAIT_MS, (update) => {
          if (update.kind === 'snapshot') {
            dispatch({ kind: 'jobRows', isFull: true, rows: update.rows, wallMs: wallMs() });
          } else if (update.kind === 'changes') {
            const rows = update.changes.flatMap((row) => (row.kind === 'put' ? [row] : []));
            dispatch({ kind: 'jobRows', isFull: false, rows, wallMs: wallMs() });
          }
        })
      : undefined;
  }

  function perform(effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'commit': {
        const { callId, transaction } = effect;
        store.commit(host, transaction, (result) =>
          dispatch({ kind: 'commitDone', callId, result, wallMs: wallMs() }),
        );
        return;
      }
      case 'range': {
        const { callId, range } = effect;
        store.range(host, range, (result) =>
          dispatch({ kind: 'rangeDone', callId, result, wallMs: wallMs() }),
        );
        return;
      }
      case 'followJobs':
        followJobs(effect.isOn);
        return;
      case 'send': {
        world.onSend(entry, effect.message);
        links.get(effect.linkId)?.toAgent(effect.message);
        return;
      }
      case 'notifyEntry': {
        const message = { kind: 'leaderChanged', ...effect.leader } as const;
        const linkId = `notify-${entryId}`;
        clock.schedule(clock.within(HOP_MS), () => {
          const other = world.entryAt(effect.host);
          if (other?.accepts() !== true) return;
          other.dispatch({ kind: 'linkOpened', linkId });
          other.dispatch({ kind: 'received', linkId, message, wallMs: wallMs() });
          other.dispatch({ kind: 'linkClosed', linkId });
        });
        return;
      }
      case 'log':
        if (LOGGED.includes(effect.event))
          world.log(entryId, `${effect.event} ${JSON.stringify(effect.fields)}`);
        return;
      default:
        assertNever(effect);
    }
  }

  const leaderFeed = store.follow(host, TABLES.leader, ENTRY_FEED_WAIT_MS, (update) => {
    if (update.kind === 'snapshot') dispatch({ kind: 'leaderRow', row: leaderRowOf(update.rows) });
    else if (update.kind === 'changes') {
      update.changes.forEach((row) => {
        if (row.kind === 'put') dispatch({ kind: 'leaderRow', row });
      });
    }
  });

  const tick = (): void => {
    if (!node.isUp || node.isStopping) return;
    if (!node.isFrozen) dispatch({ kind: 'tick', wallMs: wallMs() });
    clock.schedule(ENTRY_TICK_MS, tick);
  };
  clock.schedule(clock.within([0, ENTRY_TICK_MS]), tick);

  const entry: EntryNode = {
    name: entryId,
    host,
    state: () => node.state,
    isUp: () => node.isUp,
    accepts: () => node.isUp && !node.isStopping,
    dispatch,
    addLink: (link) => {
      links.set(link.linkId, link);
      dispatch({ kind: 'linkOpened', linkId: link.linkId });
    },
    stop: () => {
      dispatch({ kind: 'stop' });
      node.isStopping = true;
      leaderFeed.stop();
    },
    kill: () => {
      node.isUp = false;
      leaderFeed.stop();
      node.jobFeed?.stop();
      links.forEach((link) => link.close());
    },
    setFrozen: (isFrozen) => {
      node.isFrozen = isFrozen;
      if (isFrozen) return;
      const { held } = node;
      node.held = [];
      held.forEach(dispatch);
    },
  };
  return entry;
}

/** Starts an agent beside a worker. */
export function createAgent(
  world: World,
  name: string,
  worker: () => SimWorker | undefined,
): AgentNode {
  const { clock, store } = world;
  const seeds = world.seeds.map((host) => ({ host, port: PORT }));
  const agentId = `${name}-${clock.now()}`;
  const node: { state: RunnerState; isUp: boolean; generation: number; link?: Link | undefined } = {
    state: createRunner({ agentId, firstToken: WALL_MS + clock.now(), seeds }),
    isUp: true,
    generation: 0,
  };

  const dispatch = (event: RunnerEvent): void => {
    if (!node.isUp) return;
    const inputs = { nowMs: clock.now(), random: clock.random() };
    const step = stepRunner(node.state, event, inputs);
    node.state = step.state;
    step.effects.forEach(perform);
  };

  function openLink(entry: EntryNode, generation: number, host: string): void {
    const linkId = `${agentId}-${generation}-${clock.now()}`;
    const channel = { isOpen: true, agentFreeAtMs: 0, entryFreeAtMs: 0 };
    const isCurrent = (): boolean => node.isUp && node.generation === generation;
    const nextMs = (freeAtMs: number): number =>
      Math.max(freeAtMs, clock.now() + Math.round(clock.within(HOP_MS)));
    const link: Link = {
      linkId,
      toAgent: (message) => {
        channel.agentFreeAtMs = nextMs(channel.agentFreeAtMs);
        clock.schedule(channel.agentFreeAtMs - clock.now(), () => {
          if (channel.isOpen && isCurrent()) dispatch({ kind: 'received', message });
        });
      },
      toEntry: (message) => {
        channel.entryFreeAtMs = nextMs(channel.entryFreeAtMs);
        clock.schedule(channel.entryFreeAtMs - clock.now(), () => {
          if (!channel.isOpen) return;
          entry.dispatch({ kind: 'received', linkId, message, wallMs: WALL_MS + clock.now() });
        });
      },
      close: () => {
        if (!channel.isOpen) return;
        channel.isOpen = false;
        clock.schedule(1, () => {
          entry.dispatch({ kind: 'linkClosed', linkId });
          if (!isCurrent()) return;
          node.link = undefined;
          dispatch({ kind: 'linkClosed' });
          dial(host, generation, FIRST_REDIAL_MS);
        });
      },
    };
    node.link = link;
    entry.addLink(link);
    dispatch({ kind: 'linkOpened' });
  }

  function dial(host: string, generation: number, redialMs: number): void {
    clock.schedule(clock.within(HOP_MS), () => {
      if (!node.isUp || node.generation !== generation) return;
      const entry = world.entryAt(host);
      if (entry?.accepts() === true) {
        openLink(entry, generation, host);
        return;
      }
      const nextMs = Math.min(2 * redialMs, MAX_REDIAL_MS);
      clock.schedule(redialMs, () => dial(host, generation, nextMs));
    });
  }

  function perform(effect: RunnerEffect): void {
    switch (effect.kind) {
      case 'connect':
        node.generation += 1;
        node.link?.close();
        node.link = undefined;
        dial(effect.address.host, node.generation, FIRST_REDIAL_MS);
        return;
      case 'send':
        node.link?.toEntry(effect.message);
        return;
      case 'call': {
        const { callId, call, timeoutMs } = effect;
        const state = { isDone: false };
        const reply = (result: Extract<RunnerEvent, { kind: 'callDone' }>['result']): void => {
          if (state.isDone) return;
          state.isDone = true;
          dispatch({ kind: 'callDone', callId, result });
          if (call.kind === 'hold') {
            clock.schedule(HOLD_TICK_DELAY_MS, () => dispatch({ kind: 'tick' }));
          }
        };
        clock.schedule(timeoutMs, () => reply({ kind: 'lost' }));
        clock.schedule(1, () => {
          const target = worker();
          if (!node.isUp) return;
          if (target?.isUp() !== true) reply({ kind: 'notListening' });
          else if (target.key !== `${effect.worker.id}@${effect.worker.bornAtMs}`) {
            reply({ kind: 'otherWorker' });
          } else target.call(call, (result) => clock.schedule(1, () => reply(result)));
        });
        return;
      }
      case 'log':
        return;
      default:
        assertNever(effect);
    }
  }

  const onRow = (row: StoredRow | undefined): void => {
    const leader = decodeLeader(row);
    if (leader === undefined) return;
    const { term, host, port } = leader;
    dispatch({ kind: 'leader', term, address: { host, port } });
  };
  const feed = store.follow(name, TABLES.leader, AGENT_FEED_WAIT_MS, (update) => {
    if (update.kind === 'snapshot') onRow(leaderRowOf(update.rows));
    else if (update.kind === 'changes') {
      update.changes.forEach((row) => {
        if (row.kind === 'put') onRow(row);
      });
    }
  });

  const heartbeat = (): void => {
    const target = worker();
    if (target?.isUp() === true) dispatch({ kind: 'heartbeat', report: target.report() });
  };
  const repeat = (everyMs: number, callback: () => void): void => {
    if (!node.isUp) return;
    callback();
    clock.schedule(everyMs, () => repeat(everyMs, callback));
  };
  clock.schedule(clock.within([0, AGENT_TICK_MS]), () =>
    repeat(AGENT_TICK_MS, () => dispatch({ kind: 'tick' })),
  );
  clock.schedule(clock.within([0, AGENT_TICK_MS]), () => repeat(HEARTBEAT_MS, heartbeat));

  return {
    state: () => node.state,
    isUp: () => node.isUp,
    dispatch,
    heartbeat,
    kill: () => {
      node.isUp = false;
      feed.stop();
      node.link?.close();
    },
  };
}
