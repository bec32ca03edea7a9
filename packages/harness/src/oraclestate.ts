import { List, Map } from 'immutable';
import type { RecordedRun } from '@bronzeyoke/runhistory';
import type { Resources } from '@bronzeyoke/types';
import type { CallerEnd } from './observation';

/** The invariants of the design page, and `idle`: a process without work does not spin. */
export type InvariantId =
  'P1' | 'P2' | 'P3' | 'P4' | 'P5' | 'P6' | 'P7' | 'P8' | 'P9' | 'P10' | 'idle';

/** A violated invariant. */
export interface Violation {
  readonly invariant: InvariantId;
  readonly atMs: number;
  readonly detail: string;
}

interface ObservedRequest {
  readonly key?: string | undefined;
  readonly hasRun: boolean;
  readonly end?: CallerEnd;
}

/** A task as observed at workers and in the table. */
export interface ObservedTask {
  readonly runningOn: Map<string, number>;
  /** Epoch of the latest start. */
  readonly startedEpoch: number;
  /** Checkpoint of the latest row. */
  readonly rowRef?: string | undefined;
  readonly isOver: boolean;
  /** Runs, each with its epoch as its attempt. */
  readonly runs: List<RecordedRun>;
}

/** A worker with its total and reserved resources. */
export interface ObservedWorker {
  readonly domain: string;
  readonly total: Resources;
  readonly reserved: Map<string, Resources>;
}

/** State of the oracle, which is built from observations alone. */
export interface OracleState {
  readonly violations: List<Violation>;
  /** Whether no fault has been injected so far. */
  readonly isFaultFree: boolean;
  readonly requests: Map<string, ObservedRequest>;
  readonly runsByKey: Map<string, number>;
  readonly stoppingSinceMs: Map<string, number>;
  readonly workers: Map<string, ObservedWorker>;
  readonly tasks: Map<string, ObservedTask>;
  readonly domainsOutSinceMs: Map<string, number>;
  readonly headNumber: number;
  readonly acceptedAtMs: Map<number, number>;
  readonly shownNumbers: Map<string, number>;
  readonly ticketTexts: Map<string, string>;
}

/** An oracle without observations. */
export const EMPTY_ORACLE: OracleState = {
  violations: List(),
  isFaultFree: true,
  requests: Map(),
  runsByKey: Map(),
  stoppingSinceMs: Map(),
  workers: Map(),
  tasks: Map(),
  domainsOutSinceMs: Map(),
  headNumber: 0,
  acceptedAtMs: Map(),
  shownNumbers: Map(),
  ticketTexts: Map(),
};

/** Records a violated invariant. */
export function recordViolation(
  state: OracleState,
  invariant: InvariantId,
  atMs: number,
  detail: string,
): OracleState {
  return {
    ...state,
    violations: state.violations.push({ invariant, atMs, detail }),
  };
}

/** Records a violated invariant if a condition does not hold. */
export function expectThat(
  state: OracleState,
  holds: boolean,
  invariant: InvariantId,
  atMs: number,
  describe: () => string,
): OracleState {
  return holds ? state : recordViolation(state, invariant, atMs, describe());
}
