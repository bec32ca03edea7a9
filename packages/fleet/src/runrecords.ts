import type { LeaseLapse, RecordedRun } from '@bronzeyoke/runhistory';
import { Map } from 'immutable';

/** Runs of tasks that may succeed once, by task, attempt and worker, and the leases that have ended. */
export interface RunRecords {
  readonly runs: Map<string, RecordedRun>;
  /** Lapses by worker and end of the lease. */
  readonly lapses: Map<string, LeaseLapse>;
}

/** Records without runs. */
export const NO_RECORDS: RunRecords = { runs: Map(), lapses: Map() };
