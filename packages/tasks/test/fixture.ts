import type { WorkerFaults, WorkerOutput, WorkerModel } from '@bronzeyoke/standins';
import {
  NO_WORKER_FAULTS,
  createWorkerModel,
  nextWorkerAtMs,
  stepWorker,
} from '@bronzeyoke/standins';
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
export interface Fixture {
  readonly nowMs: number;
  readonly agent: TasksState;
  readonly worker: WorkerModel;
  readonly nextTickMs: number;
  readonly sent: readonly {
    readonly atMs: number;
    readonly linkId: string;
    readonly message: AgentMessage;
  }[];
  readonly outputs: readonly WorkerOutput[];
  readonly exits: readonly TasksEffect[];
  /** Whether registrations and renewals are granted automatically. */
  readonly grants: boolean;
  readonly incarnation: number;
}

export function createFixture(runMs: number): Fixture {
  return {
    nowMs: 0,
    agent: createTasks(profile),
    worker: createWorkerModel(profile.total, () => ({ runMs, used, fails: false })),
    nextTickMs: TICK_MS,
    sent: [],
    outputs: [],
    exits: [],
    grants: true,
    incarnation: 0,
  };
}

interface Performed {
  readonly fixture: Fixture;
  readonly events: readonly TasksEvent[];
}

function collect({ fixture, events }: Performed, outputs: readonly WorkerOutput[]): Performed {
  const replies = outputs.flatMap((output): readonly TasksEvent[] =>
    output.kind === 'reply'
      ? [{ kind: 'workerDone', callId: output.callId, reply: output.reply }]
      : [],
  );
  return {
    fixture: { ...fixture, outputs: [...fixture.outputs, ...outputs] },
    events: [...events, ...replies],
  };
}

function grantReply(fixture: Fixture, message: AgentMessage): TaskMessage | undefined {
  const { incarnation } = fixture;
  if (!fixture.grants) return undefined;
  if (message.kind === 'registerWorker') {
    return { kind: 'workerRegistered', token: message.token, incarnation };
  }
  if (message.kind !== 'renewWorker') return undefined;
  return message.incarnation === incarnation
    ? { kind: 'workerRenewed', token: message.token }
    : { kind: 'workerFenced', incarnation };
}

function perform(performed: Performed, effect: TasksEffect): Performed {
  const { fixture, events } = performed;
  switch (effect.kind) {
    case 'send': {
      const { linkId, message } = effect;
      const isNew = fixture.grants && message.kind === 'registerWorker';
      const sent = [...fixture.sent, { atMs: fixture.nowMs, linkId, message }];
      const next = { ...fixture, sent, incarnation: fixture.incarnation + Number(isNew) };
      const reply = grantReply(next, message);
      return {
        fixture: next,
        events:
          reply === undefined ? events : [...events, { kind: 'received', linkId, message: reply }],
      };
    }
    case 'worker': {
      const step = stepWorker(fixture.worker, { ...effect, kind: 'command' }, fixture.nowMs);
      return collect({ fixture: { ...fixture, worker: step.state }, events }, step.effects);
    }
    case 'exit':
      return { fixture: { ...fixture, exits: [...fixture.exits, effect] }, events };
  }
}

function run({ fixture, events }: Performed): Fixture {
  const [event, ...rest] = events;
  if (event === undefined) return fixture;
  const step = stepTasks(fixture.agent, event, { nowMs: fixture.nowMs, random: 0.5 });
  const stepped = { fixture: { ...fixture, agent: step.state }, events: rest };
  return run(step.effects.reduce(perform, stepped));
}

export function dispatch(fixture: Fixture, event: TasksEvent): Fixture {
  return run({ fixture, events: [event] });
}

export function receive(fixture: Fixture, message: TaskMessage, linkId = 'l1'): Fixture {
  return dispatch(fixture, { kind: 'received', linkId, message });
}

export function advanceTo(fixture: Fixture, untilMs: number): Fixture {
  const workerAtMs = nextWorkerAtMs(fixture.worker);
  const nextMs = Math.min(workerAtMs, fixture.nextTickMs);
  if (nextMs > untilMs) return { ...fixture, nowMs: untilMs };
  const moved = { ...fixture, nowMs: Math.max(fixture.nowMs, nextMs) };
  if (workerAtMs <= fixture.nextTickMs) {
    const step = stepWorker(moved.worker, { kind: 'advance' }, moved.nowMs);
    const passed = { fixture: { ...moved, worker: step.state }, events: [] };
    return advanceTo(run(collect(passed, step.effects)), untilMs);
  }
  const ticked = dispatch({ ...moved, nextTickMs: moved.nextTickMs + TICK_MS }, { kind: 'tick' });
  return advanceTo(ticked, untilMs);
}

export function advance(fixture: Fixture, forMs: number): Fixture {
  return advanceTo(fixture, fixture.nowMs + forMs);
}

export function setFaults(fixture: Fixture, faults: Partial<WorkerFaults>): Fixture {
  const all = { ...NO_WORKER_FAULTS, ...faults };
  const step = stepWorker(fixture.worker, { kind: 'faults', faults: all }, fixture.nowMs);
  return run(collect({ fixture: { ...fixture, worker: step.state }, events: [] }, step.effects));
}

/** Creates a fixture whose agent holds the lease of its worker. */
export function createAttached(runMs = 60_000): Fixture {
  const first = dispatch(createFixture(runMs), { kind: 'linkOpened', linkId: 'l1' });
  return dispatch(first, { kind: 'linkOpened', linkId: 'l2' });
}

export function offer(fixture: Fixture, jobId: string, epoch = 1): Fixture {
  const offerId = `${jobId}@${epoch}`;
  return receive(fixture, { kind: 'offer', offerId, epoch, task: spec(jobId) });
}

export function claim(fixture: Fixture, jobId: string, epoch = 1): Fixture {
  return receive(fixture, { kind: 'claimed', offerId: `${jobId}@${epoch}` });
}

/** Lists the kinds of messages and reports about offers and tasks, in the order sent. */
export function sentKinds(fixture: Fixture): readonly string[] {
  return fixture.sent.flatMap(({ message }) => {
    if (message.kind === 'taskReport') return [message.report.kind];
    if (message.kind === 'declined') return [message.reason];
    return message.kind === 'accepted' ? ['accepted'] : [];
  });
}

/** Returns the phase of a task at the agent, if the agent has a record of it. */
export function phaseOf(fixture: Fixture, jobId: string): string | undefined {
  return fixture.agent.records.get(`${jobId}/0`)?.phase;
}
