import { acceptValue } from '@bronzeyoke/decoding';
import { advance } from '@bronzeyoke/chart';
import type { Judgement } from '@bronzeyoke/jobadmission';
import { jobAsk, judgeJob } from '@bronzeyoke/jobadmission';
import type { RowCommitResult, RowCondition, RowKey, StoredRow } from '@bronzeyoke/ports';
import { jobKey, progressKey, WITHDRAWAL_KEEP_MS, withdrawalKey } from '@bronzeyoke/scheduler';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, without } from '@bronzeyoke/types';
import { jobBytes } from '@bronzeyoke/workflow';
import type { WorkflowJob } from '@bronzeyoke/workflow';
import { z } from 'zod';
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
export const MAX_JOBS_PER_TRANSACTION = 25;

/** A job whose earlier attempt was refused takes a write more. */
const MAX_REPEATED_JOBS_PER_TRANSACTION = 20;

/** Bytes of the jobs in one transaction, which the store takes up to 1 MB in Base64, keys included. */
const MAX_TRANSACTION_BYTES = 512 * 1_024;
const MAX_TRANSACTIONS_IN_FLIGHT = 2;
/** Time before a transaction that had no effect is sent again. */
export const RETRY_DELAY_MS = 80;

/** Submissions beyond this number are refused at once. */
const MAX_SUBMISSIONS = 500;

/**
 * Refusals for want of room that wait for their rows: as many as one transaction holds, so that none expires
 * at the least rate of transactions. Further ones are answered without a row, so a flood to one closed queue
 * leaves the others their place among the submissions.
 */
const MAX_REFUSALS = MAX_JOBS_PER_TRANSACTION;

/** Longest time for which a submission is retried before the caller is asked to retry later. */
const SUBMIT_TIMEOUT_MS = 400;

/** Part of the timeout of a call that is reserved for sending the reply. */
const REPLY_MARGIN_MS = 150;

/** Bytes of a job up to which there is room in its row for the name of an entry. */
const MAX_NAMED_JOB_BYTES = 47 * 1_024;
const CALLER_RETRY_AFTER_MS = 1_000;

/** After a longer silence of the store, jobs are refused without a write: at once and for certain. */
const MAX_STORE_SILENCE_MS = 1_000;

type SubmissionEvent =
  | 'sent'
  | 'stored'
  | 'withdrawn'
  | 'overtaken'
  | 'conflict'
  | 'unavailable'
  | 'unknown'
  | 'declined'
  | 'fenced'
  | 'expired';

function replyTo(submission: PendingSubmission, reply: IntakeReply): readonly IntakeEffect[] {
  return submission.callIds.map((callId) => ({ kind: 'reply', callId, reply }) as const);
}

/** Applies an event to a submission. */
export function advanceSubmission(
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
      case 'refuseOvertaken':
        return [
          ...replyTo(submission, { kind: 'notAccepted', retryAfterMs: CALLER_RETRY_AFTER_MS }),
          logEffect('jobRefused', { job: jobId, reason: 'refusedElsewhere' }),
        ];
      case 'decline': {
        const { retryAfterMs = CALLER_RETRY_AFTER_MS } = submission;
        const { queue } = job.policy;
        return [
          ...replyTo(submission, { kind: 'notAccepted', retryAfterMs }),
          logEffect('jobRefused', { job: jobId, reason: 'noRoom', queue, retryAfterMs }),
        ];
      }
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

/** Applies an event to each of some submissions. */
export function advanceSubmissions(
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

function isExpired(submission: PendingSubmission, nowMs: number): boolean {
  const isInFlight = !isReadyToSend(submission) && submission.phase !== 'declining';
  return !isInFlight && nowMs >= submission.expiresAtMs;
}

/** Returns as many jobs as a transaction holds, and one at least. */
function takeJobs(submissions: IntakeState['submissions']): readonly WorkflowJob[] {
  const isRepeat = submissions.some(({ fenceVersion }) => fenceVersion !== undefined);
  const jobs = submissions
    .valueSeq()
    .take(isRepeat ? MAX_REPEATED_JOBS_PER_TRANSACTION : MAX_JOBS_PER_TRANSACTION)
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

/** Returns the conditions under which no attempt under an id has been stored or refused since. */
export function newJobConditions(jobId: string, fenceVersion = 0): readonly RowCondition[] {
  return [
    { ...jobKey(jobId), version: 0 },
    { ...progressKey(jobId), version: 0 },
    { ...withdrawalKey(jobId), version: fenceVersion },
  ];
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
  const fenced = jobIds.filter((jobId) => due.get(jobId)?.fenceVersion !== undefined);
  const transaction = {
    conditions: jobIds.flatMap((jobId) => newJobConditions(jobId, due.get(jobId)?.fenceVersion)),
    writes: [
      ...jobs.map((job) => ({ kind: 'put', ...jobKey(job.jobId), value: job }) as const),
      ...fenced.map((jobId) => ({ kind: 'delete', ...withdrawalKey(jobId) }) as const),
    ],
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

const fenceSchema = z.object({ reason: z.literal('noRoom') });

/** What a conflict shows of a submission. */
export type ConflictFinding =
  | { readonly kind: 'stored' | 'withdrawn' | 'conflict' }
  /** An attempt under the id was refused for want of room. */
  | { readonly kind: 'fenced'; readonly version: number };

/** Returns what the present rows of a conflict mean for each submission. */
export function readConflict(rows: readonly StoredRow[]): (jobId: string) => ConflictFinding {
  const stored = new Map(
    rows.filter(({ version }) => version > 0).map((row) => [rowName(row), row] as const),
  );
  return (jobId) => {
    const isStored = [jobKey(jobId), progressKey(jobId)].some((row) => stored.has(rowName(row)));
    if (isStored) return { kind: 'stored' };
    const withdrawal = stored.get(rowName(withdrawalKey(jobId)));
    if (withdrawal === undefined) return { kind: 'conflict' };
    return acceptValue(fenceSchema, withdrawal.value) !== undefined
      ? { kind: 'fenced', version: withdrawal.version }
      : { kind: 'withdrawn' };
  };
}

/**
 * Returns what a conflict means for a submission. A refusal that this entry knew to be stored when the call
 * came was of an earlier attempt, and its row is replaced. A later one stands, as its caller was told so.
 */
function conflictEvent(finding: ConflictFinding, seenVersion: number): SubmissionEvent {
  switch (finding.kind) {
    case 'stored':
    case 'withdrawn':
    case 'conflict':
      return finding.kind;
    case 'fenced':
      return finding.version <= seenVersion ? 'conflict' : 'overtaken';
    default:
      return assertNever(finding);
  }
}

/** Returns the submissions with the version of the row that refuses each; 0 where none does any more. */
export function noteFences(
  submissions: IntakeState['submissions'],
  jobIds: readonly string[],
  findingOf: (jobId: string) => ConflictFinding,
): IntakeState['submissions'] {
  return jobIds.reduce((known, jobId) => {
    const submission = known.get(jobId);
    if (submission === undefined) return known;
    const finding = findingOf(jobId);
    const rest = without(submission, 'fenceVersion');
    return known.set(
      jobId,
      finding.kind === 'fenced' ? { ...rest, fenceVersion: finding.version } : rest,
    );
  }, submissions);
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
      const findingOf = readConflict(result.rows);
      const seenOf = (jobId: string) => state.submissions.get(jobId)?.seenVersion ?? 0;
      return advanceSubmissions(
        { ...next, submissions: noteFences(next.submissions, jobIds, findingOf) },
        jobIds,
        (jobId) => conflictEvent(findingOf(jobId), seenOf(jobId)),
        nowMs - RETRY_DELAY_MS,
      );
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
    .filter((submission) => isExpired(submission, nowMs))
    .keySeq()
    .toArray();
  return advanceSubmissions(state, expired, () => 'expired', nowMs);
}

/** Returns a job with the entry that accepts it. A row of the store holds no more than 48 KB. */
function namedJob({ acceptedBy }: IntakeState, job: WorkflowJob): WorkflowJob {
  const isNamed = acceptedBy !== undefined && jobBytes(job) < MAX_NAMED_JOB_BYTES;
  return isNamed ? { ...job, acceptedBy } : job;
}

function isRefused({ phase }: PendingSubmission): boolean {
  return phase === 'declining' || phase === 'fencing';
}

/** Refuses a submission without a write. */
function refuseAtOnce(
  state: IntakeState,
  { callId, job, silentMs }: Extract<IntakeEvent, { kind: 'submit' }>,
  reason: 'storeSilent' | 'overloaded',
  retryAfterMs: number,
): IntakeStep {
  return {
    state,
    effects: [
      { kind: 'reply', callId, reply: { kind: 'notAccepted', retryAfterMs } },
      logEffect('jobRefused', { job: job.jobId, reason, silentMs: Math.round(silentMs) }),
    ],
  };
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
    const reason = isStoreSilent ? 'storeSilent' : 'overloaded';
    return refuseAtOnce(state, event, reason, CALLER_RETRY_AFTER_MS);
  }
  const retryMs = Math.max(0, Math.min(SUBMIT_TIMEOUT_MS, timeoutMs - REPLY_MARGIN_MS));
  const ask = jobAsk(job);
  const judgement: Judgement =
    ask === undefined ? { kind: 'accept' } : judgeJob(state.heard, ask, nowMs);
  const submission: PendingSubmission = {
    job: namedJob(state, job),
    phase: submissionChart.initial,
    callIds: [callId],
    expiresAtMs: nowMs + retryMs,
    retryAtMs: nowMs,
    seenVersion: state.seenVersion,
  };
  const added = (changes: Partial<PendingSubmission>): IntakeState => ({
    ...state,
    submissions: state.submissions.set(job.jobId, { ...submission, ...changes }),
  });
  switch (judgement.kind) {
    case 'accept': {
      const { heard = state.heard } = judgement;
      return {
        state: heard === undefined ? added({}) : { ...added({}), heard },
        effects: [],
      };
    }
    case 'refuse': {
      const { retryAfterMs } = judgement;
      if (state.submissions.count(isRefused) >= MAX_REFUSALS) {
        return refuseAtOnce(state, event, 'overloaded', retryAfterMs);
      }
      return advanceSubmission(
        added({ retryAfterMs }),
        job.jobId,
        'declined',
        nowMs - RETRY_DELAY_MS,
      );
    }
    default:
      return assertNever(judgement);
  }
}
