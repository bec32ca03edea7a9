import { JOB_PAGE_ROWS, PROGRESS_PAGE_ROWS, SMALL_JOB_PAGE_ROWS } from './rows';
import type { EntryCapacity } from '../times';

const BYTES_PER_MBIT = 125_000;

/** Bytes of the values of job rows in one transaction over a fast link. The store takes 1 MB. */
const MAX_TRANSACTION_BYTES = 128 * 1_024;

/** A renewal of the lease waits behind one transaction and one page of a read on the same link. */
const TRANSACTION_LINK_S = 0.1;
const PAGE_LINK_S = 0.25;

/** Bytes of a row with the progress of a wide stage, and of the definition of a job, in Base64. */
const PROGRESS_ROW_BYTES = 2_500;
const JOB_ROW_BYTES = 7_000;
const MIN_PAGE_ROWS = 5;

function linkBytes({ linkMbps }: EntryCapacity, seconds: number): number {
  return linkMbps * BYTES_PER_MBIT * seconds;
}

function pageRows(capacity: EntryCapacity, rowBytes: number, maxRows: number): number {
  const rows = Math.floor(linkBytes(capacity, PAGE_LINK_S) / rowBytes);
  return Math.min(maxRows, Math.max(MIN_PAGE_ROWS, rows));
}

/** Processor time of a report, and the share of the processors for reports without news. */
const REPORT_COST_MS = 0.5;
const REPORT_SHARE = 0.15;

/** A worker lists its runs again and again while the leader has not acknowledged an end. */
const MIN_REPORT_INTERVAL_MS = 200;

/** Less than the time after which a worker counts as silent, with a margin for a late report. */
const MAX_REPORT_INTERVAL_MS = 600;

/**
 * Returns the time between two reports of an agent that list no new end. It is the longest one while
 * events of the leader wait.
 */
export function reportIntervalMs(
  { processors }: EntryCapacity,
  workerCount: number,
  isBusy = false,
): number {
  if (isBusy) return MAX_REPORT_INTERVAL_MS;
  const neededMs = (workerCount * REPORT_COST_MS) / (processors * REPORT_SHARE);
  const intervalMs = Math.min(MAX_REPORT_INTERVAL_MS, Math.max(MIN_REPORT_INTERVAL_MS, neededMs));
  return Math.round(intervalMs);
}

/** Workers for which a pass is so short that the next one may follow at once. */
const SMALL_FLEET_WORKERS = 50;

/** Time between two placement passes for each further worker. */
const PASS_INTERVAL_PER_WORKER_MS = 0.15;

/** Returns the shortest time between two placement passes, which take longer on a larger fleet. */
export function passIntervalMs(workerCount: number): number {
  return Math.max(0, workerCount - SMALL_FLEET_WORKERS) * PASS_INTERVAL_PER_WORKER_MS;
}

/** Returns how many bytes of job rows one transaction of an entry carries. */
export function maxTransactionBytes(capacity: EntryCapacity): number {
  return Math.min(MAX_TRANSACTION_BYTES, linkBytes(capacity, TRANSACTION_LINK_S));
}

/** Returns the rows of the progress table that an entry reads at a time. */
export function progressPageRows(capacity: EntryCapacity): number {
  return pageRows(capacity, PROGRESS_ROW_BYTES, PROGRESS_PAGE_ROWS);
}

/** Returns the rows of the job table that an entry reads at a time, and after a page that failed. */
export function jobPageRows(capacity: EntryCapacity): {
  readonly pageRows: number;
  readonly smallPageRows: number;
} {
  const rows = pageRows(capacity, JOB_ROW_BYTES, JOB_PAGE_ROWS);
  return { pageRows: rows, smallPageRows: Math.min(rows, SMALL_JOB_PAGE_ROWS) };
}
