import { Map } from 'immutable';
import type { CommitResult } from '@bronzeyoke/ports';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, chainAll } from '@bronzeyoke/types';
import { sendAccess, cacheRows } from './call';
import {
  startRegistration,
  onRegistrationCommit,
  onRegistrationRead,
  retryRegistration,
} from './register';
import { leaseKey, workerKey, workerRowOf } from './rows';
import type {
  Renewal,
  WorkerRow,
  WorkersEffect,
  WorkersEvent,
  WorkersPurpose,
  WorkersState,
  WorkersStep,
} from './types';

// A longer delay would use up the lease of 30 s for little gain: 63 renewals a second at 630 workers
// already fill two transactions.
const FLUSH_MS = 100;
const RETRY_DELAY_MS = 500;
const KEYS_PER_READ = 100;
/** Maximum renewals in one transaction; each writes one row and has a condition on another. */
const RENEWALS_PER_COMMIT = 45;
/** Timeout of a renewal. An agent without a reply sends a new one. */
const RENEWAL_TIMEOUT_MS = 10_000;

/** Creates the state before any agent registered. */
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

/** Classifies a renewal by the cached row of its worker. */
function classifyRenewal(renewal: Renewal, row: WorkerRow | undefined, nowMs: number): Verdict {
  if (nowMs - renewal.requestedAtMs > RENEWAL_TIMEOUT_MS) return 'drop';
  if (row === undefined) return 'lookUp';
  if (row.incarnation === renewal.incarnation && !row.isFenced) return 'renew';
  // A row that was read before the renewal arrived may be older than the registration.
  return row.seenAtMs < renewal.requestedAtMs ? 'lookUp' : 'fenced';
}

function chunks<Item>(items: readonly Item[], size: number): readonly (readonly Item[])[] {
  return Array.from({ length: Math.ceil(items.length / size) }, (_, index) =>
    items.slice(index * size, (index + 1) * size),
  );
}

function lookUpWorkers(state: WorkersState, workers: readonly string[]): WorkersStep {
  const pending = new Set(
    [...state.calls.values()].flatMap((purpose) =>
      purpose.kind === 'lookUp' ? purpose.workers : [],
    ),
  );
  const missing = workers.filter((worker) => !pending.has(worker));
  return chainAll(
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

function flushRenewals(state: WorkersState, inputs: StepInputs): WorkersStep {
  const classified = [...state.renewals.values()].map((renewal) => ({
    renewal,
    verdict: classifyRenewal(renewal, state.rows.get(renewal.worker), inputs.nowMs),
  }));
  const withVerdict = (verdict: Verdict) =>
    classified.flatMap((item) => (item.verdict === verdict ? [item.renewal] : []));
  const waiting = withVerdict('lookUp');
  const refusals = withVerdict('fenced').map(({ agentId, worker }): WorkersEffect => ({
    kind: 'send',
    agentId,
    message: { kind: 'workerFenced', incarnation: state.rows.get(worker)?.incarnation ?? 0 },
  }));
  const remaining = {
    ...state,
    renewals: Map(waiting.map((renewal) => [renewal.worker, renewal])),
    isFlushDue: false,
  };
  const step = chainAll(remaining, [
    ...chunks(withVerdict('renew'), RENEWALS_PER_COMMIT).map(
      (group) => (from: WorkersState) => commitRenewals(from, group),
    ),
    (from) =>
      lookUpWorkers(
        from,
        waiting.map((renewal) => renewal.worker),
      ),
  ]);
  return { state: step.state, effects: [...refusals, ...step.effects] };
}

function scheduleFlush(state: WorkersState, afterMs: number): WorkersStep {
  return state.isFlushDue
    ? unchanged(state)
    : {
        state: { ...state, isFlushDue: true },
        effects: [{ kind: 'wake', timer: { kind: 'flush' }, afterMs }],
      };
}

/** Queues renewals again, except where a newer one of the same worker has arrived. */
function requeue(state: WorkersState, renewals: readonly Renewal[], afterMs: number): WorkersStep {
  const requeued = Map(renewals.map((renewal) => [renewal.worker, renewal]));
  return scheduleFlush({ ...state, renewals: requeued.merge(state.renewals) }, afterMs);
}

function onRenewalCommit(
  state: WorkersState,
  renewals: readonly Renewal[],
  result: CommitResult,
  inputs: StepInputs,
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
      return requeue(cacheRows(state, result.rows, inputs.nowMs), renewals, 0);
    // A renewal is idempotent: writing it twice only confirms the lease again.
    case 'unavailable':
    case 'unknown':
      return requeue(state, renewals, RETRY_DELAY_MS);
    default:
      return assertNever(result);
  }
}

function onStoreResult(
  state: WorkersState,
  event: Extract<WorkersEvent, { kind: 'commitDone' | 'readDone' }>,
  purpose: WorkersPurpose,
  inputs: StepInputs,
): WorkersStep {
  switch (purpose.kind) {
    case 'register':
      return event.kind === 'readDone'
        ? onRegistrationRead(state, purpose.token, event.result, inputs)
        : onRegistrationCommit(state, purpose.token, event.result, inputs);
    case 'renew':
      return event.kind === 'commitDone'
        ? onRenewalCommit(state, purpose.renewals, event.result, inputs)
        : unchanged(state);
    case 'lookUp': {
      if (event.kind !== 'readDone' || event.result.kind === 'unavailable') {
        return scheduleFlush(state, RETRY_DELAY_MS);
      }
      const { rows } = event.result;
      const found = new Set(rows.map((row) => row.key));
      const absent = purpose.workers.filter((worker) => !found.has(workerKey(worker)));
      const cached = cacheRows(state, rows, inputs.nowMs);
      const absentRow = workerRowOf(undefined, inputs.nowMs);
      const withAbsentRows = {
        ...cached,
        rows: cached.rows.merge(Map(absent.map((worker) => [worker, absentRow]))),
      };
      return withAbsentRows.renewals.isEmpty()
        ? unchanged(withAbsentRows)
        : scheduleFlush(withAbsentRows, 0);
    }
    default:
      return assertNever(purpose);
  }
}

/** Handles one event of the registrations and lease renewals of workers. */
export function stepWorkers(
  state: WorkersState,
  event: WorkersEvent,
  inputs: StepInputs,
): WorkersStep {
  switch (event.kind) {
    case 'register': {
      const { agentId, worker, token } = event;
      return startRegistration(state, { agentId, worker, token }, inputs);
    }
    case 'renew': {
      const { agentId, worker, incarnation, token } = event;
      const renewal = { agentId, worker, incarnation, token, requestedAtMs: inputs.nowMs };
      return scheduleFlush({ ...state, renewals: state.renewals.set(worker, renewal) }, FLUSH_MS);
    }
    case 'announced': {
      const row = state.rows.get(event.worker);
      return row !== undefined && row.incarnation < event.incarnation
        ? unchanged({ ...state, rows: state.rows.delete(event.worker) })
        : unchanged(state);
    }
    case 'check':
      return lookUpWorkers(
        state,
        event.workers.filter((worker) => state.rows.get(worker)?.isFenced !== false),
      );
    case 'rowsSeen':
      return unchanged(cacheRows(state, event.rows, inputs.nowMs));
    case 'timer':
      return event.timer.kind === 'flush'
        ? flushRenewals(state, inputs)
        : retryRegistration(state, event.timer.token, inputs);
    case 'commitDone':
    case 'readDone': {
      const purpose = state.calls.get(event.callId);
      if (purpose === undefined) return unchanged(state);
      return onStoreResult(
        { ...state, calls: state.calls.delete(event.callId) },
        event,
        purpose,
        inputs,
      );
    }
    default:
      return assertNever(event);
  }
}
