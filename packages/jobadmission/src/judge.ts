import { Map } from 'immutable';
import type { Resources } from '@bronzeyoke/types';
import { addResources, assertNever, dominantShare, fitsIn, NO_RESOURCES } from '@bronzeyoke/types';
import type { AdmissionNotice } from './notice';
import type { JobKind, Verdict } from './types';
import { verdictKey } from './types';

/** What a submission asks for. */
export interface JobAsk {
  readonly queue: string;
  readonly jobKind: JobKind;
  /** Declared work of a job that ends. */
  readonly coreMs: number;
  /** Needs of all lasting tasks together. */
  readonly resources: Resources;
}

/** What an entry has accepted for one verdict. */
interface Accepted {
  readonly coreMs: number;
  readonly resources: Resources;
}

/** What an entry knows of the leader's verdicts. */
export interface HeardVerdicts {
  readonly notice: AdmissionNotice;
  readonly heardAtMs: number;
  /** Accepted since the notice came, by `verdictKey`. */
  readonly accepted: Map<string, Accepted>;
}

/** What an entry does with a submission. */
export type Judgement =
  | { readonly kind: 'accept'; readonly heard?: HeardVerdicts }
  | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Time after which an entry accepts everything again, unless the leader repeats its verdicts. */
export const VERDICT_LIFE_MS = 2_000;

const NONE_ACCEPTED: Accepted = { coreMs: 0, resources: NO_RESOURCES };

/** Returns what an entry knows after a notice has come. */
export function hearNotice(notice: AdmissionNotice, nowMs: number): HeardVerdicts {
  return { notice, heardAtMs: nowMs, accepted: Map() };
}

/** Returns whether an entry's share of an allowance holds a further job. */
function isWithin(
  { allowance }: Extract<Verdict, { kind: 'limit' }>,
  ask: JobAsk,
  accepted: Accepted,
  entryCount: number,
): boolean {
  switch (allowance.kind) {
    // The last job may ask for more than what is left, so that large jobs are not starved by small ones.
    case 'work':
      return accepted.coreMs * entryCount < allowance.coreMs;
    case 'room': {
      const isShareLeft = dominantShare(accepted.resources, allowance.resources) * entryCount < 1;
      return (
        isShareLeft && fitsIn(addResources(accepted.resources, ask.resources), allowance.resources)
      );
    }
    default:
      return assertNever(allowance);
  }
}

/** Decides on a submission by the verdicts that an entry has heard. */
export function judgeJob(heard: HeardVerdicts | undefined, ask: JobAsk, nowMs: number): Judgement {
  if (heard === undefined || nowMs - heard.heardAtMs >= VERDICT_LIFE_MS) return { kind: 'accept' };
  const { notice, accepted } = heard;
  const { queue, jobKind } = ask;
  const found = notice.verdicts.find((known) => known.queue === queue && known.jobKind === jobKind);
  const verdict = found?.verdict ?? ({ kind: 'acceptAll' } as const);
  switch (verdict.kind) {
    case 'acceptAll':
      return { kind: 'accept', heard };
    case 'refuse':
      return { kind: 'refuse', retryAfterMs: verdict.retryAfterMs };
    case 'limit': {
      const key = verdictKey(queue, jobKind);
      const known = accepted.get(key, NONE_ACCEPTED);
      if (!isWithin(verdict, ask, known, notice.entryCount)) {
        return { kind: 'refuse', retryAfterMs: verdict.retryAfterMs };
      }
      const next = {
        coreMs: known.coreMs + ask.coreMs,
        resources: addResources(known.resources, ask.resources),
      };
      return { kind: 'accept', heard: { ...heard, accepted: accepted.set(key, next) } };
    }
    default:
      return assertNever(verdict);
  }
}
