/** Reason for which a request was not run: it is proven that it did not reach an upstream. */
export type NotRunReason =
  | 'overloaded'
  | 'deadlineExpired'
  | 'noUpstream'
  | 'draining'
  | 'storeUnavailable'
  | 'cancelled'
  | 'connectionLimit';

/** Reason for which it is unknown whether a request ran. */
export type UnknownReason =
  'connectionLost' | 'agentRestarted' | 'deadlineExpired' | 'upstreamFailed' | 'recordUnreadable';

/** Failure of an operation, by kind. */
export type Failure =
  | { readonly kind: 'notRun'; readonly reason: NotRunReason }
  | { readonly kind: 'outcomeUnknown'; readonly reason: UnknownReason }
  | { readonly kind: 'invalid'; readonly field: string; readonly problem: string }
  | { readonly kind: 'notFound'; readonly what: string }
  | { readonly kind: 'conflict'; readonly what: string; readonly currentNumber: number }
  | { readonly kind: 'unauthorized' }
  | { readonly kind: 'forbidden'; readonly role: string }
  | { readonly kind: 'rateLimited'; readonly retryAfterMs: number }
  | { readonly kind: 'tooLarge'; readonly limitBytes: number }
  | { readonly kind: 'malformedFrame'; readonly problem: string }
  | { readonly kind: 'unsupportedVersion'; readonly version: number }
  | { readonly kind: 'unreachable'; readonly what: string }
  | { readonly kind: 'storeUnavailable' }
  | { readonly kind: 'storeUnknown'; readonly claimToken: string }
  | { readonly kind: 'fenced'; readonly worker: string; readonly incarnation: number };

/** Result of an operation that can fail. */
export type Result<Value, Fault = Failure> =
  { readonly ok: true; readonly value: Value } | { readonly ok: false; readonly failure: Fault };

/** Returns a successful result. */
export function succeed<Value>(value: Value): Result<Value, never> {
  return { ok: true, value };
}

/** Returns a failed result. */
export function fail<Fault>(failure: Fault): Result<never, Fault> {
  return { ok: false, failure };
}

/** Error that carries a failure through code that can only throw. */
export class FailureError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(failure.kind);
    this.name = 'FailureError';
    this.failure = failure;
  }
}
