import type { WorkerFaults, WorkerOutput, WorkerState } from '@bronzeyoke/standins';
import { NO_WORKER_FAULTS, createWorker, nextWorkerAtMs, stepWorker } from '@bronzeyoke/standins';
import type { TaskMessage, TasksEffect, TasksEvent, TasksState } from '@bronzeyoke/tasks';
import { TICK_MS, createTasks, stepTasks } from '@bronzeyoke/tasks';
import type { AgentProfile, TaskSpec } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';

export const profile: AgentProfile = {
  agentId: 'a1',
  worker: 'w1',
  domain: 'hobart',
  region: 'tasmania',
  rack: 'r1',
  service: 'quoter',
  slots: 8,
  connections: 64,
  total: { processorsMilli: 4_000, memoryMb: 4_000, accelerators: 0 },
};

const used = { processorsMilli: 1_000, memoryMb: 1_000, accelerators: 0 };

export function spec(jobId: string): TaskSpec {
  return {
    id: { jobId, index: 0 },
    team: 't',
    workKind: 'k',
    role: 'batch',
    reserved: used,
    payload: '',
  };
}

/** An agent's batch work over a modelled worker, in virtual time. */
export interface Driver {
  readonly nowMs: number;
  readonly agent: TasksState;
  readonly worker: WorkerState;
  readonly nextTickMs: number;
  readonly sent: readonly {
    readonly atMs: number;
    readonly linkId: string;
    readonly message: AgentMessage;
  }[];
  readonly seen: readonly WorkerOutput[];
  readonly exits: readonly TasksEffect[];
  /** Whether registrations and renewals are granted automatically. */
  readonly grants: boolean;
  readonly incarnation: number;
}

export function createDriver(runMs: number): Driver {
  return {
    nowMs: 0,
    agent: createTasks(profile),
    worker: createWorker(profile.total, () => ({ runMs, used, fails: false })),
    nextTickMs: TICK_MS,
    sent: [],
    seen: [],
    exits: [],
    grants: true,
    incarnation: 0,
  };
}

interface Performed {
  readonly driver: Driver;
  readonly events: readonly TasksEvent[];
}

function collect({ driver, events }: Performed, outputs: readonly WorkerOutput[]): Performed {
  const replies = outputs.flatMap((output): readonly TasksEvent[] =>
    output.kind === 'reply'
      ? [{ kind: 'workerDone', callId: output.callId, reply: output.reply }]
      : [],
  );
  return {
    driver: { ...driver, seen: [...driver.seen, ...outputs] },
    events: [...events, ...replies],
  };
}

function grantReply(driver: Driver, message: AgentMessage): TaskMessage | undefined {
  const { incarnation } = driver;
  if (!driver.grants) return undefined;
  if (message.kind === 'registerWorker') {
    return { kind: 'workerRegistered', token: message.token, incarnation };
  }
  if (message.kind !== 'renewWorker') return undefined;
  return message.incarnation === incarnation
    ? { kind: 'workerRenewed', token: message.token }
    : { kind: 'workerFenced', incarnation };
}

function perform(performed: Performed, effect: TasksEffect): Performed {
  const { driver, events } = performed;
  switch (effect.kind) {
    case 'send': {
      const { linkId, message } = effect;
      const isNew = driver.grants && message.kind === 'registerWorker';
      const sent = [...driver.sent, { atMs: driver.nowMs, linkId, message }];
      const next = { ...driver, sent, incarnation: driver.incarnation + Number(isNew) };
      const reply = grantReply(next, message);
      return {
        driver: next,
        events:
          reply === undefined ? events : [...events, { kind: 'received', linkId, message: reply }],
      };
    }
    case 'worker': {
      const step = stepWorker(driver.worker, { ...effect, kind: 'command' }, driver.nowMs);
      return collect({ driver: { ...driver, worker: step.state }, events }, step.effects);
    }
    case 'exit':
      return { driver: { ...driver, exits: [...driver.exits, effect] }, events };
  }
}

function run({ driver, events }: Performed): Driver {
  const [event, ...rest] = events;
  if (event === undefined) return driver;
  const step = stepTasks(driver.agent, event, { nowMs: driver.nowMs, random: 0.5 });
  const stepped = { driver: { ...driver, agent: step.state }, events: rest };
  return run(step.effects.reduce(perform, stepped));
}

export function dispatch(driver: Driver, event: TasksEvent): Driver {
  return run({ driver, events: [event] });
}

export function receive(driver: Driver, message: TaskMessage, linkId = 'l1'): Driver {
  return dispatch(driver, { kind: 'received', linkId, message });
}

export function advanceTo(driver: Driver, untilMs: number): Driver {
  const workerAtMs = nextWorkerAtMs(driver.worker);
  const nextMs = Math.min(workerAtMs, driver.nextTickMs);
  if (nextMs > untilMs) return { ...driver, nowMs: untilMs };
  const moved = { ...driver, nowMs: Math.max(driver.nowMs, nextMs) };
  if (workerAtMs <= driver.nextTickMs) {
    const step = stepWorker(moved.worker, { kind: 'advance' }, moved.nowMs);
    const passed = { driver: { ...moved, worker: step.state }, events: [] };
    return advanceTo(run(collect(passed, step.effects)), untilMs);
  }
  const ticked = dispatch({ ...moved, nextTickMs: moved.nextTickMs + TICK_MS }, { kind: 'tick' });
  return advanceTo(ticked, untilMs);
}

export function advance(driver: Driver, forMs: number): Driver {
  return advanceTo(driver, driver.nowMs + forMs);
}

export function setFaults(driver: Driver, faults: Partial<WorkerFaults>): Driver {
  const all = { ...NO_WORKER_FAULTS, ...faults };
  const step = stepWorker(driver.worker, { kind: 'faults', faults: all }, driver.nowMs);
  return run(collect({ driver: { ...driver, worker: step.state }, events: [] }, step.effects));
}

/** Creates a driver whose agent holds the lease of its worker. */
export function attached(runMs = 60_000): Driver {
  const first = dispatch(createDriver(runMs), { kind: 'linkOpened', linkId: 'l1' });
  return dispatch(first, { kind: 'linkOpened', linkId: 'l2' });
}

export function offer(driver: Driver, jobId: string, epoch = 1): Driver {
  const offerId = `${jobId}@${epoch}`;
  return receive(driver, { kind: 'offer', offerId, epoch, task: spec(jobId) });
}

export function claim(driver: Driver, jobId: string, epoch = 1): Driver {
  return receive(driver, { kind: 'claimed', offerId: `${jobId}@${epoch}` });
}

/** Lists the kinds of messages and reports about offers and tasks, in the order sent. */
export function sentKinds(driver: Driver): readonly string[] {
  return driver.sent.flatMap(({ message }) => {
    if (message.kind === 'taskReport') return [message.report.kind];
    if (message.kind === 'declined') return [message.reason];
    return message.kind === 'accepted' ? ['accepted'] : [];
  });
}

/** Returns the phase of a task at the agent, if the agent has a record of it. */
export function phaseOf(driver: Driver, jobId: string): string | undefined {
  return driver.agent.records.get(`${jobId}/0`)?.phase;
}
