import { Map } from 'immutable';
import type { AdmissionNotice, AdmissionState, WorkRate } from '@bronzeyoke/jobadmission';
import { isSameNotice, NO_ADMISSION } from '@bronzeyoke/jobadmission';
import type { Resources } from '@bronzeyoke/types';

/** Room of a service for lasting tasks. */
export interface LastingRoom {
  readonly room: Resources;
  /** Without the failure domain that holds most; absent with a single domain. */
  readonly roomAfterLoss?: Resources;
}

/** Room of the workers of a service at one look. */
export interface ServiceRoom {
  readonly atMs: number;
  /** Without the failure domains that are out. */
  readonly usable: Resources;
  /** With them, as they come back. */
  readonly lasting: LastingRoom;
}

/** What a leader has seen of a job that ends by itself. */
export interface KnownWork {
  readonly poolKey: string;
  readonly leftCoreMs: number;
}

/** What a leader keeps from one look at the room to the next. */
export interface AdmissionView {
  /** Time of the first look; absent before it. */
  readonly sinceMs?: number;
  readonly lookedAtMs: number;
  /** Work left of each open job, by id. */
  readonly work: Map<string, KnownWork>;
  /** Rates of work by `poolKey`. */
  readonly rates: Map<string, WorkRate>;
  /** Declared work that arrives, in core-milliseconds a millisecond, by `verdictKey`. */
  readonly arrivals: Map<string, number>;
  /** Rooms of the last looks, by service. */
  readonly rooms: Map<string, readonly ServiceRoom[]>;
  readonly decided: AdmissionState;
  /** What entries are to know. */
  readonly notice: AdmissionNotice;
  readonly writtenNotice: AdmissionNotice;
  readonly writtenAtMs: number;
}

const NO_NOTICE: AdmissionNotice = { entryCount: 1, verdicts: [] };

/** View of a leader that has not looked yet. */
export const NO_ADMISSION_VIEW: AdmissionView = {
  lookedAtMs: -Infinity,
  work: Map(),
  rates: Map(),
  arrivals: Map(),
  rooms: Map(),
  decided: NO_ADMISSION,
  notice: NO_NOTICE,
  writtenNotice: NO_NOTICE,
  writtenAtMs: -Infinity,
};

/** Shortest time between two writes of verdicts. Each wakes every follower of the leader's table. */
const CHANGE_INTERVAL_MS = 250;

/** Verdicts are written again after this time, so that entries do not forget them after 2 s. */
const REFRESH_MS = 1_000;

/** Returns whether the row of the verdicts goes with the next transaction. */
export function areVerdictsDue(
  { notice, writtenNotice, writtenAtMs }: AdmissionView,
  nowMs: number,
): boolean {
  const isSame = isSameNotice(notice, writtenNotice);
  if (isSame && notice.verdicts.length === 0) return false;
  return nowMs - writtenAtMs >= (isSame ? REFRESH_MS : CHANGE_INTERVAL_MS);
}

/** Returns the view after its verdicts have been put into a transaction. */
export function markWritten(view: AdmissionView, nowMs: number): AdmissionView {
  return { ...view, writtenNotice: view.notice, writtenAtMs: nowMs };
}
