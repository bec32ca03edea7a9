import { performance } from 'node:perf_hooks';
import { assertNever } from '@bronzeyoke/types';
import type { CloseCause, Refusal } from './types';
import type { HttpReport } from './server';

/** Reasons for which clients are refused or lose their connections. */
export type RefusalReason = Refusal | Extract<CloseCause, 'displaced' | 'unread'> | 'agentLinks';

/** Refusals since the last change of state. */
export interface RefusalWatch {
  readonly refused: number;
  readonly lastAtMs: number;
}

/** Watch without refusals. */
export const NO_REFUSALS: RefusalWatch = { refused: 0, lastAtMs: 0 };

/** Change of state that is worth a log line. */
export type RefusalChange =
  | { readonly kind: 'began'; readonly reason: RefusalReason }
  | { readonly kind: 'ended'; readonly refused: number };

/** Time without a refusal after which the state counts as ended. */
const QUIET_MS = 10_000;

/** Returns the reason of a report; undefined for a close that is part of ordinary use. */
export function reasonOf(report: HttpReport): RefusalReason | undefined {
  switch (report.kind) {
    case 'refused':
      return report.refusal;
    case 'closed':
      return report.cause === 'displaced' || report.cause === 'unread' ? report.cause : undefined;
    default:
      return assertNever(report);
  }
}

/** Counts a refusal. The first one after a quiet time is a change. */
export function noteRefusal(
  watch: RefusalWatch,
  reason: RefusalReason,
  nowMs: number,
): { readonly watch: RefusalWatch; readonly change?: RefusalChange } {
  const next = { refused: watch.refused + 1, lastAtMs: nowMs };
  return watch.refused === 0 ? { watch: next, change: { kind: 'began', reason } } : { watch: next };
}

/** Ends the state of refusing after a quiet time. */
export function noteQuiet(
  watch: RefusalWatch,
  nowMs: number,
): { readonly watch: RefusalWatch; readonly change?: RefusalChange } {
  const { refused, lastAtMs } = watch;
  if (refused === 0 || nowMs - lastAtMs < QUIET_MS) return { watch };
  return { watch: NO_REFUSALS, change: { kind: 'ended', refused } };
}

/** Returns a receiver of refusals that counts each one and tells changes of state. */
export function createRefusalMonitor(
  count: (reason: RefusalReason) => void,
  onChange: (change: RefusalChange) => void,
): (reason: RefusalReason) => void {
  const current = { watch: NO_REFUSALS };
  const apply = (next: ReturnType<typeof noteQuiet>): void => {
    current.watch = next.watch;
    if (next.change !== undefined) onChange(next.change);
  };
  setInterval(() => apply(noteQuiet(current.watch, performance.now())), QUIET_MS).unref();
  return (reason) => {
    count(reason);
    apply(noteRefusal(current.watch, reason, performance.now()));
  };
}
