import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { EntryEffect, EntryEvent, EntryState } from '@bronzeyoke/entry';
import { createEntry, stepEntry } from '@bronzeyoke/entry';
import type { AccessFault, TableState } from '@bronzeyoke/standins';
import { EMPTY_TABLE, accessRows } from '@bronzeyoke/standins';
import type { AdminCommand, AdminReply, Resources, Result, TaskSpec } from '@bronzeyoke/types';
import { NO_RESOURCES, addResources, subtractResources, taskKey } from '@bronzeyoke/types';
import type { AgentMessage, DeclineReason, EntryMessage, TaskReport } from '@bronzeyoke/wire';
import type { FakeAgent, FakeTask, Run } from './fakes';

/** Options of a simulation. */
export interface SimulationOptions {
  readonly seed: number;
  readonly entries: number;
  readonly workers: number;
  readonly runMs: (task: TaskSpec) => number;
  /** Probabilities of a fault of an access to the table, up to a time. */
  readonly faults?: {
    readonly untilMs: number;
    readonly lost: number;
    readonly down: number;
  };
  /** Reason for which every agent declines every offer. */
  readonly declineReason?: DeclineReason;
  /** Whether a worker fails a task. */
  readonly failsTask?: (worker: string, task: TaskSpec) => boolean;
}

const TOTAL_RESOURCES: Resources = { processorsMilli: 8_000, memoryMb: 32_000, accelerators: 0 };
const DOMAINS = ['hobart', 'burnie'] as const;
const BEAT_INTERVAL_MS = 1_000;
/** Longest time that a worker runs a task after the last renewal of its lease. */
const LEASE_MS = 28_000;

function freeOf(agent: FakeAgent): Resources {
  const used = [...agent.tasks.values()].reduce(
    (sum, task) => (task.phase === 'ended' ? sum : addResources(sum, task.spec.reserved)),
    NO_RESOURCES,
  );
  return subtractResources(agent.total, used);
}

/** Simulates entries with their real cores, fake agents and an in-memory table in virtual time. */
export class EntrySimulation {
  nowMs = 0;

  table: TableState = EMPTY_TABLE;

  readonly runs: Run[] = [];

  readonly replies = new Map<string, Result<AdminReply>>();

  readonly counts = { transactions: 0, rowsWritten: 0, reads: 0, offers: 0 };

  readonly agents: readonly FakeAgent[];

  private readonly entries: (EntryState | undefined)[];

  private readonly pausedUntilMs = new Map<number, number>();

  private readonly generator;

  private queue: { readonly atMs: number; readonly order: number; readonly run: () => void }[] = [];

  private order = 0;

  constructor(private readonly options: SimulationOptions) {
    this.generator = xoroshiro128plus(options.seed);
    this.entries = Array.from({ length: options.entries }, (_, index) =>
      createEntry(`e${index}`, DOMAINS[index % 2] ?? 'hobart'),
    );
    this.agents = Array.from({ length: options.workers }, (_, index) => ({
      agentId: `a${index}`,
      worker: `w${index}`,
      domain: DOMAINS[index % 2] ?? 'hobart',
      incarnation: 0,
      isDead: false,
      total: TOTAL_RESOURCES,
      tasks: new Map(),
    }));
    this.entries.forEach((_, entry) => this.startEntry(entry));
    this.agents.forEach((agent) => this.sendBeat(agent));
  }

  /** Runs the scheduled events up to a time. */
  runUntil(untilMs: number): void {
    for (;;) {
      const [next] = this.queue;
      if (next === undefined || next.atMs > untilMs) break;
      this.queue.shift();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = untilMs;
  }

  /** Gives a command to an entry; the reply appears in `replies`. */
  administer(entry: number, callId: string, command: AdminCommand): void {
    this.step(entry, { kind: 'admin', callId, command });
  }

  /** Ends an entry without notice, and starts another in its place. */
  replaceEntry(entry: number, entryId: string): void {
    this.entries[entry] = createEntry(entryId, 'hobart');
    this.startEntry(entry);
  }

  /** Ends an entry without notice. */
  killEntry(entry: number): void {
    this.entries[entry] = undefined;
  }

  /**
   * Ends an agent without notice. Its worker runs the tasks until their lease ends. Results that
   * no entry has recorded are lost.
   */
  killAgent(index: number): void {
    const agent = this.agents[index];
    if (agent === undefined) return;
    agent.isDead = true;
    agent.tasks.forEach((task, key) => {
      const toMs = this.nowMs + (task.phase === 'running' ? LEASE_MS : 0);
      if (task.phase !== 'reserved') this.endRun(agent, key, task, 'running', toMs);
    });
    agent.tasks.clear();
    this.entries.forEach((_, entry) =>
      this.step(entry, { kind: 'linkClosed', linkId: agent.agentId }),
    );
  }

  /** Pauses an entry. It handles its events when the pause ends. */
  pauseEntry(entry: number, forMs: number): void {
    this.pausedUntilMs.set(entry, this.nowMs + forMs);
  }

  /** Returns the state of an entry, for checks. */
  entry(index: number): EntryState | undefined {
    return this.entries[index];
  }

  private random(): number {
    return uniformFloat64(this.generator);
  }

  private schedule(delayMs: number, run: () => void): void {
    const item = { atMs: this.nowMs + delayMs, order: this.order, run };
    this.order += 1;
    const index = this.queue.findLastIndex((other) => other.atMs <= item.atMs);
    this.queue.splice(index + 1, 0, item);
  }

  private startEntry(entry: number): void {
    this.step(entry, { kind: 'started', wallOffsetMs: 0 });
    this.agents.forEach((agent) => {
      if (!agent.isDead) this.schedule(1, () => this.connect(agent, entry));
    });
  }

  private connect(agent: FakeAgent, entry: number): void {
    const { agentId, worker, domain, incarnation, total } = agent;
    const profile = {
      ...{ agentId, worker, domain, region: 'tasmania', rack: `r${worker.length}` },
      ...{ service: 'quoter', slots: 8, connections: 64, total },
    };
    const message = { kind: 'hello', version: 1, profile, incarnation } as const;
    this.step(entry, { kind: 'received', linkId: agentId, message });
  }

  private step(entry: number, event: EntryEvent): void {
    const state = this.entries[entry];
    if (state === undefined) return;
    const pausedMs = (this.pausedUntilMs.get(entry) ?? 0) - this.nowMs;
    if (pausedMs > 0) {
      this.schedule(pausedMs, () => this.step(entry, event));
      return;
    }
    const step = stepEntry(state, event, { nowMs: this.nowMs, random: this.random() });
    this.entries[entry] = step.state;
    step.effects.forEach((effect) => this.perform(entry, state.entryId, effect));
  }

  private perform(entry: number, entryId: string, effect: EntryEffect): void {
    const deliver = (event: EntryEvent) => () => {
      if (this.entries[entry]?.entryId === entryId) this.step(entry, event);
    };
    if (effect.kind === 'wake') {
      this.schedule(effect.afterMs, deliver({ kind: 'timer', timer: effect.timer }));
    } else if (effect.kind === 'send') {
      const agent = this.agents.find((candidate) => candidate.agentId === effect.linkId);
      if (agent !== undefined) this.schedule(2, () => this.onMessage(agent, entry, effect.message));
    } else if (effect.kind === 'adminReply') {
      this.replies.set(effect.callId, effect.result);
    } else if (effect.kind === 'commit' || effect.kind === 'read' || effect.kind === 'scan') {
      this.schedule(2, () => {
        const access = accessRows(this.table, effect, this.drawFault());
        this.table = access.state;
        if (effect.kind === 'commit') {
          this.counts.transactions += 1;
          const isDone =
            access.event.kind === 'commitDone' && access.event.result.kind === 'committed';
          this.counts.rowsWritten += isDone ? effect.transaction.writes.length : 0;
        } else this.counts.reads += 1;
        this.schedule(2, deliver(access.event));
      });
    }
  }

  private drawFault(): AccessFault {
    const { faults } = this.options;
    if (faults === undefined || this.nowMs > faults.untilMs) return 'none';
    const draw = this.random();
    if (draw < faults.lost) return 'lost';
    return draw < faults.lost + faults.down ? 'down' : 'none';
  }

  private sendToEntry(agent: FakeAgent, entry: number, message: AgentMessage): void {
    this.schedule(2, () => {
      if (!agent.isDead) {
        this.step(entry, { kind: 'received', linkId: agent.agentId, message });
      }
    });
  }

  private sendToAllEntries(agent: FakeAgent, message: AgentMessage): void {
    this.entries.forEach((_, entry) => this.sendToEntry(agent, entry, message));
  }

  private sendBeat(agent: FakeAgent): void {
    if (agent.isDead) return;
    const { worker, agentId, incarnation } = agent;
    const token = `${agentId}-${Math.floor(this.nowMs / 10_000)}`;
    const entry = Math.floor(this.random() * this.entries.length);
    this.sendToEntry(
      agent,
      entry,
      incarnation === 0
        ? { kind: 'registerWorker', worker, agentId, token: `${agentId}-first` }
        : { kind: 'renewWorker', worker, incarnation, token },
    );
    const free = freeOf(agent);
    this.sendToAllEntries(agent, { kind: 'beat', free, slotsInUse: 0, slowDowns: [] });
    agent.tasks.forEach((task) => this.report(agent, task));
    this.schedule(BEAT_INTERVAL_MS, () => this.sendBeat(agent));
  }

  private report(agent: FakeAgent, task: FakeTask): void {
    if (task.report === undefined) return;
    const { epoch, report, spec } = task;
    this.sendToAllEntries(agent, { kind: 'taskReport', id: spec.id, epoch, report });
  }

  private endRun(
    agent: FakeAgent,
    key: string,
    task: FakeTask,
    end: Run['end'],
    toMs: number,
  ): void {
    const index = this.runs.findIndex(
      (run) => run.key === key && run.epoch === task.epoch && run.worker === agent.worker,
    );
    const run = this.runs[index];
    if (run !== undefined) this.runs[index] = { ...run, toMs, end };
  }

  private endTask(agent: FakeAgent, key: string, epoch: number, report: TaskReport): void {
    const task = agent.tasks.get(key);
    if (task?.epoch !== epoch || task.phase === 'ended' || agent.isDead) return;
    if (task.phase === 'running') this.endRun(agent, key, task, report.kind, this.nowMs);
    const ended: FakeTask = { ...task, phase: 'ended', report };
    agent.tasks.set(key, ended);
    this.report(agent, ended);
  }

  private startTask(agent: FakeAgent, key: string, task: FakeTask): void {
    const { epoch, spec } = task;
    const fromMs = this.nowMs;
    const { worker } = agent;
    this.runs.push({ key, epoch, worker, fromMs, toMs: Infinity, end: 'running' });
    agent.tasks.set(key, { ...task, phase: 'running' });
    this.sendToAllEntries(agent, {
      kind: 'taskReport',
      id: spec.id,
      epoch,
      report: { kind: 'started' },
    });
    const peak = spec.reserved;
    const runMs = this.options.runMs(spec);
    const end: TaskReport =
      this.options.failsTask?.(worker, spec) === true
        ? { kind: 'failed', peak }
        : { kind: 'finished', resultRef: `result/${key}`, runMs, peak };
    this.schedule(runMs, () => this.endTask(agent, key, epoch, end));
  }

  /** Evicts the task with the most spare time, which takes 1 s, and reserves its resources. */
  private preempt(agent: FakeAgent, key: string): boolean {
    if (agent.preemptedFor === key) return true;
    const [victim] = [...agent.tasks]
      .filter(([, task]) => task.phase === 'running' && task.spareMs > -Infinity)
      .sort(([, left], [, right]) => right.spareMs - left.spareMs);
    if (victim === undefined) return false;
    Object.assign(agent, { preemptedFor: key });
    const [name, task] = victim;
    this.schedule(1_000, () => this.endTask(agent, name, task.epoch, { kind: 'evicted' }));
    return true;
  }

  private onMessage(agent: FakeAgent, entry: number, message: EntryMessage): void {
    if (agent.isDead) return;
    const { tasks } = agent;
    switch (message.kind) {
      case 'workerRegistered':
        Object.assign(agent, { incarnation: message.incarnation });
        return;
      case 'offer': {
        const { offerId, task: spec, epoch } = message;
        this.counts.offers += 1;
        const { declineReason } = this.options;
        if (declineReason !== undefined) {
          const free = freeOf(agent);
          this.sendToEntry(agent, entry, {
            kind: 'declined',
            offerId,
            reason: declineReason,
            free,
          });
          return;
        }
        const key = taskKey(spec.id);
        const remaining = subtractResources(freeOf(agent), spec.reserved);
        const isReserved = agent.preemptedFor !== undefined && agent.preemptedFor !== key;
        if (
          remaining.processorsMilli < 0 ||
          remaining.memoryMb < 0 ||
          tasks.has(key) ||
          isReserved
        ) {
          const isPreempting = message.preempts === true && !isReserved && this.preempt(agent, key);
          const reason = isPreempting ? 'makingRoom' : 'noRoom';
          this.sendToEntry(agent, entry, {
            kind: 'declined',
            offerId,
            reason,
            free: freeOf(agent),
          });
          return;
        }
        if (agent.preemptedFor === key) Object.assign(agent, { preemptedFor: undefined });
        const acceptedAtMs = this.nowMs;
        const { spareMs = -Infinity } = message;
        tasks.set(key, { spec, epoch, offerId, acceptedAtMs, spareMs, phase: 'reserved' });
        this.sendToEntry(agent, entry, { kind: 'accepted', offerId, free: freeOf(agent) });
        this.schedule(2_000, () => {
          const task = tasks.get(key);
          if (task?.phase === 'reserved' && task.offerId === offerId) tasks.delete(key);
        });
        return;
      }
      case 'claimed':
      case 'claimFailed':
        tasks.forEach((task, key) => {
          if (task.offerId !== message.offerId || task.phase !== 'reserved') return;
          if (message.kind === 'claimed') this.startTask(agent, key, task);
          else tasks.delete(key);
        });
        return;
      case 'stopTask': {
        const kind = message.mode === 'evict' ? 'evicted' : 'stopped';
        this.endTask(agent, taskKey(message.id), message.epoch, { kind });
        return;
      }
      case 'askTask': {
        const { id, epoch } = message;
        const task = tasks.get(taskKey(id));
        const fallback: TaskReport =
          task?.phase === 'running' ? { kind: 'started' } : { kind: 'notStarted' };
        const report = task?.epoch === epoch ? (task.report ?? fallback) : fallback;
        if (task?.phase === 'reserved') tasks.delete(taskKey(id));
        this.sendToEntry(agent, entry, { kind: 'taskReport', id, epoch, report });
        return;
      }
      case 'recorded': {
        const task = tasks.get(taskKey(message.id));
        if (task?.phase === 'ended' && task.epoch <= message.epoch) {
          tasks.delete(taskKey(message.id));
        }
        break;
      }
      default:
        break;
    }
  }
}
