import type { Failure, Outcome } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';

/** Problem document as defined by RFC 9457. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** Number of the ticket in force, for a conflict. */
  readonly currentNumber?: number;
  /** Time after which to retry, for a rate limit. */
  readonly retryAfterMs?: number;
}

const TYPE_BASE = 'urn:bronzeyoke:problem';

function problem(type: string, status: number, title: string, detail: string): Problem {
  return { type: `${TYPE_BASE}:${type}`, title, status, detail };
}

/** Returns the problem for a request that ended without an answer. */
export function outcomeProblem(outcome: Exclude<Outcome, { readonly kind: 'answered' }>): Problem {
  switch (outcome.kind) {
    case 'notRun':
      return problem('not-run', 503, 'The request was not run', outcome.reason);
    case 'unknown':
      return problem('outcome-unknown', 504, 'The request may have run', outcome.reason);
    case 'keyReused':
      return problem(
        'key-reused',
        422,
        'The request was not run',
        'the idempotency key belongs to a request with another content',
      );
    default:
      return assertNever(outcome);
  }
}

/** Returns the problem for a failure. */
export function failureProblem(failure: Failure): Problem {
  switch (failure.kind) {
    case 'notRun':
      return outcomeProblem(failure);
    case 'outcomeUnknown':
      return outcomeProblem({ kind: 'unknown', reason: failure.reason });
    case 'invalid':
      return problem('invalid', 400, 'Invalid request', `${failure.field}: ${failure.problem}`);
    case 'notFound':
      return problem('not-found', 404, 'Not found', failure.what);
    case 'conflict':
      return {
        ...problem('conflict', 409, 'Conflict', `${failure.what}: ${failure.currentNumber}`),
        currentNumber: failure.currentNumber,
      };
    case 'unauthorized':
      return problem('unauthorized', 401, 'Unauthorized', 'a valid bearer token is required');
    case 'forbidden':
      return problem('forbidden', 403, 'Forbidden', `role ${failure.role} may not do this`);
    case 'rateLimited':
      return {
        ...problem('rate-limited', 429, 'Too many requests', `${failure.retryAfterMs} ms`),
        retryAfterMs: failure.retryAfterMs,
      };
    case 'tooLarge':
      return problem('too-large', 413, 'Too large', `limit is ${failure.limitBytes} bytes`);
    case 'malformedFrame':
      return problem('malformed', 400, 'Malformed', failure.problem);
    case 'unsupportedVersion':
      return problem('unsupported-version', 400, 'Unsupported version', String(failure.version));
    case 'unreachable':
      return problem('unreachable', 502, 'Unreachable', failure.what);
    case 'storeUnavailable':
      return problem('not-run', 503, 'The table service is unavailable', 'nothing was changed');
    case 'storeUnknown':
      return problem('outcome-unknown', 504, 'The change may have taken effect', 'read it back');
    case 'fenced':
      return problem('fenced', 409, 'Fenced', failure.worker);
    default:
      return assertNever(failure);
  }
}
