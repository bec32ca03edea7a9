import { assertNever } from '@bronzeyoke/types';

/** Exit codes, as docs/interfaces.md lists them. */
export const EXIT_CODES = {
  done: 0,
  usage: 1,
  settings: 2,
  refused: 3,
  conflict: 4,
  unknownOutcome: 5,
  unreachable: 6,
  timedOut: 7,
  jobFailed: 8,
} as const;

/** Reason why a command failed. */
export type CliFault =
  | { readonly kind: 'usage'; readonly problem: string }
  | { readonly kind: 'settings'; readonly problems: readonly string[] }
  | { readonly kind: 'refused'; readonly status: number; readonly problem: string }
  | { readonly kind: 'conflict'; readonly problem: string; readonly currentNumber: number }
  | { readonly kind: 'unknownOutcome'; readonly problem: string }
  | { readonly kind: 'unreachable'; readonly tried: readonly string[] }
  | { readonly kind: 'timedOut'; readonly waitedFor: string }
  | { readonly kind: 'jobFailed'; readonly jobId: string };

/** Describes a fault for the user, one line per problem. */
export function describeCliFault(fault: CliFault): string {
  switch (fault.kind) {
    case 'usage':
      return fault.problem;
    case 'settings':
      return fault.problems.join('\n');
    case 'refused':
      return `refused: ${fault.problem}`;
    case 'conflict':
      return `conflict: ${fault.problem}; the number in force is ${fault.currentNumber}`;
    case 'unknownOutcome':
      return `the outcome is unknown: ${fault.problem}`;
    case 'unreachable':
      return `no entry can be reached: ${fault.tried.join(', ')}`;
    case 'timedOut':
      return `time limit passed while waiting for ${fault.waitedFor}`;
    case 'jobFailed':
      return `job ${fault.jobId} ended, but not all of its tasks finished`;
    default:
      return assertNever(fault);
  }
}
