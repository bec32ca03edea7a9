/** Stand-in of a worker: runs, leases, fencing tokens and heartbeats, as the users' PROTOCOL.md says. */

/* eslint-disable class-methods-use-this -- fields that hold functions */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { readJson, send, sendJson, startHttp } from './http';

/** How a run ends on a worker. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** What a worker sees of a run. */
export interface WorkerEvent {
  readonly kind: 'started' | 'ended' | 'refused' | 'noted' | 'lapsed';
  readonly worker: string;
  readonly zone: string;
  readonly task: string;
  readonly attempt: number;
  readonly detail: string;
}

/** How a task behaves. */
export interface TaskBehaviour {
  readonly workMs: number;
  readonly fails: boolean;
}

/** Options of a worker. */
export interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly address: string;
  /** Address of the agent on its machine. */
  readonly agent: string;
  readonly capacity: { readonly cpu: number; readonly memMb: number; readonly gpu: number };
  readonly heartbeatMs: number;
  readonly holdMaxMs: number;
  readonly stopMs: number;
  readonly behaviourOf: (task: string) => TaskBehaviour;
  readonly onEvent: (event: WorkerEvent) => void;
}

interface Run {
  readonly task: string;
  readonly attempt: number;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  readonly fails: boolean;
  stopsAtMs: number;
}

const STEP_MS = 10;

/** One life of a worker. */
export class Worker {
  readonly options: WorkerOptions;

  private readonly born = Date.now();

  private readonly startedAt = performance.now();

  private token = 0;

  private leaseEndMs = 0;

  private readonly runs = new Map<string, Run>();

  private readonly closed = new Map<string, number>();

  private finished: (readonly [number, string, number, RunEnd, string])[] = [];

  private lastEnd = 0;

  private seq = 0;

  private waiters: (() => void)[] = [];

  private readonly timers: NodeJS.Timeout[] = [];

  private close: () => void = () => undefined;

  constructor(options: WorkerOptions) {
    this.options = options;
  }

  /** Starts to listen and to send heartbeats. */
  async start(): Promise<void> {
    const [host = '', port] = this.options.address.split(':');
    this.close = await startHttp(host, Number(port), (request, response) =>
      this.serve(request, response),
    );
    this.timers.push(setInterval(() => this.step(), STEP_MS));
    this.timers.push(setInterval(() => this.beat(), this.options.heartbeatMs));
    this.beat();
  }

  /** Ends the worker without a word. */
  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.close();
  }

  /** Ends the worker with all that runs on it. */
  crash(): void {
    [...this.runs.values()].forEach(({ task, attempt }) =>
      this.emit('ended', task, attempt, 'crashed'),
    );
    this.runs.clear();
    this.stop();
  }

  /** Returns the tasks that are at work. */
  running(): readonly string[] {
    return [...this.runs.keys()];
  }

  private clock(): number {
    return Math.round(performance.now() - this.startedAt);
  }

  private emit(kind: WorkerEvent['kind'], task: string, attempt: number, detail: string): void {
    const { id: worker, zone, onEvent } = this.options;
    onEvent({ kind, worker, zone, task, attempt, detail });
  }

  private beat(): void {
    this.seq += 1;
    const { id, service, address, zone, capacity, agent } = this.options;
    send({
      address: agent,
      method: 'PUT',
      path: `/bronzeyoke/instances/${id}`,
      timeoutMs: 1_000,
      body: {
        service,
        addr: address,
        zone,
        version: 'v1',
        slots: 8,
        state: 'ready',
        coldLeftMs: 0,
        capacity,
        labels: ['a', `r-${zone}`],
        clockMs: this.clock(),
        seq: this.seq,
        born: this.born,
      },
    }).catch(() => undefined);
  }

  private end(run: Run, how: RunEnd): void {
    this.runs.delete(run.task);
    this.closed.set(run.task, Math.max(run.attempt, this.closed.get(run.task) ?? 0));
    this.lastEnd += 1;
    this.finished.push([this.lastEnd, run.task, run.attempt, how, '']);
    this.emit('ended', run.task, run.attempt, how);
    const { waiters } = this;
    this.waiters = [];
    waiters.forEach((wake) => wake());
  }

  private step(): void {
    const clock = this.clock();
    [...this.runs.values()].forEach((run) => {
      if (clock >= this.leaseEndMs) this.end(run, 'lapsed');
      else if (clock >= run.stopsAtMs) this.end(run, 'stopped');
      else if (clock >= run.endsAtMs) this.end(run, run.fails ? 'failed' : 'done');
    });
  }

  private extend(expiryMs: unknown): void {
    if (typeof expiryMs !== 'number') return;
    const cut = Math.min(expiryMs, this.clock() + this.options.holdMaxMs);
    this.leaseEndMs = Math.max(this.leaseEndMs, cut);
  }

  private lists(): unknown {
    const clock = this.clock();
    return {
      clockMs: clock,
      born: this.born,
      running: [...this.runs.values()].map(({ task, attempt, startedAtMs, endsAtMs }) => [
        task,
        attempt,
        '',
        Math.min(100, Math.floor((100 * (clock - startedAtMs)) / (endsAtMs - startedAtMs))),
        0,
      ]),
      finished: this.finished.slice(0, 500),
    };
  }

  private startRun(body: Record<string, unknown>): readonly [number, string] {
    const task = String(body.task);
    const attempt = Number(body.attempt);
    const clock = this.clock();
    this.extend(body.expiryMs);
    if (this.runs.get(task)?.attempt === attempt) return [200, ''];
    if (attempt <= (this.closed.get(task) ?? 0) || this.runs.has(task)) return [409, 'old'];
    if (clock >= this.leaseEndMs) return [409, 'late'];
    const { workMs, fails } = this.options.behaviourOf(task);
    const endsAtMs = clock + workMs;
    const run = { task, attempt, startedAtMs: clock, endsAtMs, fails, stopsAtMs: Infinity };
    this.runs.set(task, run);
    this.emit('started', task, attempt, String(body.spec));
    return [200, ''];
  }

  private stopRun(body: Record<string, unknown>): void {
    const task = String(body.task);
    const attempt = Number(body.attempt);
    const run = this.runs.get(task);
    this.closed.set(task, Math.max(attempt, this.closed.get(task) ?? 0));
    if (run !== undefined && run.attempt <= attempt) {
      run.stopsAtMs = Math.min(run.stopsAtMs, this.clock() + this.options.stopMs);
    }
  }

  private async hold(body: Record<string, unknown>): Promise<void> {
    const ack = Number(body.ackSeq ?? 0);
    this.finished
      .filter(([sequence]) => sequence <= ack)
      .forEach(([, task, attempt, how]) => this.emit('noted', task, attempt, how));
    this.finished = this.finished.filter(([sequence]) => sequence > ack);
    this.extend(body.expiryMs);
    const waitMs = Math.min(2_000, Number(body.waitMs ?? 0));
    if (waitMs > 0) {
      await Promise.race([
        sleep(waitMs),
        new Promise<void>((resolve) => {
          this.waiters.push(resolve);
        }),
      ]);
    }
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request);
    const base = { clockMs: this.clock(), born: this.born };
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      sendJson(response, 421, base);
      return;
    }
    const token = Number(body.fencingToken ?? 0);
    if (token < this.token) {
      sendJson(response, 409, { ...base, reason: 'fence' });
      return;
    }
    this.token = token;
    switch (request.url) {
      case '/bronzeyoke/run-start': {
        const [status, reason] = this.startRun(body);
        if (status !== 200) this.emit('refused', String(body.task), Number(body.attempt), reason);
        sendJson(response, status, status === 200 ? base : { ...base, reason });
        return;
      }
      case '/bronzeyoke/run-stop':
        this.stopRun(body);
        sendJson(response, 200, base);
        return;
      case '/bronzeyoke/pace':
        sendJson(response, 200, base);
        return;
      case '/bronzeyoke/hold':
        await this.hold(body);
        sendJson(response, 200, this.lists());
        return;
      default:
        sendJson(response, 404, base);
    }
  }
}
