import { assertNever } from '@bronzeyoke/types';

/** An entry of a configuration, by its position in the list of queues or services. */
export type ConfigEntry =
  | { readonly kind: 'queue'; readonly index: number }
  | { readonly kind: 'service'; readonly index: number }
  | { readonly kind: 'bodyLimit' }
  | { readonly kind: 'version' };

/** Why no request can select a queue. */
export type MismatchReason =
  /** Hosts of requests are compared as they are, without their ports. */
  | { readonly kind: 'host' }
  /** Paths of requests begin with a slash, and end before a question mark. */
  | { readonly kind: 'path' }
  /** An earlier queue has the same host and path. */
  | { readonly kind: 'shadowed'; readonly by: string };

/** What is wrong with one entry of a configuration. */
export type ConfigProblem =
  | { readonly kind: 'duplicateName'; readonly name: string }
  | { readonly kind: 'neverMatches'; readonly queue: string; readonly reason: MismatchReason }
  | { readonly kind: 'unknownService'; readonly queue: string; readonly service: string }
  | { readonly kind: 'standbyService'; readonly queue: string; readonly service: string }
  | { readonly kind: 'unusedService'; readonly service: string }
  | { readonly kind: 'notPositive'; readonly field: string; readonly value: number }
  | { readonly kind: 'negative'; readonly field: string; readonly value: number }
  | { readonly kind: 'notWhole'; readonly field: string; readonly value: number }
  /** The objective of a job lies before the end of its work, however fast it is placed. */
  | { readonly kind: 'objectiveTooEarly'; readonly queue: string; readonly slackFactor: number }
  | { readonly kind: 'bodyLimitTooSmall'; readonly limitBytes: number; readonly minBytes: number }
  | { readonly kind: 'versionNotHigher'; readonly version: number; readonly current: number };

/** How much a problem matters: a configuration with errors must not be sent. */
export type Severity = 'error' | 'warning';

/** A problem with the entry that has it. */
export interface ConfigFinding {
  readonly severity: Severity;
  readonly entry: ConfigEntry;
  readonly problem: ConfigProblem;
}

function describeMismatch(reason: MismatchReason): string {
  switch (reason.kind) {
    case 'host':
      return 'its host is not a plain host name in lower case';
    case 'path':
      return 'its path prefix does not begin with a slash, or holds a space, "?" or "#"';
    case 'shadowed':
      return `queue ${reason.by} has the same host and path prefix`;
    default:
      return assertNever(reason);
  }
}

/** Describes a problem in one sentence. */
export function describeProblem(problem: ConfigProblem): string {
  switch (problem.kind) {
    case 'duplicateName':
      return `the name ${problem.name} is given more than once`;
    case 'neverMatches':
      return `queue ${problem.queue} never matches: ${describeMismatch(problem.reason)}`;
    case 'unknownService':
      return `queue ${problem.queue} names service ${problem.service}, which is not configured`;
    case 'standbyService':
      return `queue ${problem.queue} names service ${problem.service}, whose machines are off`;
    case 'unusedService':
      return `no queue names service ${problem.service}`;
    case 'notPositive':
      return `${problem.field} is ${problem.value}, and must be above 0`;
    case 'negative':
      return `${problem.field} is ${problem.value}, and must not be negative`;
    case 'notWhole':
      return `${problem.field} is ${problem.value}, and must be a whole number`;
    case 'objectiveTooEarly':
      return `queue ${problem.queue} is never in time: slackFactor ${problem.slackFactor} is below 1, and targetDurationMs adds nothing`;
    case 'bodyLimitTooSmall':
      return `a body limit of ${problem.limitBytes} bytes refuses jobs that callers may send; they take up to ${problem.minBytes} bytes`;
    case 'versionNotHigher':
      return `version ${problem.version} takes no effect: version ${problem.current} is in force`;
    default:
      return assertNever(problem);
  }
}
