import type { HttpReply, Refusal, RefusalBody } from '@bronzeyoke/httpserver';
import { refusalStatus } from '@bronzeyoke/httpserver';
import type { Failure } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import { MAX_BODY_BYTES } from '@bronzeyoke/wire';
import type { Problem } from './problem';
import { failureProblem } from './problem';

const PROBLEM_TYPE = 'application/problem+json';

/** Returns a reply with a problem document. */
export function problemReply(
  problem: Problem,
  headers: Readonly<Record<string, string>> = {},
): HttpReply {
  return {
    kind: 'answer',
    status: problem.status,
    headers: { 'content-type': PROBLEM_TYPE, ...headers },
    body: JSON.stringify(problem),
  };
}

/** Returns the failure that stands for a refusal, which no handler has seen. */
export function refusalFailure(refusal: Refusal, maxHeadBytes: number): Failure {
  switch (refusal) {
    case 'malformed':
      return { kind: 'invalid', field: 'head', problem: 'malformed' };
    case 'trailer':
      return { kind: 'invalid', field: 'trailer', problem: 'not accepted' };
    case 'tooSlow':
      return { kind: 'invalid', field: 'request', problem: 'not complete in time' };
    case 'bodyTooLong':
      return { kind: 'tooLarge', limitBytes: MAX_BODY_BYTES };
    case 'headTooLong':
      return { kind: 'tooLarge', limitBytes: maxHeadBytes };
    case 'bodiesFull':
    case 'connectionsFull':
    case 'tooManyUnanswered':
      return { kind: 'notRun', reason: 'overloaded' };
    default:
      return assertNever(refusal);
  }
}

/** Encodes the problem document of a refused request. */
export function describeProblem(refusal: Refusal, maxHeadBytes: number): RefusalBody {
  const problem = failureProblem(refusalFailure(refusal, maxHeadBytes));
  const text = JSON.stringify({ ...problem, status: refusalStatus(refusal) });
  return { contentType: PROBLEM_TYPE, text };
}
