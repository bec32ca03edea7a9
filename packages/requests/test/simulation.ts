import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { CommitResult, Row, StoreEffect, StoreEvent } from '@bronzeyoke/ports';
import type { RequestsEffect, RequestsEvent, RequestsState } from '@bronzeyoke/requests';
import { createRequests, stepRequests } from '@bronzeyoke/requests';
import type { CallerRequest, Outcome } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import type { EntryMessage } from '@bronzeyoke/wire';

type Sent = Extract<EntryMessage, { readonly kind: 'request' | 'collect' | 'cancelRequest' }>;
type Result = Extract<RequestsEvent, { readonly kind: 'attemptEnded' }>['result'];

/** An observation at a caller or an upstream, or a violated invariant. */
export type RequestsObservation =
  | { readonly kind: 'run'; readonly requestId: string; readonly key: string | undefined }
  | { readonly kind: 'reply'; readonly request: CallerRequest; readonly outcome: Outcome }
  | { readonly kind: 'sent'; readonly entry: number; readonly requestId: string }
  | { readonly kind: 'violation'; readonly problem: string };

/** A simulation of two entries, several agents and a store in virtual time, with seeded faults. */
export interface RequestsSimulation {
  readonly observations: RequestsObservation[];
  readonly entries: RequestsState[];
  readonly arrive: (entry: number, request: CallerRequest) => void;
  readonly dropLink: (entry: number, agent: number, awayMs: number) => void;
  readonly replaceAgent: (agent: number) => void;
  readonly leave: (agent: number) => void;
  readonly advance: (ms: number) => void;
}

interface KnownAttempt {
  readonly result?: Result;
  readonly waiters: ReadonlySet<number>;
}

const ENTRIES = 2;

/** Creates a simulation; `faultShare` is the share of store accesses and attempts that fail. */
export function createSimulation(
  seed: number,
  agentCount: number,
  faultShare: number,
): RequestsSimulation {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const below = (limit: number): number => Math.floor(random() * limit);
  const isFault = (): boolean => random() < faultShare;
  let nowMs = 1_000;
  let sequence = 0;
  let timers: {
    readonly atMs: number;
    readonly sequence: number;
    readonly callback: () => void;
  }[] = [];
  const schedule = (afterMs: number, callback: () => void): void => {
    sequence += 1;
    timers.push({ atMs: nowMs + afterMs, sequence, callback });
  };
  const observations: RequestsObservation[] = [];
  // Effects are queued here until the step that returned them has ended.
  let outbox: { readonly entry: number; readonly effect: RequestsEffect }[] = [];
  const entries = Array.from({ length: ENTRIES }, () => createRequests('hobart'));
  const rows = new Map<string, Row>();
  const callers = new Map<string, CallerRequest>();
  const agentIds = Array.from({ length: agentCount }, (_, index) => `a${index}`);
  const attemptsByAgent = new Map(agentIds.map((id) => [id, new Map<string, KnownAttempt>()]));
  const links = new Map<string, { readonly epoch: number; readonly isUp: boolean }>();
  const linkOf = (entry: number, agentId: string) =>
    links.get(`${entry}/${agentId}`) ?? { epoch: 0, isUp: false };

  function step(entry: number, event: RequestsEvent): void {
    const before = entries[entry] ?? createRequests('hobart');
    const next = stepRequests(before, event, { nowMs, random: random() });
    entries[entry] = next.state;
    next.effects.forEach((effect) => {
      if (effect.kind === 'send' && effect.message.kind === 'request') {
        const view = next.state.routing.upstreams.get(effect.agentId);
        const takesRequests = view?.health === 'healthy' || view?.health === 'probing';
        if (view === undefined || view.isLeaving || view.presence !== 'present' || !takesRequests) {
          observations.push({ kind: 'violation', problem: `sent to unusable ${effect.agentId}` });
        }
      }
      outbox.push({ entry, effect });
    });
    const openAttempts = next.state.records
      .valueSeq()
      .flatMap(({ attempts, planned }) =>
        planned === undefined ? attempts : [...attempts, planned],
      )
      .countBy((attempt) => attempt.agentId);
    if (!openAttempts.toMap().equals(next.state.routing.inFlight)) {
      observations.push({ kind: 'violation', problem: 'counts in flight differ from the records' });
    }
  }

  function commit(effect: Extract<StoreEffect, { readonly kind: 'commit' }>): CommitResult {
    const { conditions, writes } = effect.transaction;
    const found = conditions.flatMap(({ key }) => rows.get(key) ?? []);
    if (conditions.some(({ key, version }) => (rows.get(key)?.version ?? 0) !== version)) {
      return { kind: 'conflict', rows: found };
    }
    const written = writes.flatMap((write) => {
      if (write.kind === 'delete') return [];
      const version = (rows.get(write.key)?.version ?? 0) + 1;
      return [{ key: write.key, version, value: write.value }];
    });
    written.forEach((row) => rows.set(row.key, row));
    return { kind: 'committed', rows: written };
  }

  function access(entry: number, effect: StoreEffect): void {
    const { origin, callId } = effect;
    const complete = (event: StoreEvent): void => schedule(below(20), () => step(entry, event));
    const unavailable = { kind: 'unavailable' } as const;
    schedule(1 + below(30), () => {
      if (effect.kind !== 'commit') {
        const keys = effect.kind === 'read' ? effect.keys : [];
        const found = { kind: 'rows', rows: keys.flatMap((key) => rows.get(key) ?? []) } as const;
        complete({ kind: 'readDone', origin, callId, result: isFault() ? unavailable : found });
      } else if (!isFault()) {
        complete({ kind: 'commitDone', origin, callId, result: commit(effect) });
      } else if (random() < 0.2) {
        complete({ kind: 'commitDone', origin, callId, result: unavailable });
      } else {
        // The response is lost; the write takes effect at once, much later, or never.
        if (random() < 0.7) schedule(random() < 0.5 ? 0 : below(3_000), () => commit(effect));
        complete({ kind: 'commitDone', origin, callId, result: { kind: 'unknown' } });
      }
    });
  }

  function toEntry(entry: number, agentId: string, attempt: Sent, result: Result): void {
    const { epoch, isUp } = linkOf(entry, agentId);
    const { requestId, attemptId } = attempt;
    if (!isUp) return;
    schedule(1 + below(10), () => {
      if (linkOf(entry, agentId).epoch !== epoch) return;
      step(entry, { kind: 'attemptEnded', agentId, requestId, attemptId, result });
    });
  }

  function finish(agentId: string, attempt: Sent, result: Result): void {
    const known = attemptsByAgent.get(agentId)?.get(attempt.attemptId);
    if (known === undefined) return;
    attemptsByAgent.get(agentId)?.set(attempt.attemptId, { ...known, result });
    known.waiters.forEach((entry) => toEntry(entry, agentId, attempt, result));
  }

  function run(agentId: string, attempt: Extract<Sent, { readonly kind: 'request' }>): void {
    if (isFault() && random() < 0.5) {
      finish(agentId, attempt, { kind: 'notRun', reason: 'overloaded' });
      return;
    }
    const { requestId, idempotencyKey: key, body } = attempt;
    observations.push({ kind: 'run', requestId, key });
    const isLost = isFault();
    const answer = { status: 200, headers: {}, body };
    schedule(isFault() ? 200 + below(3_000) : 5 + below(150), () =>
      finish(
        agentId,
        attempt,
        isLost
          ? { kind: 'outcomeUnknown', reason: 'upstreamFailed' }
          : { kind: 'answered', answer },
      ),
    );
  }

  function arriveAtAgent(entry: number, agentId: string, message: Sent): void {
    const knownAttempts = attemptsByAgent.get(agentId);
    if (knownAttempts === undefined || message.kind === 'cancelRequest') return;
    const known = knownAttempts.get(message.attemptId);
    if (known !== undefined) {
      knownAttempts.set(message.attemptId, {
        ...known,
        waiters: new Set([...known.waiters, entry]),
      });
      if (known.result !== undefined) toEntry(entry, agentId, message, known.result);
    } else if (message.kind === 'collect') {
      const result = { kind: 'neverArrived' } as const;
      knownAttempts.set(message.attemptId, { waiters: new Set(), result });
      toEntry(entry, agentId, message, result);
    } else {
      knownAttempts.set(message.attemptId, { waiters: new Set([entry]) });
      run(agentId, message);
    }
  }

  function toAgent(entry: number, agentId: string, message: Sent): void {
    const { requestId, attemptId } = message;
    if (message.kind === 'request') observations.push({ kind: 'sent', entry, requestId });
    const { epoch, isUp } = linkOf(entry, agentId);
    // Messages sent before a link broke may be lost, or arrive after messages over the next link.
    const delayMs = isFault() ? below(600) : 1 + below(10);
    const isKept = random() < 0.5;
    schedule(delayMs, () => {
      if (!isUp || (linkOf(entry, agentId).epoch !== epoch && !isKept)) return;
      arriveAtAgent(entry, agentId, { ...message, requestId, attemptId });
    });
  }

  function connect(entry: number, agentId: string): void {
    if (!attemptsByAgent.has(agentId) || linkOf(entry, agentId).isUp) return;
    links.set(`${entry}/${agentId}`, { epoch: linkOf(entry, agentId).epoch + 1, isUp: true });
    const upstream = { agentId, service: 'quoter', domain: 'hobart', slots: 2, connections: 4 };
    step(entry, { kind: 'upstreamUp', upstream });
  }

  function disconnect(entry: number, agentId: string): void {
    const { epoch, isUp } = linkOf(entry, agentId);
    if (!isUp) return;
    links.set(`${entry}/${agentId}`, { epoch: epoch + 1, isUp: false });
    step(entry, { kind: 'upstreamDown', agentId });
  }

  const perform = (entry: number, effect: RequestsEffect): void => {
    switch (effect.kind) {
      case 'send':
        toAgent(entry, effect.agentId, effect.message as Sent);
        return;
      case 'reply': {
        const request = callers.get(effect.requestId);
        if (request !== undefined)
          observations.push({ kind: 'reply', request, outcome: effect.outcome });
        callers.delete(effect.requestId);
        return;
      }
      case 'wake':
        schedule(effect.afterMs, () => step(entry, { kind: 'timer', timer: effect.timer }));
        return;
      case 'commit':
      case 'read':
      case 'scan':
        access(entry, effect);
        return;
      default:
        assertNever(effect);
    }
  };

  const drain = (): void => {
    while (outbox.length > 0) {
      const [first, ...rest] = outbox;
      outbox = rest;
      if (first !== undefined) perform(first.entry, first.effect);
    }
  };

  const join = (agentId: string): void =>
    entries.forEach((_, entry) => schedule(below(50), () => connect(entry, agentId)));

  const advance = (ms: number): void => {
    const untilMs = nowMs + ms;
    for (;;) {
      timers.sort((one, other) => one.atMs - other.atMs || one.sequence - other.sequence);
      const [next] = timers;
      if (next === undefined || next.atMs > untilMs) break;
      timers = timers.slice(1);
      nowMs = Math.max(nowMs, next.atMs);
      next.callback();
      drain();
    }
    nowMs = untilMs;
  };

  agentIds.forEach(join);
  return {
    observations,
    entries,
    arrive: (entry, request) => {
      callers.set(request.requestId, request);
      step(entry, { kind: 'arrived', request });
      drain();
    },
    dropLink: (entry, agent, awayMs) => {
      const agentId = agentIds[agent % agentCount] ?? '';
      disconnect(entry, agentId);
      drain();
      schedule(awayMs, () => connect(entry, agentId));
    },
    replaceAgent: (agent) => {
      const replacedId = agentIds[agent % agentCount] ?? '';
      attemptsByAgent.delete(replacedId);
      entries.forEach((_, entry) => disconnect(entry, replacedId));
      agentIds[agent % agentCount] = `${replacedId}+`;
      attemptsByAgent.set(`${replacedId}+`, new Map());
      join(`${replacedId}+`);
      drain();
    },
    leave: (agent) => {
      const agentId = agentIds[agent % agentCount] ?? '';
      entries.forEach((_, entry) => step(entry, { kind: 'upstreamLeaving', agentId }));
    },
    advance,
  };
}
