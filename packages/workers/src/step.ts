import { Map } from 'immutable';
import type { CommitResult } from '@bronzeyoke/ports';
import type { Instant, Step } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import { sendAccess, cacheRows } from './call';
import { register, registrationCommitted, registrationRead, retryRegistration } from './register';
import { leaseKey, workerKey, workerRowOf } from './rows';
import type {
  Renewal,
  WorkerRow,
  WorkersEffect,
  WorkersEvent,
  WorkersPurpose,
  WorkersState,
} from './types';

// A longer wait would eat into the lease of 30 s for little: 63 renewals a second at 630 workers
// fill two transactions already.
const FLUSH_MS = 100;
const RETRY_MS = 500;
const KEYS_PER_READ = 100;
/** A renewal writes one row and names another. */
const RENEWALS_PER_COMMIT = 45;
/** An agent that hears nothing asks again. */
const RENEWAL_LIMIT_MS = 10_000;

type WorkersStep = Step<WorkersState, WorkersEffect>;

/** The workers before any agent announced itself. */
export function createWorkers(): WorkersState {
  return {
    callCount: 0,
    rows: Map(),
    renewals: Map(),
    registrations: Map(),
    calls: Map(),
    isFlushDue: false,
  };
}

type Verdict = 'renew' | 'lookUp' | 'fenced' | 'drop';

/** What to do with a renewal, as far as the row of its worker is known. */
function judge(renewal: Renewal, row: WorkerRow | undefined, nowMs: number): Verdict {
  if (nowMs - renewal.requestedAtMs > RENEWAL_LIMIT_MS) return 'drop';
  if (row === undefined) return 'lookUp';
  if (row.incarnation === renewal.incarnation && !row.isFenced) return 'renew';
  // A row read before the renewal was asked for may be older than the registration.
  return row.seenAtMs < renewal.requestedAtMs ? 'lookUp' : 'fenced';
}

function join(state: WorkersState, steps: readonly ((from: WorkersState) => WorkersStep)[]) {
  return steps.reduce<WorkersStep>(
    (done, step) => {
      const next = step(done.state);
      return { state: next.state, effects: [...done.effects, ...next.effects] };
    },
    { state, effects: [] },
  );
}

function chunks<Item>(items: readonly Item[], size: number): readonly (readonly Item[])[] {
  return Array.from({ length: Math.ceil(items.length / size) }, (_, index) =>
    items.slice(index * size, (index + 1) * size),
  );
}

function lookUp(state: WorkersState, workers: readonly string[]): WorkersStep {
  const underWay = new Set(
    [...state.calls.values()].flatMap((purpose) =>
      purpose.kind === 'lookUp' ? purpose.workers : [],
    ),
  );
  const missing = workers.filter((worker) => !underWay.has(worker));
  return join(
    state,
    chunks(missing, KEYS_PER_READ).map(
      (names) => (from) =>
        sendAccess(
          from,
          { kind: 'lookUp', workers: names },
          { kind: 'read', keys: names.map(workerKey) },
        ),
    ),
  );
}

function commitRenewals(state: WorkersState, renewals: readonly Renewal[]): WorkersStep {
  const transaction = {
    conditions: renewals.map(({ worker }) => ({
      key: workerKey(worker),
      version: state.rows.get(worker)?.version ?? 0,
    })),
    writes: renewals.map(({ worker, incarnation, token }) => ({
      kind: 'put' as const,
      key: leaseKey(worker),
      value: { incarnation, renewalToken: token },
    })),
  };
  return sendAccess(state, { kind: 'renew', renewals }, { kind: 'commit', transaction });
}

function flush(state: WorkersState, instant: Instant): WorkersStep {
  const judged = [...state.renewals.values()].map((renewal) => ({
    renewal,
    verdict: judge(renewal, state.rows.get(renewal.worker), instant.nowMs),
  }));
  const having = (verdict: Verdict) =>
    judged.flatMap((item) => (item.verdict === verdict ? [item.renewal] : []));
  const waiting = having('lookUp');
  const refusals = having('fenced').map(({ agentId, worker }): WorkersEffect => ({
    kind: 'send',
    agentId,
    message: { kind: 'workerFenced', incarnation: state.rows.get(worker)?.incarnation ?? 0 },
  }));
  const left = {
    ...state,
    renewals: Map(waiting.map((renewal) => [renewal.worker, renewal])),
    isFlushDue: false,
  };
  const step = join(left, [
    ...chunks(having('renew'), RENEWALS_PER_COMMIT).map(
      (group) => (from: WorkersState) => commitRenewals(from, group),
    ),
    (from) =>
      lookUp(
        from,
        waiting.map((renewal) => renewal.worker),
      ),
  ]);
  return { state: step.state, effects: [...refusals, ...step.effects] };
}

function flushLater(state: WorkersState, afterMs: number): WorkersStep {
  return state.isFlushDue
    ? unchanged(state)
    : {
        state: { ...state, isFlushDue: true },
        effects: [{ kind: 'wake', timer: { kind: 'flush' }, afterMs }],
      };
}

/** Puts renewals back, except where the agent has asked again meanwhile. */
function putBack(state: WorkersState, renewals: readonly Renewal[], afterMs: number): WorkersStep {
  const back = Map(renewals.map((renewal) => [renewal.worker, renewal]));
  return flushLater({ ...state, renewals: back.merge(state.renewals) }, afterMs);
}

function renewed(
  state: WorkersState,
  renewals: readonly Renewal[],
  result: CommitResult,
  instant: Instant,
): WorkersStep {
  switch (result.kind) {
    case 'committed':
      return {
        state,
        effects: renewals.map(({ agentId, token }) => ({
          kind: 'send',
          agentId,
          message: { kind: 'workerRenewed', token },
        })),
      };
    case 'conflict':
      return putBack(cacheRows(state, result.rows, instant.nowMs), renewals, 0);
    // Writing a renewal twice only proves twice that the worker holds its lease.
    case 'unavailable':
    case 'unknown':
      return putBack(state, renewals, RETRY_MS);
    default:
      return assertNever(result);
  }
}

function onStore(
  state: WorkersState,
  event: Extract<WorkersEvent, { kind: 'commitDone' | 'readDone' }>,
  purpose: WorkersPurpose,
  instant: Instant,
): WorkersStep {
  switch (purpose.kind) {
    case 'register':
      return event.kind === 'readDone'
        ? registrationRead(state, purpose.token, event.result, instant)
        : registrationCommitted(state, purpose.token, event.result, instant);
    case 'renew':
      return event.kind === 'commitDone'
        ? renewed(state, purpose.renewals, event.result, instant)
        : unchanged(state);
    case 'lookUp': {
      if (event.kind !== 'readDone' || event.result.kind === 'unavailable') {
        return flushLater(state, RETRY_MS);
      }
      const { rows } = event.result;
      const found = new Set(rows.map((row) => row.key));
      const absent = purpose.workers.filter((worker) => !found.has(workerKey(worker)));
      const seen = cacheRows(state, rows, instant.nowMs);
      const none = workerRowOf(undefined, instant.nowMs);
      const complete = {
        ...seen,
        rows: seen.rows.merge(Map(absent.map((worker) => [worker, none]))),
      };
      return complete.renewals.isEmpty() ? unchanged(complete) : flushLater(complete, 0);
    }
    default:
      return assertNever(purpose);
  }
}

/** Decides about registrations and leases of workers. */
export function stepWorkers(
  state: WorkersState,
  event: WorkersEvent,
  instant: Instant,
): WorkersStep {
  switch (event.kind) {
    case 'register': {
      const { agentId, worker, token } = event;
      return register(state, { agentId, worker, token }, instant);
    }
    case 'renew': {
      const { agentId, worker, incarnation, token } = event;
      const renewal = { agentId, worker, incarnation, token, requestedAtMs: instant.nowMs };
      return flushLater({ ...state, renewals: state.renewals.set(worker, renewal) }, FLUSH_MS);
    }
    case 'announced': {
      const known = state.rows.get(event.worker);
      return known !== undefined && known.incarnation < event.incarnation
        ? unchanged({ ...state, rows: state.rows.delete(event.worker) })
        : unchanged(state);
    }
    case 'check':
      return lookUp(
        state,
        event.workers.filter((worker) => state.rows.get(worker)?.isFenced !== false),
      );
    case 'rowsSeen':
      return unchanged(cacheRows(state, event.rows, instant.nowMs));
    case 'timer':
      return event.timer.kind === 'flush'
        ? flush(state, instant)
        : retryRegistration(state, event.timer.token, instant);
    case 'commitDone':
    case 'readDone': {
      const purpose = state.calls.get(event.callId);
      if (purpose === undefined) return unchanged(state);
      return onStore(
        { ...state, calls: state.calls.delete(event.callId) },
        event,
        purpose,
        instant,
      );
    }
    default:
      return assertNever(event);
  }
}
