import { Map } from 'immutable';
import { advance } from '@bronzeyoke/chart';
import { assertNever } from '@bronzeyoke/types';
import type { QueueLoad } from './pools';
import { AMPLE_SHARE, poolLoads, SHORT_SHARE } from './pools';
import type {
  AdmissionState,
  JobKind,
  PoolOutlook,
  QueuePhase,
  QueueVerdict,
  RoomOutlook,
  Verdict,
  VerdictPhase,
} from './types';
import { verdictChart, verdictKey } from './types';

/** Bounds of the time after which a refused caller is asked to come back. */
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 30_000;

/** Loads from which a queue is limited, and up to which it is open again. */
interface Thresholds {
  readonly scarce: number;
  readonly ample: number;
}

const THRESHOLDS: Readonly<Record<JobKind, Thresholds>> = {
  lasting: { scarce: SHORT_SHARE, ample: AMPLE_SHARE },
  reserving: { scarce: 0.8, ample: 0.6 },
  filling: { scarce: 0.8, ample: 0.6 },
};

/** State of a leader that has looked at nothing yet. */
export const NO_ADMISSION: AdmissionState = { phases: Map() };

const OPEN: QueuePhase = { phase: verdictChart.initial, sinceMs: Infinity };

function nextPhase(phase: VerdictPhase, load: number, thresholds: Thresholds): VerdictPhase {
  if (load >= 1) return advance(verdictChart, phase, 'exhausted').state;
  if (load <= thresholds.ample) return advance(verdictChart, phase, 'ample').state;
  // Between the thresholds an open queue stays open and a limited one limited.
  const isScarce = load >= thresholds.scarce || phase === 'closed';
  return isScarce ? advance(verdictChart, phase, 'scarce').state : phase;
}

function verdictOf({ phase, sinceMs }: QueuePhase, load: QueueLoad, nowMs: number): Verdict {
  const expectedMs = load.excessMs ?? nowMs - sinceMs;
  const retryAfterMs = Math.round(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, expectedMs)),
  );
  switch (phase) {
    case 'open':
      return { kind: 'acceptAll' };
    case 'limited':
      return { kind: 'limit', allowance: load.allowance, retryAfterMs };
    case 'closed':
      return { kind: 'refuse', retryAfterMs };
    default:
      return assertNever(phase);
  }
}

/** Result of a look at the room. */
export interface AdmissionStep {
  readonly state: AdmissionState;
  readonly verdicts: readonly QueueVerdict[];
}

function poolStep(
  state: AdmissionState,
  pool: PoolOutlook,
  nowMs: number,
): readonly (readonly [QueuePhase, QueueVerdict])[] {
  const knownOf = (queue: string) => state.phases.get(verdictKey(queue, pool.kind), OPEN);
  return poolLoads(pool, (queue) => knownOf(queue).phase).map((load) => {
    const { queue } = load;
    const known = knownOf(queue);
    const phase = nextPhase(known.phase, load.load, THRESHOLDS[pool.kind]);
    const sinceMs = phase === 'open' ? Infinity : Math.min(known.sinceMs, nowMs);
    const next = { phase, sinceMs };
    return [next, { queue, jobKind: pool.kind, verdict: verdictOf(next, load, nowMs) }];
  });
}

/** Returns the verdicts on all queues that compete. A queue without one is open. */
export function stepAdmission(
  state: AdmissionState,
  outlook: RoomOutlook,
  nowMs: number,
): AdmissionStep {
  const decided = outlook.flatMap((pool) => poolStep(state, pool, nowMs));
  return {
    state: {
      phases: Map(
        decided.map(([phase, { queue, jobKind }]) => [verdictKey(queue, jobKind), phase] as const),
      ),
    },
    verdicts: decided.map(([, verdict]) => verdict),
  };
}
