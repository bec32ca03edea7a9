import { acceptValue } from '@bronzeyoke/decoding';
import type { PartOutcome } from '@bronzeyoke/commits';
import type { ReadResult, Row } from '@bronzeyoke/ports';
import type { AdminReply, Failure, Job, JobDetails, Submission, TaskRow } from '@bronzeyoke/types';
import { assertNever, fail, succeed, unchanged } from '@bronzeyoke/types';
import { z } from 'zod';
import { sendAccess } from './call';
import { checkSubmission } from './check';
import { jobOf, keys, shardOfJob, shardOfTeam, taskRowOf } from './keys';
import { queuePart } from './transition';
import type {
  BatchState,
  BatchStep,
  BatchPurpose,
  BatchContext,
  JobCommand,
  PartPurpose,
} from './types';

const PAGE_ROWS = 500;
const MAX_LISTED = 500;

type CommandPurpose = Extract<PartPurpose, { readonly kind: 'submit' | 'cancel' }>;

function reply(state: BatchState, callId: string, value: AdminReply): BatchStep {
  return { state, effects: [{ kind: 'adminReply', callId, result: succeed(value) }] };
}

function refuse(state: BatchState, callId: string, failure: Failure): BatchStep {
  return { state, effects: [{ kind: 'adminReply', callId, result: fail(failure) }] };
}

const UNAVAILABLE: Failure = { kind: 'storeUnavailable' };

function submit(
  state: BatchState,
  callId: string,
  submission: Submission,
  context: BatchContext,
): BatchStep {
  const fault = checkSubmission(submission);
  if (fault !== undefined) return refuse(state, callId, fault);
  if (state.isDraining) return refuse(state, callId, { kind: 'notRun', reason: 'draining' });
  const shard = shardOfTeam(submission.team);
  const jobId = `${shard}-${state.entryId}-${state.idCount}`;
  const submittedAtMs = Math.round(state.wallOffsetMs + context.nowMs);
  const job: Job = { ...submission, jobId, submittedAtMs, cancelled: false };
  const jobKey = keys.jobKey(job.team, job.key);
  const rowKey = keys.job(shard, jobId);
  return unchanged(
    queuePart(
      state,
      { kind: 'submit', callId, job },
      {
        conditions: [
          { key: jobKey, version: 0 },
          { key: rowKey, version: 0 },
        ],
        writes: [
          { kind: 'put', key: jobKey, value: { jobId } },
          { kind: 'put', key: rowKey, value: job },
          { kind: 'put', key: keys.inbox(shard, jobId), value: { kind: 'new' } },
        ],
      },
    ).state,
  );
}

/** Queues the cancellation of a job: one write of its row and one of the owner's inbox. */
function cancel(state: BatchState, callId: string, row: Row, job: Job): BatchStep {
  const shard = shardOfJob(job.jobId);
  const cancelled = { ...job, cancelled: true };
  return unchanged(
    queuePart(
      state,
      { kind: 'cancel', callId, job: cancelled },
      {
        conditions: [{ key: row.key, version: row.version }],
        writes: [
          { kind: 'put', key: row.key, value: cancelled },
          { kind: 'put', key: keys.inbox(shard, job.jobId), value: { kind: 'cancelled' } },
        ],
      },
    ).state,
  );
}

/** Carries out a command about jobs. */
export function onCommand(
  state: BatchState,
  callId: string,
  command: JobCommand,
  context: BatchContext,
): BatchStep {
  switch (command.kind) {
    case 'submitJob':
      return submit(state, callId, command.submission, context);
    case 'cancelJob':
    case 'showJob': {
      const { jobId, team } = command;
      const kind = command.kind === 'cancelJob' ? 'cancelRead' : 'showRead';
      const shard = shardOfTeam(team);
      return shardOfJob(jobId) === shard
        ? sendAccess(
            state,
            { kind, callId, jobId },
            { kind: 'read', keys: [keys.job(shard, jobId)] },
          )
        : refuse(state, callId, { kind: 'notFound', what: `job/${jobId}` });
    }
    case 'listJobs': {
      const { team, afterJobId } = command;
      const limit = Math.max(1, Math.min(MAX_LISTED, command.limit));
      const prefix = keys.job(shardOfTeam(team), '');
      return sendAccess(
        state,
        { kind: 'list', callId, team, limit, jobs: [] },
        { kind: 'scan', prefix, afterKey: `${prefix}${afterJobId}`, limit: PAGE_ROWS },
      );
    }
    default:
      return assertNever(command);
  }
}

const jobKeySchema = z.object({ jobId: z.string() });

/** Handles the commit outcome of a submission or a cancellation. */
export function onCommandOutcome(
  state: BatchState,
  purpose: CommandPurpose,
  outcome: PartOutcome,
): BatchStep {
  const { callId, job } = purpose;
  switch (outcome.kind) {
    case 'committed':
      return reply(state, callId, { kind: 'job', status: { job, tasks: [] } });
    case 'unavailable':
      return refuse(state, callId, UNAVAILABLE);
    case 'conflict': {
      const shard = shardOfJob(job.jobId);
      const rowKey = keys.job(shard, job.jobId);
      // The job row changed between the read and the cancellation: read it again.
      if (purpose.kind === 'cancel') {
        return sendAccess(
          state,
          { kind: 'cancelRead', callId, jobId: job.jobId },
          { kind: 'read', keys: [rowKey] },
        );
      }
      const jobKey = keys.jobKey(job.team, job.key);
      const row = outcome.rows.find((candidate) => candidate.key === jobKey);
      const parsed = acceptValue(jobKeySchema, row?.value);
      return parsed !== undefined
        ? sendAccess(
            state,
            { kind: 'existingJob', callId, team: job.team },
            { kind: 'read', keys: [keys.job(shard, parsed.jobId)] },
          )
        : refuse(state, callId, UNAVAILABLE);
    }
    default:
      return assertNever(outcome);
  }
}

const ABSENT_TASK_ROW: TaskRow = { epoch: 0, state: { kind: 'pending' } };

function statusOf(job: Job, rows: readonly Row[]): JobDetails {
  const byKey = new Map(rows.map((row) => [row.key, taskRowOf(row)]));
  const shard = shardOfJob(job.jobId);
  const tasks = Array.from({ length: job.taskCount }, (_, index) => {
    const id = { jobId: job.jobId, index };
    const row = byKey.get(keys.task(shard, id)) ?? ABSENT_TASK_ROW;
    // Tasks of a cancelled job that never ran have no row with the cancellation.
    const isCancelled = job.cancelled && row.state.kind === 'pending';
    return { id, row: isCancelled ? { ...row, state: { kind: 'cancelled' as const } } : row };
  });
  return { job, tasks };
}

type CommandCall = Extract<
  BatchPurpose,
  { readonly kind: 'existingJob' | 'cancelRead' | 'showRead' | 'showTasks' | 'list' }
>;

/** Continues a command with the rows that were read for it. */
export function onCommandRead(
  state: BatchState,
  purpose: CommandCall,
  result: ReadResult,
): BatchStep {
  const { callId } = purpose;
  if (result.kind === 'unavailable') return refuse(state, callId, UNAVAILABLE);
  const [row] = result.rows;
  const job = jobOf(row);
  switch (purpose.kind) {
    case 'existingJob':
      return job === undefined
        ? refuse(state, callId, { kind: 'notFound', what: `team/${purpose.team}` })
        : reply(state, callId, { kind: 'job', status: { job, tasks: [] } });
    case 'cancelRead': {
      if (row === undefined || job === undefined) {
        return refuse(state, callId, { kind: 'notFound', what: `job/${purpose.jobId}` });
      }
      return job.cancelled
        ? reply(state, callId, { kind: 'job', status: { job, tasks: [] } })
        : cancel(state, callId, row, job);
    }
    case 'showRead': {
      if (job === undefined) {
        return refuse(state, callId, { kind: 'notFound', what: `job/${purpose.jobId}` });
      }
      const prefix = `task/${shardOfJob(job.jobId)}/${job.jobId}/`;
      return sendAccess(
        state,
        { kind: 'showTasks', callId, job, rows: [] },
        { kind: 'scan', prefix, afterKey: '', limit: PAGE_ROWS },
      );
    }
    case 'showTasks': {
      const rows = [...purpose.rows, ...result.rows];
      const last = result.rows.at(-1);
      if (last === undefined || result.rows.length < PAGE_ROWS) {
        return reply(state, callId, { kind: 'job', status: statusOf(purpose.job, rows) });
      }
      const prefix = `task/${shardOfJob(purpose.job.jobId)}/${purpose.job.jobId}/`;
      return sendAccess(
        state,
        { ...purpose, rows },
        { kind: 'scan', prefix, afterKey: last.key, limit: PAGE_ROWS },
      );
    }
    case 'list': {
      const found = result.rows.flatMap((candidate) => jobOf(candidate) ?? []);
      const jobs = [
        ...purpose.jobs,
        ...found.filter((candidate) => candidate.team === purpose.team),
      ];
      const last = result.rows.at(-1);
      if (last === undefined || result.rows.length < PAGE_ROWS || jobs.length >= purpose.limit) {
        return reply(state, callId, { kind: 'jobs', jobs: jobs.slice(0, purpose.limit) });
      }
      const prefix = keys.job(shardOfTeam(purpose.team), '');
      return sendAccess(
        state,
        { ...purpose, jobs },
        { kind: 'scan', prefix, afterKey: last.key, limit: PAGE_ROWS },
      );
    }
    default:
      return assertNever(purpose);
  }
}
