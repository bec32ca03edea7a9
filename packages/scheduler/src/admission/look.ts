import type { AdmissionNotice, QueueVerdict } from '@bronzeyoke/jobadmission';
import { stepAdmission, verdictKey } from '@bronzeyoke/jobadmission';
import type { EventFields } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, unchanged } from '@bronzeyoke/types';
import { policyOf } from '../policy';
import { withEffects } from '../state';
import type { SchedulerEffect, SchedulerState, SchedulerStep } from '../types';
import type { OpenDemand } from './demand';
import { buildOutlook } from './outlook';

/** Time between two looks at the room, each of which goes through all open jobs and workers. */
const LOOK_INTERVAL_MS = 1_000;

/** Time for which a new leader limits nothing: agents and their workers report meanwhile. */
const SETTLE_MS = 5_000;

/** Time over which the entries that accept jobs are counted. */
const ENTRIES_MS = 10_000;

/** Returns how many entries have accepted open jobs lately, and so share the allowances. */
function countEntries(demands: readonly OpenDemand[], wallMs: number): number {
  const names = demands.flatMap(({ acceptedAtMs, acceptedBy }) =>
    acceptedBy !== undefined && wallMs - acceptedAtMs < ENTRIES_MS ? [acceptedBy] : [],
  );
  return Math.max(1, new Set(names).size);
}

function verdictFields({ queue, jobKind, verdict }: QueueVerdict): EventFields {
  const fields = { queue, jobKind, verdict: verdict.kind };
  switch (verdict.kind) {
    case 'acceptAll':
      return fields;
    case 'refuse':
      return { ...fields, retryAfterMs: verdict.retryAfterMs };
    case 'limit': {
      const { allowance, retryAfterMs } = verdict;
      return allowance.kind === 'work'
        ? { ...fields, retryAfterMs, coreMs: Math.round(allowance.coreMs) }
        : { ...fields, retryAfterMs, ...allowance.resources };
    }
    default:
      return assertNever(verdict);
  }
}

function countKinds({ verdicts }: AdmissionNotice) {
  return {
    limit: verdicts.filter(({ verdict }) => verdict.kind === 'limit').length,
    refuse: verdicts.filter(({ verdict }) => verdict.kind === 'refuse').length,
  };
}

/** Returns the lines about the verdicts whose kind has changed, and the counts if these have. */
function changeLines(before: AdmissionNotice, after: AdmissionNotice): readonly SchedulerEffect[] {
  const keyOf = ({ queue, jobKind }: QueueVerdict) => verdictKey(queue, jobKind);
  const known = new Map(before.verdicts.map((verdict) => [keyOf(verdict), verdict]));
  const present = new Set(after.verdicts.map(keyOf));
  const changed = after.verdicts.filter(
    (verdict) => known.get(keyOf(verdict))?.verdict.kind !== verdict.verdict.kind,
  );
  const opened = before.verdicts
    .filter((verdict) => !present.has(keyOf(verdict)))
    .map((verdict) => ({ ...verdict, verdict: { kind: 'acceptAll' } as const }));
  const [countsBefore, counts] = [countKinds(before), countKinds(after)];
  const isCounted = countsBefore.limit !== counts.limit || countsBefore.refuse !== counts.refuse;
  return [
    ...[...changed, ...opened].map((verdict) =>
      logEffect('admissionChanged', verdictFields(verdict)),
    ),
    ...(isCounted ? [logEffect('admissionCounts', counts)] : []),
  ];
}

/** Looks at the room from time to time, and decides what each queue may submit. */
export function lookAtRoom(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const { admission, settings, phase } = state;
  const isOn = policyOf(settings).limitsAdmission && phase === 'leading';
  if (!isOn || nowMs - admission.lookedAtMs < LOOK_INTERVAL_MS) return unchanged(state);
  const { view, outlook, demands } = buildOutlook(state, nowMs);
  const isSettled = nowMs - (view.sinceMs ?? nowMs) >= SETTLE_MS;
  const { state: decided, verdicts } = stepAdmission(view.decided, isSettled ? outlook : [], nowMs);
  const notice = {
    entryCount: countEntries(demands, wallMs),
    verdicts: verdicts.filter(({ verdict }) => verdict.kind !== 'acceptAll'),
  };
  return withEffects(
    { ...state, admission: { ...view, decided, notice } },
    changeLines(view.notice, notice),
  );
}
