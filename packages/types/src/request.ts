import type { NotRunReason, UnknownReason } from './failure';

/** Headers by name. Names are in lower case. */
export type Headers = Readonly<Record<string, string>>;

/** A caller's request with its complete body. */
export interface CallerRequest {
  readonly requestId: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array;
  /** Set for non-idempotent requests only. */
  readonly idempotencyKey?: string;
  /** Time left until the caller's timeout. */
  readonly timeoutMs: number;
  readonly traceparent?: string;
}

/** Complete answer of an upstream. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Uint8Array;
}

/**
 * Outcome of a request: one of three ends, or `keyReused` if its key belongs to a request with another
 * content. Such a request was not run.
 */
export type Outcome =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'notRun'; readonly reason: NotRunReason }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason }
  | { readonly kind: 'keyReused' };
