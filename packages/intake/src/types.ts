import type { Map } from 'immutable';
import type { StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import type { HeardVerdicts } from '@bronzeyoke/jobadmission';
import type { RowStoreCall, RowStoreEvent, StoredRow } from '@bronzeyoke/ports';
import type { LogEffect } from '@bronzeyoke/telemetry';
import type { JobFailure, JobStatus, WorkflowJob } from '@bronzeyoke/workflow';
import type { Bucket } from '@bronzeyoke/types';
import chartFile from '../charts/submission.json';

/** Chart of a submission. One that may have been stored is never refused as not accepted. */
export const submissionChart = compileChart(chartFile, {
  states: ['waiting', 'sending', 'uncertain', 'resending', 'declining', 'fencing', 'ended'],
  events: [
    'sent',
    'stored',
    'withdrawn',
    'overtaken',
    'conflict',
    'unavailable',
    'unknown',
    'declined',
    'fenced',
    'expired',
  ],
  actions: ['accept', 'refuse', 'refuseWithdrawn', 'refuseOvertaken', 'decline', 'replyUnknown'],
});

/** A job that is being stored, with all calls that wait for the outcome. */
export interface PendingSubmission {
  readonly job: WorkflowJob;
  readonly phase: StateOf<typeof submissionChart>;
  readonly callIds: readonly string[];
  readonly expiresAtMs: number;
  readonly retryAtMs: number;
  /** Newest version of the store that this entry knew when the first call came. */
  readonly seenVersion: number;
  /** Version of the row by which an earlier attempt under the id was refused; absent if there is none. */
  readonly fenceVersion?: number;
  /** Time to come back for a caller that is refused for want of room. */
  readonly retryAfterMs?: number;
}

/** A cancellation or a query of a caller, with its current stage. */
export type Query =
  | {
      readonly kind: 'cancel';
      readonly jobId: string;
      readonly expiresAtMs: number;
      readonly stage: 'find' | 'write' | 'outcome' | 'withdraw';
      readonly retryAtMs: number;
    }
  | {
      readonly kind: 'status';
      readonly jobId: string;
      readonly expiresAtMs: number;
      readonly stage: 'progress' | 'job' | 'outcome';
      /** A row of the job's progress was found, and could not be decoded. */
      readonly hasUnreadableProgress?: boolean;
      readonly retryAtMs: number;
    }
  | {
      readonly kind: 'pending';
      readonly queue: string;
      readonly stage: 'counts' | 'scan';
      readonly expiresAtMs: number;
      readonly retryAtMs: number;
    };

/** State of the part of an entry that accepts, cancels and looks up jobs. */
export interface IntakeState {
  readonly submissions: Map<string, PendingSubmission>;
  readonly queries: Map<string, Query>;
  /** Jobs of each transaction without a result yet, by call id. */
  readonly inFlight: Map<string, readonly string[]>;
  /** The same for transactions that refuse ids for want of room. */
  readonly fencesInFlight: Map<string, readonly string[]>;
  /** Limits the transactions that refuse ids. */
  readonly fenceBucket?: Bucket;
  /** Newest version of the store that this entry knows of. */
  readonly seenVersion: number;
  /** Verdicts of the leader; absent before the first. */
  readonly heard?: HeardVerdicts;
  readonly callCount: number;
  /** Name of this entry in the jobs that it accepts; absent if they carry none. */
  readonly acceptedBy?: string;
  /** Limits the cancellations of ids without a job. */
  readonly withdrawalBucket?: Bucket;
}

/** Final reply to a call. */
export type IntakeReply =
  | { readonly kind: 'accepted' }
  /** The job was not stored and never runs. */
  | { readonly kind: 'notAccepted'; readonly retryAfterMs: number }
  /** It cannot be determined whether the job was stored. */
  | { readonly kind: 'unknown' }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'absent' }
  | { readonly kind: 'status'; readonly status: JobStatus; readonly failure?: JobFailure }
  | { readonly kind: 'pending'; readonly count: number }
  | { readonly kind: 'unavailable'; readonly retryAfterMs: number };

/** Events that the intake handles. */
export type IntakeEvent =
  | {
      readonly kind: 'submit';
      readonly callId: string;
      readonly job: WorkflowJob;
      readonly timeoutMs: number;
      /** Time since the store last answered this process. */
      readonly silentMs: number;
    }
  | {
      readonly kind: 'cancel' | 'status';
      readonly callId: string;
      readonly jobId: string;
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'pending';
      readonly callId: string;
      readonly queue: string;
      readonly timeoutMs: number;
    }
  | RowStoreEvent
  /** The leader has written its verdicts on the queues. */
  | { readonly kind: 'admission'; readonly row: StoredRow }
  /** The store has reached a version. */
  | { readonly kind: 'storeVersion'; readonly version: number }
  | { readonly kind: 'tick' };

/** Effects that the shell of the intake carries out. */
export type IntakeEffect =
  | RowStoreCall
  | { readonly kind: 'reply'; readonly callId: string; readonly reply: IntakeReply }
  | LogEffect;

/** State after a part of a step, with the effects of that part. */
export interface IntakeStep {
  readonly state: IntakeState;
  readonly effects: readonly IntakeEffect[];
}
