import { advance } from '@bronzeyoke/chart';
import type { RowCommitResult, RowKey, StoredRow } from '@bronzeyoke/ports';
import { jobKey, progressKey, WITHDRAWAL_KEEP_MS, withdrawalKey } from '@bronzeyoke/scheduler';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever } from '@bronzeyoke/types';
import { jobBytes } from '@bronzeyoke/workflow';
import type { WorkflowJob } from '@bronzeyoke/workflow';
import type {
  IntakeEffect,
  IntakeEvent,
  IntakeReply,
  IntakeState,
  IntakeStep,
  PendingSubmission,
} from './types';
import { submissionChart } from './types';

/** Each job takes three conditions and one write of the 100 that a transaction may name. */
const MAX_JOBS_PER_TRANSACTION = 25;

/** Bytes of the jobs in one transaction, which the store takes up to 1 MB in Base64, keys included. */
const MAX_TRANSACTION_BYTES = 512 * 1_024;
const MAX_TRANSACTIONS_IN_FLIGHT = 2;
const RETRY_DELAY_MS = 80;

/** Submissions beyond this number are refused at once. */
const MAX_SUBMISSIONS = 500;

/** Longest time for which a submission is retried before the caller is asked to retry later. */
const SUBMIT_TIMEOUT_MS = 400;

/** Part of the timeout of a call that is reserved for sending the reply. */
const REPLY_MARGIN_MS = 150;
const CALLER_RETRY_AFTER_MS = 1_000;

/** After a longer silence of the store, jobs are refused without a write: at once and for certain. */
const MAX_STORE_SILENCE_MS = 1_000;

type SubmissionEvent =
  'sent' | 'stored' | 'withdrawn' | 'conflict' | 'unavailable' | 'unknown' | 'expired';

function replyTo(submission: PendingSubmission, reply: IntakeReply): readonly IntakeEffect[] {
  return submission.callIds.map((callId) => ({ kind: 'reply', callId, reply }) as const);
}

function advanceSubmission(
  state: IntakeState,
  jobId: string,
  event: SubmissionEvent,
  nowMs: number,
): IntakeStep {
  const submission = state.submissions.get(jobId);
  if (submission === undefined) return { state, effects: [] };
  const next = advance(submissionChart, submission.phase, event);
  const retryAtMs = event === 'sent' ? submission.retryAtMs : nowMs + RETRY_DELAY_MS;
  const { job } = submission;
  const effects = next.actions.flatMap((action): readonly IntakeEffect[] => {
    switch (action) {
      case 'accept':
        return [
          ...replyTo(submission, { kind: 'accepted' }),
          logEffect('jobAccepted', { job: jobId, queue: job.policy.queue }),
        ];
      case 'refuse':
        return [
          ...replyTo(submission, { kind: 'notAccepted', retryAfterMs: CALLER_RETRY_AFTER_MS }),
          logEffect('jobRefused', { job: jobId, reason: 'storeUnavailable' }),
        ];
      case 'refuseWithdrawn':
        return [
          ...replyTo(submission, { kind: 'notAccepted', retryAfterMs: WITHDRAWAL_KEEP_MS }),
          logEffect('jobRefused', { job: jobId, reason: 'withdrawn' }),
        ];
      case 'replyUnknown':
        return [
          ...replyTo(submission, { kind: 'unknown' }),
          logEffect('jobUnanswered', { job: jobId, reason: 'storeAnswerLost' }),
        ];
      default:
        return assertNever(action);
    }
  });
  const submissions =
    next.state === 'ended'
      ? state.submissions.delete(jobId)
      : state.submissions.set(jobId, { ...submission, phase: next.state, retryAtMs });
  return { state: { ...state, submissions }, effects };
}

function advanceSubmissions(
  state: IntakeState,
  jobIds: readonly string[],
  eventOf: (jobId: string) => SubmissionEvent,
  nowMs: number,
): IntakeStep {
  return jobIds.reduce<IntakeStep>(
    (step, jobId) => {
      const next = advanceSubmission(step.state, jobId, eventOf(jobId), nowMs);
      return { state: next.state, effects: [...step.effects, ...next.effects] };
    },
    { state, effects: [] },
  );
}

function isReadyToSend({ phase }: PendingSubmission): boolean {
  return phase === 'waiting' || phase === 'uncertain';
}

/** Returns as many jobs as a transaction holds, and one at least. */
function takeJobs(submissions: IntakeState['submissions']): readonly WorkflowJob[] {
  const jobs = submissions
    .valueSeq()
    .take(MAX_JOBS_PER_TRANSACTION)
    .map(({ job }) => job)
    .toArray();
  const taken = jobs.reduce(
    ({ count, bytes }, job, index) => {
      const next = bytes + jobBytes(job);
      const fits = count === index && next <= MAX_TRANSACTION_BYTES;
      return fits || index === 0 ? { count: index + 1, bytes: next } : { count, bytes };
    },
    { count: 0, bytes: 0 },
  );
  return jobs.slice(0, taken.count);
}

/** Sends submissions that are ready, many in one transaction that requires each job to be new. */
export function sendSubmissions(state: IntakeState, nowMs: number): IntakeStep {
  if (state.inFlight.size >= MAX_TRANSACTIONS_IN_FLIGHT) return { state, effects: [] };
  const due = state.submissions.filter(
    (submission) => isReadyToSend(submission) && submission.retryAtMs <= nowMs,
  );
  const jobs = takeJobs(due);
  if (jobs.length === 0) return { state, effects: [] };
  const jobIds = jobs.map(({ jobId }) => jobId);
  const callId = `submit-${state.callCount}`;
  const transaction = {
    conditions: jobIds.flatMap((jobId) => [
      { ...jobKey(jobId), version: 0 },
      { ...progressKey(jobId), version: 0 },
      { ...withdrawalKey(jobId), version: 0 },
    ]),
    writes: jobs.map((job) => ({ kind: 'put', ...jobKey(job.jobId), value: job }) as const),
  };
  const sent = advanceSubmissions(state, jobIds, () => 'sent', nowMs).state;
  return {
    state: { ...sent, callCount: state.callCount + 1, inFlight: sent.inFlight.set(callId, jobIds) },
    effects: [{ kind: 'commit', callId, transaction }],
  };
}

function rowName({ table, key }: RowKey): string {
  return `${table}/${key}`;
}

/** Returns what the present rows of a conflict mean for each submission. */
function conflictEvents(rows: readonly StoredRow[]): (jobId: string) => SubmissionEvent {
  const stored = new Set(rows.filter(({ version }) => version > 0).map((row) => rowName(row)));
  return (jobId) => {
    const isStored = [jobKey(jobId), progressKey(jobId)].some((row) => stored.has(rowName(row)));
    if (isStored) return 'stored';
    return stored.has(rowName(withdrawalKey(jobId))) ? 'withdrawn' : 'conflict';
  };
}

/** Applies the result of a transaction of submissions. A job that is stored already is accepted. */
export function onSubmitOutcome(
  state: IntakeState,
  callId: string,
  result: RowCommitResult,
  nowMs: number,
): IntakeStep {
  const jobIds = state.inFlight.get(callId);
  if (jobIds === undefined) return { state, effects: [] };
  const next = { ...state, inFlight: state.inFlight.delete(callId) };
  switch (result.kind) {
    case 'committed':
      return advanceSubmissions(next, jobIds, () => 'stored', nowMs);
    case 'conflict': {
      const eventOf = conflictEvents(result.rows);
      return advanceSubmissions(next, jobIds, eventOf, nowMs - RETRY_DELAY_MS);
    }
    case 'unavailable':
      return advanceSubmissions(next, jobIds, () => 'unavailable', nowMs);
    case 'unknown':
      return advanceSubmissions(next, jobIds, () => 'unknown', nowMs);
    default:
      return assertNever(result);
  }
}

/** Ends submissions that have expired, unless their transaction is in flight. */
export function expireSubmissions(state: IntakeState, nowMs: number): IntakeStep {
  const expired = state.submissions
    .filter((submission) => isReadyToSend(submission) && nowMs >= submission.expiresAtMs)
    .keySeq()
    .toArray();
  return advanceSubmissions(state, expired, () => 'expired', nowMs);
}

/** Adds a submission. A repeat of a job that is being submitted waits for the same outcome. */
export function submit(
  state: IntakeState,
  event: Extract<IntakeEvent, { kind: 'submit' }>,
  nowMs: number,
): IntakeStep {
  const { callId, job, timeoutMs, silentMs } = event;
  const pending = state.submissions.get(job.jobId);
  if (pending !== undefined) {
    const joined = { ...pending, callIds: [...pending.callIds, callId] };
    return {
      state: { ...state, submissions: state.submissions.set(job.jobId, joined) },
      effects: [],
    };
  }
  const isStoreSilent = silentMs > MAX_STORE_SILENCE_MS;
  if (isStoreSilent || state.submissions.size >= MAX_SUBMISSIONS) {
    const reply = { kind: 'notAccepted', retryAfterMs: CALLER_RETRY_AFTER_MS } as const;
    return {
      state,
      effects: [
        { kind: 'reply', callId, reply },
        logEffect('jobRefused', {
          job: job.jobId,
          reason: isStoreSilent ? 'storeSilent' : 'overloaded',
          silentMs: Math.round(silentMs),
        }),
      ],
    };
  }
  const retryMs = Math.max(0, Math.min(SUBMIT_TIMEOUT_MS, timeoutMs - REPLY_MARGIN_MS));
  const submission: PendingSubmission = {
    job,
    phase: submissionChart.initial,
    callIds: [callId],
    expiresAtMs: nowMs + retryMs,
    retryAtMs: nowMs,
  };
  return {
    state: { ...state, submissions: state.submissions.set(job.jobId, submission) },
    effects: [],
  };
}
