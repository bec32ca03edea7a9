import { List, Map } from 'immutable';
import type { Row } from '@bronzeyoke/ports';
import type { RecordedRun } from '@bronzeyoke/runhistory';
import { findRepeatedTasks } from '@bronzeyoke/runhistory';
import { NO_RESOURCES, addResources, fitsIn, taskKey } from '@bronzeyoke/types';
import { z } from 'zod';
import type { Observation } from './observation';
import type { OracleState, ObservedTask } from './oraclestate';
import { expectThat } from './oraclestate';

/** P4: no task starts in a domain later than this after the domain was taken out. */
const DOMAIN_BOUND_MS = 5_000;

/** P10: an accepted configuration is in force everywhere after this time. */
const CONFIGURATION_BOUND_MS = 13_000;

const UNOBSERVED_TASK: ObservedTask = {
  runningOn: Map(),
  startedEpoch: 0,
  isOver: false,
  runs: List(),
};

/** Ends of runs that are a success, as the rule about repeated tasks names them. */
const SUCCESS = 'done';

type Started = Extract<Observation, { readonly kind: 'taskStarted' }>;
type Ended = Extract<Observation, { readonly kind: 'taskEnded' }>;

function changeRun(
  task: ObservedTask,
  matches: (run: RecordedRun) => boolean,
  changes: Partial<RecordedRun>,
): ObservedTask {
  const runs = task.runs.map((run) => (matches(run) ? { ...run, ...changes } : run));
  return { ...task, runs };
}

/** Checks P1, P2, P3 and P4 when a worker has started a task. */
export function checkTaskStart(
  state: OracleState,
  observation: Started,
  atMs: number,
): OracleState {
  const { worker, id, epoch } = observation;
  const name = taskKey(id);
  const task = state.tasks.get(name, UNOBSERVED_TASK);
  const others = task.runningOn.delete(worker);
  const host = state.workers.get(worker);
  const reserved = (host?.reserved ?? Map()).set(name, observation.reserved);
  const used = reserved.reduce((sum, amount) => addResources(sum, amount), NO_RESOURCES);
  const outForMs = atMs - state.domainsOutSinceMs.get(host?.domain ?? '', atMs);
  const next: OracleState = {
    ...state,
    workers: host === undefined ? state.workers : state.workers.set(worker, { ...host, reserved }),
    tasks: state.tasks.set(name, {
      ...task,
      startedEpoch: Math.max(task.startedEpoch, epoch),
      runningOn: task.runningOn.set(worker, epoch),
      runs: task.runs.push({
        task: name,
        attempt: epoch,
        worker,
        isOrderLate: false,
        fromMs: atMs,
        untilMs: Infinity,
        end: '',
      }),
    }),
  };
  const checks = [
    ['P1', host !== undefined && fitsIn(used, host.total), `${worker} is overcommitted`],
    ['P2', others.isEmpty(), `${name} runs on ${worker} and ${others.keySeq().join()}`],
    ['P3', epoch > task.startedEpoch, `${name} started again at epoch ${epoch}`],
    ['P3', !task.isOver, `${name} started after its end was recorded`],
    ['P3', observation.checkpointRef === task.rowRef, `${name} resumed from the wrong checkpoint`],
    ['P4', outForMs <= DOMAIN_BOUND_MS, `${name} started in ${host?.domain ?? ''}, which is out`],
  ] as const;
  return checks.reduce(
    (current, [invariant, holds, detail]) =>
      expectThat(current, holds, invariant, atMs, () => detail),
    next,
  );
}

/** Records that a task no longer runs on a worker, for any reason. */
export function recordTaskEnd(
  state: OracleState,
  { id, epoch, worker, end }: Ended,
  atMs: number,
): OracleState {
  const name = taskKey(id);
  const before = state.tasks.get(name, UNOBSERVED_TASK);
  const task = changeRun(
    { ...before, runningOn: before.runningOn.delete(worker) },
    (run) => run.worker === worker && run.attempt === epoch,
    { untilMs: atMs, end: end === 'finished' ? SUCCESS : end },
  );
  const host = state.workers.get(worker);
  return {
    ...state,
    tasks: state.tasks.set(name, task),
    workers:
      host === undefined
        ? state.workers
        : state.workers.set(worker, { ...host, reserved: host.reserved.delete(name) }),
  };
}

const headSchema = z.object({ number: z.number() });
const domainSchema = z.object({ state: z.object({ state: z.enum(['in', 'out']) }) });
const taskSchema = z.object({
  epoch: z.number(),
  state: z.object({ kind: z.string(), checkpointRef: z.string().optional() }),
});

function checkTicketHead(state: OracleState, value: unknown, atMs: number): OracleState {
  const { number } = headSchema.parse(value);
  const next = {
    ...state,
    headNumber: number,
    acceptedAtMs: state.acceptedAtMs.set(number, atMs),
  };
  const isNext = number === state.headNumber + 1;
  return expectThat(next, isNext, 'P10', atMs, () => `head ${state.headNumber} became ${number}`);
}

function checkTicket(state: OracleState, row: Row, atMs: number): OracleState {
  const text = JSON.stringify(row.value);
  const before = state.ticketTexts.get(row.key);
  const next = { ...state, ticketTexts: state.ticketTexts.set(row.key, text) };
  return expectThat(next, before === undefined, 'P10', atMs, () => `${row.key} was written twice`);
}

function recordDomain(state: OracleState, name: string, value: unknown, atMs: number): OracleState {
  const isOut = domainSchema.parse(value).state.state === 'out';
  const since = state.domainsOutSinceMs.get(name, atMs);
  return {
    ...state,
    domainsOutSinceMs: isOut
      ? state.domainsOutSinceMs.set(name, since)
      : state.domainsOutSinceMs.delete(name),
  };
}

function checkTaskRow(state: OracleState, key: string, value: unknown, atMs: number): OracleState {
  const row = taskSchema.parse(value);
  const name = key.split('/').slice(2).join('/');
  const task = state.tasks.get(name, UNOBSERVED_TASK);
  const isOver = row.state.kind === 'finished' || row.state.kind === 'cancelled';
  const rowRef = row.state.checkpointRef;
  const isNoted = ({ attempt, end }: RecordedRun): boolean =>
    row.state.kind === 'finished' && attempt === row.epoch && end === SUCCESS;
  const noted = changeRun(task, isNoted, { notedAtMs: atMs });
  const next = { ...state, tasks: state.tasks.set(name, { ...noted, isOver, rowRef }) };
  // The lease of a task ends its run, so none lapses after a success. A start after the row is checked then.
  const repeats = findRepeatedTasks(noted.runs.toArray(), []);
  const isRepeated = !task.isOver && repeats.some(({ kind }) => kind === 'counted');
  const checks = [
    [!task.isOver, `${name} changed after its end`],
    [!isRepeated, `${name} had started again when its success was recorded`],
  ] as const;
  return checks.reduce(
    (current, [holds, detail]) => expectThat(current, holds, 'P3', atMs, () => detail),
    next,
  );
}

/** Checks P3 and P10 when the table has committed a row. */
export function checkRow(state: OracleState, row: Row, atMs: number): OracleState {
  const [table = '', name = ''] = row.key.split('/');
  if (row.key === 'ticket/head') return checkTicketHead(state, row.value, atMs);
  if (table === 'ticket') return checkTicket(state, row, atMs);
  if (table === 'domain') return recordDomain(state, name, row.value, atMs);
  if (table === 'task') return checkTaskRow(state, row.key, row.value, atMs);
  return state;
}

/** Checks P10 when a process has shown its configuration to an operator. */
export function checkConfiguration(
  state: OracleState,
  processId: string,
  number: number,
  atMs: number,
): OracleState {
  const before = state.shownNumbers.get(processId, 0);
  const due = state.acceptedAtMs
    .filter((acceptedMs) => state.isFaultFree && atMs - acceptedMs > CONFIGURATION_BOUND_MS)
    .keySeq()
    .max();
  const next = { ...state, shownNumbers: state.shownNumbers.set(processId, number) };
  const checks = [
    [number >= before, `${processId} went back from ${before} to ${number}`],
    [number >= (due ?? 0), `${processId} shows ${number}, but ${due ?? 0} is due`],
    [number <= state.headNumber, `${processId} shows ${number}, which was not accepted`],
  ] as const;
  return checks.reduce(
    (current, [holds, detail]) => expectThat(current, holds, 'P10', atMs, () => detail),
    next,
  );
}
