import type {
  SchedulerEffect,
  SchedulerEvent,
  SchedulerState,
  SchedulingPolicy,
} from '@bronzeyoke/scheduler';
import { createEventMailbox } from '@bronzeyoke/hosts';
import { createScheduler, FULL_CAPACITY, stepScheduler, TABLES } from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';
import type { Work } from './simcpu';
import { createProcessor, passMs, stepMs } from './simcpu';
import type { EntryNode, Link, World } from './simnodes';
import { answerOf, HOP_MS, leaderRowOf, PORT } from './simnodes';
import type { SimFollower } from './simstore';

const TICK_MS = 50;
const FEED_WAIT_MS = 2_000;
const WAIT_WINDOW_MS = 100;

/** Time in which an address is asked twice. */
const PROBE_MS = [100, 110] as const;

const LOGGED: readonly string[] = [
  'leaderClaimed',
  'leaderLost',
  'leaderSeen',
  'workerGone',
  'taskReleased',
  'taskPlaced',
];

/** Starts an entry. */
export function createEntry(
  world: World & { readonly policy: SchedulingPolicy },
  host: string,
  entryId: string,
  processors = FULL_CAPACITY.processors,
): EntryNode {
  const { clock, store } = world;
  const capacity = { ...FULL_CAPACITY, processors };
  const node: {
    state: SchedulerState;
    isUp: boolean;
    isStopping: boolean;
    isFrozen: boolean;
    /** Factor by which the machine is slower than its processors tell. */
    slowness: number;
    waitMs: number;
    waitsSinceMs: number;
    jobFeed?: SimFollower | undefined;
  } = {
    state: createScheduler({
      entryId,
      host,
      port: PORT,
      capacity,
      times: world.times,
      policy: world.policy,
    }),
    isUp: true,
    isStopping: false,
    isFrozen: false,
    slowness: 1,
    waitMs: 0,
    waitsSinceMs: clock.now(),
  };
  const links = new Map<string, Link>();
  const wallMs = (): number => world.wallMsOf(host);

  /** Tells the scheduler how long its placement pass has taken, as the shell of an entry does. */
  const tellPass = (durationMs: number): void => {
    const inputs = { nowMs: clock.now(), random: 0 };
    node.state = stepScheduler(node.state, { kind: 'passTook', durationMs }, inputs).state;
  };

  /** Tells the scheduler how long events have waited, as the shell of an entry does. */
  const tellWaits = (): void => {
    const nowMs = clock.now();
    if (nowMs - node.waitsSinceMs < WAIT_WINDOW_MS) return;
    const event = { kind: 'loadMeasured', waitMs: node.waitMs } as const;
    node.waitMs = 0;
    node.waitsSinceMs = nowMs;
    const step = stepScheduler(node.state, event, { nowMs, random: 0 });
    node.state = step.state;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and effects call each other
    step.effects.forEach(perform);
  };

  const begin = (event: SchedulerEvent): Work => {
    const nowMs = clock.now();
    if (!node.isUp) return { durationMs: 0, finish: () => {} };
    if ('wallMs' in event) node.waitMs = Math.max(node.waitMs, wallMs() - event.wallMs);
    if (event.kind === 'commitDone') world.onCommitWait(wallMs() - event.wallMs);
    const step = stepScheduler(node.state, event, { nowMs, random: clock.random() });
    const coreMs = stepMs(world.costs, node.state, event, step, nowMs);
    const speed = capacity.processors / node.slowness;
    const passDurationMs = passMs(world.costs, node.state, step.state, nowMs) / speed;
    const finish = (): void => {
      if (!node.isUp) return;
      node.state = step.state;
      world.onStep(step.state, event);
      if (passDurationMs > 0) tellPass(passDurationMs);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and effects call each other
      step.effects.forEach(perform);
      tellWaits();
    };
    return { durationMs: coreMs / speed, finish };
  };
  const mailbox = world.policy.ordersEvents ? createEventMailbox() : undefined;
  const processor = createProcessor(clock, begin, mailbox);
  /** Events on connections that wait to be accepted, also on those that their agents have left. */
  const unaccepted = new Map<string, SchedulerEvent[]>();
  const dispatch = (event: SchedulerEvent): void => {
    if (!node.isUp) return;
    if (event.kind === 'received' && event.message.kind === 'report') {
      world.onReport(event.message.workerKey);
    }
    const held = 'linkId' in event ? unaccepted.get(event.linkId) : undefined;
    if (held === undefined) processor.submit(event);
    else held.push(event);
  };

  function followJobs(isOn: boolean): void {
    node.jobFeed?.stop();
    node.jobFeed = isOn
      ? store.follow(host, TABLES.jobs, FEED_WAIT_MS, (update) => {
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
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and effects call each other
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
          other.dispatch({
            kind: 'received',
            linkId,
            message,
            wallMs: world.wallMsOf(other.host),
          });
          other.dispatch({ kind: 'linkClosed', linkId });
        });
        return;
      }
      case 'askHolder': {
        const { version } = effect;
        clock.schedule(clock.within(PROBE_MS), () =>
          dispatch({
            kind: 'holderAnswered',
            version,
            answer: answerOf(world.entryAt(effect.host)),
          }),
        );
        return;
      }
      case 'log':
        world.onLog(effect);
        if (LOGGED.includes(effect.event))
          world.log(entryId, `${effect.event} ${JSON.stringify(effect.fields)}`);
        return;
      default:
        assertNever(effect);
    }
  }

  const leaderFeed = store.follow(host, TABLES.leader, FEED_WAIT_MS, (update) => {
    if (update.kind === 'snapshot') dispatch({ kind: 'leaderRow', row: leaderRowOf(update.rows) });
    else if (update.kind === 'changes') {
      update.changes.forEach((row) => {
        if (row.kind === 'put') dispatch({ kind: 'leaderRow', row });
      });
    }
  });

  const tick = (): void => {
    if (!node.isUp) return;
    if (!node.isFrozen) dispatch({ kind: 'tick', wallMs: wallMs() });
    clock.schedule(TICK_MS, tick);
  };
  clock.schedule(clock.within([0, TICK_MS]), tick);

  const entry: EntryNode = {
    name: entryId,
    host,
    state: () => node.state,
    isUp: () => node.isUp,
    isFrozen: () => node.isFrozen,
    accepts: () => node.isUp && !node.isStopping,
    dispatch,
    addLink: (link) => {
      const { linkId } = link;
      links.set(linkId, link);
      const held: SchedulerEvent[] = [{ kind: 'linkOpened', linkId }];
      unaccepted.set(linkId, held);
      processor.connect(() => {
        unaccepted.delete(linkId);
        return held;
      });
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
    setSlowness: (slowness) => {
      node.slowness = slowness;
    },
    setFrozen: (isFrozen) => {
      node.isFrozen = isFrozen;
      processor.setPaused(isFrozen);
    },
  };
  return entry;
}
