import type { StoredRow } from '@bronzeyoke/ports';
import type { RunnerEffect, RunnerEvent, RunnerState } from '@bronzeyoke/runner';
import { createRunner, stepRunner } from '@bronzeyoke/runner';
import { decodeLeader, TABLES } from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';
import type { LeaderMessage } from '@bronzeyoke/wire';
import { MAX_LEASE_MS } from './fixture';
import type { AgentNode, EntryNode, Link, World } from './simnodes';
import { HOP_MS, leaderRowOf, PORT } from './simnodes';
import { callOverHop } from './simhop';
import type { SimWorker } from './simworker';

const TICK_MS = 100;
const HOLD_TICK_DELAY_MS = 45;
const FEED_WAIT_MS = 10_000;
const HEARTBEAT_MS = 500;
const FIRST_REDIAL_MS = 100;
const MAX_REDIAL_MS = 400;

/** Longest duration of a planned stop. */
const STOP_MS = 5_000;

/** What a connection is for: reports, or a lookup of the leader at a seed. */
type SlotKind = 'leader' | 'seed';

/** A connection that the next one of its kind replaces. */
interface Slot {
  generation: number;
  link?: Link | undefined;
}

/** Returns the event of a message to the agent, if the agent takes it on such a connection. */
function eventOf(kind: SlotKind, message: LeaderMessage): RunnerEvent | undefined {
  if (kind === 'leader') return { kind: 'received', message };
  if (message.kind !== 'leader') return undefined;
  const { term, host, port } = message;
  return { kind: 'leaderNamed', term, address: { host, port } };
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
  const node: { state: RunnerState; isUp: boolean; isCut: boolean } = {
    state: createRunner({
      agentId,
      firstToken: world.wallMsOf(name),
      seeds,
      maxLeaseMs: MAX_LEASE_MS,
    }),
    isUp: true,
    isCut: false,
  };
  const slots: Readonly<Record<SlotKind, Slot>> = {
    leader: { generation: 0 },
    seed: { generation: 0 },
  };

  const dispatch = (event: RunnerEvent): void => {
    if (!node.isUp) return;
    const inputs = { nowMs: clock.now(), random: clock.random() };
    const step = stepRunner(node.state, event, inputs);
    node.state = step.state;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and effects call each other
    step.effects.forEach(perform);
  };

  function openLink(entry: EntryNode, kind: SlotKind, generation: number, host: string): void {
    const slot = slots[kind];
    const linkId = `${agentId}-${kind}-${generation}-${clock.now()}`;
    const channel = { isOpen: true, agentFreeAtMs: 0, entryFreeAtMs: 0 };
    const isCurrent = (): boolean => node.isUp && slot.generation === generation;
    const nextMs = (freeAtMs: number): number =>
      Math.max(freeAtMs, clock.now() + Math.round(clock.within(HOP_MS)));
    const link: Link = {
      linkId,
      toAgent: (message) => {
        channel.agentFreeAtMs = nextMs(channel.agentFreeAtMs);
        const event = eventOf(kind, message);
        if (event === undefined) return;
        clock.schedule(channel.agentFreeAtMs - clock.now(), () => {
          if (channel.isOpen && isCurrent() && !node.isCut) dispatch(event);
        });
      },
      toEntry: (message) => {
        channel.entryFreeAtMs = nextMs(channel.entryFreeAtMs);
        clock.schedule(channel.entryFreeAtMs - clock.now(), () => {
          if (!channel.isOpen || node.isCut) return;
          entry.dispatch({ kind: 'received', linkId, message, wallMs: world.wallMsOf(entry.host) });
        });
      },
      close: () => {
        if (!channel.isOpen) return;
        channel.isOpen = false;
        clock.schedule(1, () => {
          entry.dispatch({ kind: 'linkClosed', linkId });
          if (!isCurrent()) return;
          slot.link = undefined;
          if (kind === 'leader') dispatch({ kind: 'linkClosed' });
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a closed link is dialed again
          dial(host, kind, generation, FIRST_REDIAL_MS);
        });
      },
    };
    slot.link = link;
    entry.addLink(link);
    if (kind === 'leader') dispatch({ kind: 'linkOpened' });
  }

  function dial(host: string, kind: SlotKind, generation: number, redialMs: number): void {
    clock.schedule(clock.within(HOP_MS), () => {
      if (!node.isUp || slots[kind].generation !== generation) return;
      const entry = world.entryAt(host);
      if (entry?.accepts() === true && !node.isCut) {
        openLink(entry, kind, generation, host);
        return;
      }
      const nextMs = Math.min(2 * redialMs, MAX_REDIAL_MS);
      clock.schedule(redialMs, () => dial(host, kind, generation, nextMs));
    });
  }

  function closeSlot(kind: SlotKind): Slot {
    const slot = slots[kind];
    slot.generation += 1;
    slot.link?.close();
    slot.link = undefined;
    return slot;
  }

  function openSlot(kind: SlotKind, host: string): void {
    dial(host, kind, closeSlot(kind).generation, FIRST_REDIAL_MS);
  }

  function perform(effect: RunnerEffect): void {
    switch (effect.kind) {
      case 'connect':
        openSlot('leader', effect.address.host);
        return;
      case 'askSeed':
        openSlot('seed', effect.address.host);
        return;
      case 'endLookup':
        closeSlot('seed');
        return;
      case 'send':
        slots.leader.link?.toEntry(effect.message);
        return;
      case 'call': {
        const { callId, call } = effect;
        callOverHop(world, name, effect, (result) => {
          dispatch({ kind: 'callDone', callId, result });
          if (call.kind === 'hold') {
            clock.schedule(HOLD_TICK_DELAY_MS, () => dispatch({ kind: 'tick' }));
          }
        });
        return;
      }
      case 'settled':
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the effects of a stop end the process
        end();
        return;
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
  const feed = store.follow(name, TABLES.leader, FEED_WAIT_MS, (update) => {
    if (update.kind === 'snapshot') onRow(leaderRowOf(update.rows));
    else if (update.kind === 'changes') {
      update.changes.forEach((row) => {
        if (row.kind === 'put') onRow(row);
      });
    }
  });

  function end(): void {
    node.isUp = false;
    feed.stop();
    Object.values(slots).forEach(({ link }) => link?.close());
  }

  const heartbeat = (): void => {
    const target = worker();
    if (!world.hopOf(name, name).hasHeartbeats) return;
    if (target?.isUp() === true) dispatch({ kind: 'heartbeat', report: target.report() });
  };
  const repeat = (everyMs: number, callback: () => void): void => {
    if (!node.isUp) return;
    callback();
    clock.schedule(everyMs, () => repeat(everyMs, callback));
  };
  clock.schedule(clock.within([0, TICK_MS]), () =>
    repeat(TICK_MS, () => dispatch({ kind: 'tick' })),
  );
  clock.schedule(clock.within([0, TICK_MS]), () => repeat(HEARTBEAT_MS, heartbeat));

  return {
    state: () => node.state,
    isUp: () => node.isUp,
    dispatch,
    heartbeat,
    stop: () => dispatch({ kind: 'stop', withinMs: STOP_MS }),
    kill: end,
    setCut: (isCut) => {
      node.isCut = isCut;
      // Messages were lost, so the connection does not go on.
      if (!isCut) Object.values(slots).forEach(({ link }) => link?.close());
    },
  };
}
