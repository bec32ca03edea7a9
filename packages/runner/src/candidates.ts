import { Map } from 'immutable';
import { advance } from '@bronzeyoke/chart';
import type { WorkerCallResult, WorkerReport } from '@bronzeyoke/ports';
import { workerKeyOf } from '@bronzeyoke/ports';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, chainEach, unchanged, without } from '@bronzeyoke/types';
import { HOLD_GRACE_MS, HOLD_RETRY_MS, onList, tokenAfterRefusal } from './calls';
import { onSuccessorSeen, removeWorker } from './gone';
import { firstHeldLease } from './heldlease';
import { mayHaveMoved } from './moved';
import type { Candidate, RunnerEffect, RunnerState, RunnerStep, WorkerState } from './types';
import { candidateChart } from './types';

type HoldReply = Extract<WorkerCallResult, { kind: 'done' }>;

/** Candidates at a time. Another writer may send heartbeats under any number of ids. */
const MAX_CANDIDATES = 8;

/** Time without a heartbeat after which a candidate is forgotten; longer than two intervals. */
const CANDIDATE_EXPIRY_MS = 3_000;

function candidateKey(report: WorkerReport): string {
  return `${workerKeyOf(report)} ${report.address}`;
}

/** Makes room for one candidate by dropping the one that was heard longest ago and is not asked. */
function withRoom(candidates: RunnerState['candidates']): RunnerState['candidates'] {
  if (candidates.size < MAX_CANDIDATES) return candidates;
  const oldest = candidates
    .filter(({ phase }) => phase === 'heard')
    .sortBy(({ heardAtMs }) => heardAtMs)
    .keySeq()
    .first();
  return oldest === undefined ? candidates : candidates.delete(oldest);
}

/**
 * Records an instance whose heartbeat came. A heartbeat alone proves nothing: it may be a late one of
 * an ended instance, or come from another writer.
 */
export function noteCandidate(
  state: RunnerState,
  report: WorkerReport,
  nowMs: number,
): RunnerState {
  const key = candidateKey(report);
  const known = state.candidates.get(key);
  if (known !== undefined) {
    if (report.sequence <= known.report.sequence) return state;
    const heard = { ...known, report, heardAtMs: nowMs };
    return { ...state, candidates: state.candidates.set(key, heard) };
  }
  const candidates = withRoom(state.candidates);
  if (candidates.size >= MAX_CANDIDATES) return state;
  const candidate: Candidate = {
    report,
    phase: candidateChart.initial,
    heardAtMs: nowMs,
    askAtMs: nowMs,
    listNumber: 0,
    askedToken: 0,
  };
  return { ...state, candidates: candidates.set(key, candidate) };
}

/**
 * Returns whether a reply of a candidate would show that the present worker has ended, or that it is at
 * another address. One that answers goes on, whatever the heartbeats say. An instance under another id
 * at another address shows nothing of it.
 */
function mayReplace(state: RunnerState, candidate: WorkerReport): boolean {
  const { worker, goneWorkers } = state;
  const candidateWorkerKey = workerKeyOf(candidate);
  // Orders that the leader sent before it recorded the end are for runs that it gives away.
  if (goneWorkers.some(({ workerKey }) => workerKey === candidateWorkerKey)) return false;
  if (worker === undefined) return true;
  if (worker.failures === undefined) return false;
  const { id, address, bornAtMs } = candidate;
  const { report } = worker;
  if (report.id === id && bornAtMs >= report.bornAtMs) return true;
  return report.address === address && !mayHaveMoved(state);
}

function ask(state: RunnerState, key: string, candidate: Candidate): RunnerStep {
  const callId = `ask-${state.callCount}`;
  // Makes a later instance refuse late calls to an earlier one, from its first list on.
  const token = state.token + (state.lastBornAtMs === 0 ? 0 : 1);
  const { state: phase } = advance(candidateChart, candidate.phase, 'asked');
  const { report } = candidate;
  const listNumber = state.listCount + 1;
  const asked = { ...candidate, phase, callId, listNumber, askedToken: token };
  const call = { kind: 'hold', fencingToken: token, ackSequence: 0, waitMs: 0 } as const;
  return {
    state: {
      ...state,
      token,
      callCount: state.callCount + 1,
      listCount: listNumber,
      candidates: state.candidates.set(key, asked),
    },
    effects: [{ kind: 'call', callId, worker: report, call, timeoutMs: HOLD_GRACE_MS }],
  };
}

function expireIfSilent(candidate: Candidate, nowMs: number): Candidate {
  if (nowMs - candidate.heardAtMs < CANDIDATE_EXPIRY_MS) return candidate;
  return { ...candidate, phase: advance(candidateChart, candidate.phase, 'expired').state };
}

/** Asks the candidates whose reply would settle something for their lists, and forgets silent ones. */
export function askCandidates(state: RunnerState, nowMs: number): RunnerStep {
  if (state.candidates.isEmpty()) return unchanged(state);
  const candidates = state.candidates
    .map((candidate) => expireIfSilent(candidate, nowMs))
    .filter(({ phase }) => phase !== 'dropped');
  const due = [...candidates].filter(
    ([, { phase, askAtMs, report }]) =>
      phase === 'heard' && nowMs >= askAtMs && mayReplace(state, report),
  );
  return chainEach<RunnerState, RunnerEffect, readonly [string, Candidate]>(
    unchanged({ ...state, candidates }),
    due,
    (current, [key, candidate]) => ask(current, key, candidate),
  );
}

function createWorker(
  state: RunnerState,
  report: WorkerReport,
  { clockMs }: HoldReply,
  nowMs: number,
): WorkerState {
  return {
    workerKey: workerKeyOf(report),
    report,
    heldLease: firstHeldLease(state, report.id, clockMs, nowMs),
    heartbeatAtMs: nowMs,
    ackSequence: 0,
    listNumber: 0,
    running: [],
    ended: [],
    lapsedSequence: 0,
    pending: Map(),
    startCalls: Map(),
  };
}

/** Makes a candidate that has sent its list the present worker. */
function adopt(
  state: RunnerState,
  { report, listNumber }: Candidate,
  reply: HoldReply,
  nowMs: number,
): RunnerStep {
  const { worker } = state;
  const { id, service } = report;
  const workerKey = workerKeyOf(report);
  if (worker?.workerKey === workerKey) {
    const replying = without({ ...worker, report }, 'failures');
    // What answers the open hold may be another instance at the former address.
    return onList(without(state, 'holdCallId'), replying, reply, listNumber, nowMs);
  }
  const isLater = report.bornAtMs >= state.lastBornAtMs;
  const left = removeWorker(state, worker?.report.id === id ? 'restarted' : 'otherWorker', nowMs);
  const adopted = {
    ...left.state,
    workerIds: state.workerIds.add(id),
    lastBornAtMs: Math.max(state.lastBornAtMs, report.bornAtMs),
  };
  const gone = onSuccessorSeen(adopted, report, isLater);
  const created = createWorker(state, report, reply, nowMs);
  const list = onList(gone.state, created, reply, listNumber, nowMs);
  const log = logEffect('workerSeen', {
    worker: workerKey,
    id,
    service,
    heldLeaseMs: created.heldLease.latestEndClockMs - created.heldLease.clockMs,
  });
  return { state: list.state, effects: [...left.effects, ...gone.effects, log, ...list.effects] };
}

function eventOf(
  report: WorkerReport,
  result: WorkerCallResult,
): 'replied' | 'refuted' | 'fenced' | 'unclear' {
  switch (result.kind) {
    case 'done':
      return (result.bornAtMs ?? report.bornAtMs) === report.bornAtMs ? 'replied' : 'refuted';
    case 'otherWorker':
    case 'notListening':
      return 'refuted';
    case 'refused':
      return result.reason === 'fenced' ? 'fenced' : 'unclear';
    case 'lost':
      return 'unclear';
    default:
      return assertNever(result);
  }
}

/** Handles the reply to a candidate's call; undefined for the id of another call. */
export function onCandidateReply(
  state: RunnerState,
  callId: string,
  result: WorkerCallResult,
  nowMs: number,
): RunnerStep | undefined {
  const entry = state.candidates.findEntry((candidate) => candidate.callId === callId);
  if (entry === undefined) return undefined;
  const [key, candidate] = entry;
  const { report } = candidate;
  const next = advance(candidateChart, candidate.phase, eventOf(report, result));
  const others = { ...state, candidates: state.candidates.delete(key) };
  switch (next.state) {
    case 'confirmed':
      return result.kind === 'done' && mayReplace(state, report)
        ? adopt(others, candidate, result, nowMs)
        : unchanged(others);
    case 'dropped': {
      const { service, address } = report;
      const fields = { worker: workerKeyOf(report), service, address, reply: result.kind };
      return { state: others, effects: [logEffect('heartbeatRefuted', fields)] };
    }
    case 'heard':
    case 'asked': {
      const isFenced = next.actions.includes('raiseToken');
      const again = {
        ...without(candidate, 'callId'),
        phase: next.state,
        askAtMs: nowMs + (isFenced ? 0 : HOLD_RETRY_MS),
      };
      return unchanged({
        ...state,
        token: isFenced ? tokenAfterRefusal(state.token, candidate.askedToken) : state.token,
        candidates: state.candidates.set(key, again),
      });
    }
    default:
      return assertNever(next.state);
  }
}
