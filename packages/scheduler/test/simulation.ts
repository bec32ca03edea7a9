import { cancelKey, DEFAULT_POLICY, jobKey, progressKey } from '@bronzeyoke/scheduler';
import { rowId } from '@bronzeyoke/standins';
import type { LeaderMessage } from '@bronzeyoke/wire';
import type { Stage } from '@bronzeyoke/workflow';
import { decodeProgress } from '@bronzeyoke/workflow';
import { jobOf, stageOf, TIMES, WALL_MS } from './fixture';
import { createAgent } from './simagent';
import { createClaimLog, isStillStored, runName } from './simclaims';
import type { Span } from './simclock';
import { createClock } from './simclock';
import { NO_COSTS } from './simcpu';
import { createRunHistory, repeatViolations } from './simhistory';
import { createEntry } from './simentry';
import type { Violation } from './siminvariants';
import { isHolder, lastingViolations, termViolations, viewViolations } from './siminvariants';
import type { Machine, MachinePark } from './simmachines';
import { createHops, createWorkerFaults } from './simmachines';
import type { EntryNode, World } from './simnodes';
import type { SimStore } from './simstore';
import { CALM_STORE, createStore } from './simstore';
import type { LoggedLine, SentOrder, SimOptions, Simulation } from './simtypes';
import { PROMPT_ORDERS } from './simtypes';
import { createRunWatch } from './simwatch';
import type { SimWorker } from './simworker';
import { createWorker, hasRoomOn, LASTING_PER_WORKER, lastingStage } from './simworker';

/** Time between the stop of an entry and the end of its process. */
const GRACE_MS = 2_500;

const ENTRIES = 5;

/** Workers' clocks may be this much slow or fast. */
const CLOCK_ERROR = 0.02;

/** Creates a simulation with its entries and machines running. */
export function createSimulation(
  seed: number,
  machineCount = 5,
  times = TIMES,
  {
    costs = NO_COSTS,
    processors = [],
    wallOffsetMs = () => 0,
    policy = DEFAULT_POLICY,
    lastingPerWorker = LASTING_PER_WORKER,
  }: SimOptions = {},
): Simulation {
  const clock = createClock(seed);
  const startMs = clock.now();
  const hosts = Array.from({ length: ENTRIES }, (_, index) => `h${index}`);
  const found = new Map<string, Violation>();
  const trace: string[] = [];
  const logged: LoggedLine[] = [];
  const orders: SentOrder[] = [];
  const reportedAtMs = new Map<string, number>();
  const watch = createRunWatch();
  const commitWaitsMs: number[] = [];
  const known = { jobs: 0, calmSinceMs: 0, generation: 0 };
  const orderDelays = new Map<string, Span>();
  const disturbances = new Set<string>();
  const entries: EntryNode[] = [];
  const machines: Machine[] = [];

  const wallMsOf = (name: string): number => WALL_MS + clock.now() + wallOffsetMs(name);
  const log = (who: string, text: string): void => {
    trace.push(`${((clock.now() - startMs) / 1_000).toFixed(3)} ${who} ${text}`);
  };
  const record = (violation: Violation): void => {
    const key = JSON.stringify(violation);
    if (found.has(key)) return;
    found.set(key, violation);
    log('VIOLATION', key);
  };
  const disturb = (what: string): void => {
    disturbances.add(what);
    log('fault', what);
  };
  const calm = (what: string): void => {
    disturbances.delete(what);
    known.calmSinceMs = clock.now() - startMs;
    log('fault ends', what);
  };
  const disturbOnce = (what: string): void => {
    disturb(what);
    calm(what);
  };

  const history = createRunHistory(startMs);
  const claims = createClaimLog(record, log);
  const store: SimStore = createStore(clock, claims.onApplied);

  const onSend = ({ name }: EntryNode, message: LeaderMessage): void => {
    if (message.kind === 'start') {
      const { task, attempt } = message.run;
      orders.push({ atMs: clock.now() - startMs, task, workerKey: message.workerKey });
      const run = runName(task, attempt, message.workerKey);
      if (!claims.hasClaimed(run)) record({ kind: 'unclaimedStart', entry: name, run });
    }
    if (message.kind !== 'acknowledge') return;
    const { workerKey, sequence } = message;
    const worker = machines.find((machine) => machine.worker.key === workerKey)?.worker;
    worker?.state().ends.forEach(({ task, attempt, sequence: number }) => {
      if (number > sequence || !isStillStored(store, task, attempt, workerKey)) return;
      record({ kind: 'unstoredEnd', entry: name, run: runName(task, attempt, workerKey) });
    });
  };

  const hops = createHops((name) => machines[Number(name.slice(1))]?.worker);
  const world: World = {
    clock,
    store,
    wallMsOf,
    seeds: hosts,
    times,
    costs,
    policy,
    orderDelayMs: (machine) => orderDelays.get(machine) ?? PROMPT_ORDERS,
    entryAt: (host) => entries[hosts.indexOf(host)],
    ...hops.view,
    history,
    log,
    onLog: ({ event, fields }) => logged.push({ atMs: clock.now() - startMs, event, fields }),
    onSend,
    onReport: (key) => reportedAtMs.set(key, reportedAtMs.get(key) ?? clock.now() - startMs),
    onCommitWait: (waitMs) => commitWaitsMs.push(waitMs),
    onStep: (state, event) => viewViolations(state, clock.now(), event.kind).forEach(record),
  };

  const startEntry = (index: number): void => {
    known.generation += 1;
    const host = hosts[index] ?? '';
    const entryId = `${host}-${known.generation}`;
    entries[index] = createEntry(world, host, entryId, processors[index]);
  };
  const startWorker = (name: string, id: string): SimWorker => {
    const rate = 1 + CLOCK_ERROR * (2 * clock.random() - 1);
    return createWorker(clock, { id, address: name, bornAtMs: wallMsOf(name) }, rate, history);
  };
  const startAgent = (index: number, worker: SimWorker): void => {
    const agent = createAgent(world, `m${index}`, () => machines[index]?.worker);
    machines[index] = { worker, agent };
  };
  const startMachine = (index: number): void => {
    startAgent(index, startWorker(`m${index}`, `m${index}-${WALL_MS + clock.now()}`));
  };
  hosts.forEach((_, index) => startEntry(index));
  Array.from({ length: machineCount }, (_, index) => startMachine(index));

  const holderStates = () => entries.filter((entry) => entry.isUp()).map((entry) => entry.state());

  const observe = (): void => {
    const nowMs = clock.now() - startMs;
    machines.forEach(({ worker }) => worker.update());
    const workers = machines.map(({ worker }) => worker);
    const broken = watch.observe(workers, nowMs);
    const away = watch.away();
    const isUsable = ({ agent, worker }: Machine): boolean =>
      agent.isUp() && worker.isUp() && !worker.isDraining() && hasRoomOn(worker, lastingPerWorker);
    const hasRoom = away.length > 0 && machines.some(isUsable);
    const calmSinceMs = disturbances.size > 0 ? nowMs : known.calmSinceMs;
    [
      ...termViolations(holderStates(), claims.leaders()),
      ...broken,
      ...lastingViolations(away, nowMs, calmSinceMs, hasRoom),
    ].forEach(record);
  };

  const advance = (ms: number): void => clock.advance(ms, observe);
  const advanceUntil = (holds: () => boolean, limitMs: number): boolean => {
    const untilMs = clock.now() + limitMs;
    while (!holds() && clock.now() < untilMs) advance(1);
    return holds();
  };
  const isLeading = (index: number): boolean => {
    const entry = entries[index];
    return entry?.isUp() === true && entry.state().phase === 'leading';
  };

  const killMachine = (index: number): void => {
    machines[index]?.worker.end();
    machines[index]?.agent.kill();
  };

  const park: MachinePark = {
    clock,
    machines,
    startWorker: (index, id) => {
      const machine = machines[index];
      if (machine === undefined) return;
      machines[index] = { agent: machine.agent, worker: startWorker(`m${index}`, id) };
    },
    startAgent: (index) => {
      const machine = machines[index];
      if (machine !== undefined) startAgent(index, machine.worker);
    },
    log,
    disturb,
    calm,
  };

  return {
    ...createWorkerFaults(park, hops),
    now: () => clock.now() - startMs,
    random: clock.random,
    violations: () => [
      ...[...found.values()].map((violation) =>
        violation.kind === 'doubleRun'
          ? { ...violation, runs: history.describe(violation.task) }
          : violation,
      ),
      ...repeatViolations(history),
    ],
    repeats: history.repeats,
    runsOf: history.describe,
    trace: () => trace,
    logged: () => logged,
    orders: () => orders,
    commitWaitsMs: () => commitWaitsMs,
    reportedAtMs: () => reportedAtMs,
    claims: claims.leaders,
    leader: () => {
      const owner = claims.leaders().at(-1)?.entryId;
      return entries.findIndex(
        (entry) => entry.name === owner && entry.isUp() && isHolder(entry.state()),
      );
    },
    isLeading,
    hasTransaction: (index) => entries[index]?.state().inFlight !== undefined,
    runningOn: (index) => machines[index]?.worker.state().runs.size ?? 0,
    advance,
    advanceUntil,
    submit: (kind, taskCount) => {
      known.jobs += 1;
      const jobId = `${kind}${known.jobs}`;
      const changes: Partial<Stage> = kind === 'lasting' ? lastingStage(lastingPerWorker) : {};
      const value = {
        ...jobOf(jobId, [stageOf(taskCount, changes)]),
        acceptedAtMs: WALL_MS + clock.now(),
      };
      store.put({ conditions: [], writes: [{ kind: 'put', ...jobKey(jobId), value }] });
      if (kind === 'short' || kind === 'brief') return jobId;
      Array.from({ length: taskCount }, (_, index) =>
        watch.follow(`${jobId}.0.0.${index}`, clock.now() - startMs),
      );
      return jobId;
    },
    cancel: (jobId) => {
      if (!store.state().rows.has(rowId(jobKey(jobId)))) return;
      log('plan', `cancel ${jobId}`);
      watch.forget(jobId);
      store.put({ conditions: [], writes: [{ kind: 'put', ...cancelKey(jobId), value: {} }] });
    },
    lastingAway: () => watch.away().map(({ task }) => task),
    isComplete: (jobId) => {
      const row = store.state().rows.get(rowId(progressKey(jobId)));
      return decodeProgress(row?.value)?.outcome === 'complete';
    },
    hearOddHeartbeats: (index) => {
      const machine = machines[index];
      if (machine === undefined) return;
      log('plan', `odd heartbeats m${index}`);
      const report = machine.worker.report();
      const bornAtMs = report.bornAtMs + 1;
      const odd = { ...report, id: 'odd', address: 'odd', service: 'retired', bornAtMs };
      [odd, { ...report, bornAtMs }].forEach((other) =>
        machine.agent.dispatch({ kind: 'heartbeat', report: other }),
      );
    },
    endLastingRuns: (index) => {
      log('plan', `end lasting runs m${index}`);
      machines[index]?.worker.endLastingRuns();
    },
    setStore: (changes, caller) => {
      disturb(`store ${caller ?? ''}`);
      store.setConditions(changes, caller);
    },
    calmStore: () => {
      [...hosts, ...machines.map((_, index) => `m${index}`)].forEach((caller) =>
        store.setConditions(CALM_STORE, caller),
      );
      store.setConditions(CALM_STORE);
      [...disturbances].filter((what) => what.startsWith('store')).forEach(calm);
    },
    setOrder: (changes) => store.setConditions(changes),
    loseReply: (loss) => {
      disturbOnce(`reply lost ${JSON.stringify(loss)}`);
      store.planLoss(loss);
    },
    stopEntry: (index, awayMs) => {
      const entry = entries[index];
      if (entry?.accepts() !== true) return;
      log('plan', `stop ${entry.name}`);
      entry.stop();
      clock.schedule(GRACE_MS, entry.kill);
      clock.schedule(GRACE_MS + awayMs, () => startEntry(index));
    },
    killEntry: (index, awayMs) => {
      const entry = entries[index];
      if (entry?.accepts() !== true) return;
      disturbOnce(`kill ${entry.name}`);
      entry.kill();
      clock.schedule(awayMs, () => startEntry(index));
    },
    replaceEntry: (index) => {
      disturbOnce(`address of ${entries[index]?.name} used again`);
      startEntry(index);
    },
    freezeEntry: (index, forMs) => {
      const entry = entries[index];
      const what = `freeze ${entry?.name}`;
      if (entry?.accepts() !== true || disturbances.has(what)) return;
      disturb(what);
      entry.setFrozen(true);
      clock.schedule(forMs, () => {
        entry.setFrozen(false);
        calm(what);
      });
    },
    slowEntry: (index, slowness) => {
      disturb(`slow ${hosts[index]}`);
      entries[index]?.setSlowness(slowness);
    },
    cutEntry: (index, forMs) => {
      const host = hosts[index] ?? '';
      const what = `cut ${host}`;
      if (disturbances.has(what)) return;
      disturb(what);
      store.setConditions({ isSilent: true }, host);
      clock.schedule(forMs, () => {
        store.setConditions({ isSilent: false }, host);
        calm(what);
      });
    },
    drainWorker: (index) => {
      log('plan', `drain m${index}`);
      machines[index]?.worker.drain();
      machines[index]?.agent.heartbeat();
    },
    leaveWorker: (index) => {
      log('plan', `leave m${index}`);
      const machine = machines[index];
      const id = machine?.worker.report().id ?? '';
      machine?.worker.end();
      machine?.agent.dispatch({ kind: 'workerLeft', id });
    },
    stopAgent: (index) => {
      log('plan', `stop agent m${index}`);
      machines[index]?.agent.stop();
    },
    cutAgent: (index, forMs) => {
      const agent = machines[index]?.agent;
      const what = `cut m${index}`;
      if (agent === undefined || disturbances.has(what)) return;
      disturb(what);
      agent.setCut(true);
      clock.schedule(forMs, () => {
        agent.setCut(false);
        calm(what);
      });
    },
    setOrderDelay: (index, spanMs) => {
      const what = `late orders m${index}`;
      orderDelays.set(`m${index}`, spanMs);
      if (spanMs === PROMPT_ORDERS) calm(what);
      else disturb(what);
    },
    hasOpenStart: (index) =>
      machines[index]?.agent.state().worker?.pending.some(({ phase }) => phase === 'calling') ===
      true,
    restartWorker: (index) => {
      const machine = machines[index];
      if (machine?.worker.isUp() !== true) return;
      disturbOnce(`restart worker m${index}`);
      machine.worker.end();
      const { agent, worker } = machine;
      machines[index] = { agent, worker: startWorker(`m${index}`, worker.id) };
    },
    restartAgent: (index) => {
      const machine = machines[index];
      if (machine?.agent.isUp() !== true) return;
      disturbOnce(`restart agent m${index}`);
      machine.agent.kill();
      startAgent(index, machine.worker);
    },
    killMachine: (index) => {
      disturbOnce(`kill m${index}`);
      killMachine(index);
    },
    losePower: (awayMs) => {
      disturb('power');
      entries.forEach((entry) => entry.kill());
      machines.forEach((_, index) => killMachine(index));
      clock.schedule(awayMs, () => {
        hosts.forEach((_, index) => startEntry(index));
        machines.forEach((_, index) => startMachine(index));
        calm('power');
      });
    },
  };
}
