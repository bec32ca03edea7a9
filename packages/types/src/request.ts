import type { NotRunReason, UnknownReason } from './failure';

/** Header names are lower case. */
export type Headers = Readonly<Record<string, string>>;

/** A caller's request, complete with its body. */
export interface CallerRequest {
  readonly requestId: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array;
  /** Set for non-idempotent requests only. */
  readonly idempotencyKey?: string;
  /** Time left until the caller gives up. */
  readonly timeoutMs: number;
  readonly traceparent?: string;
}

/** A whole answer of an upstream. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Uint8Array;
}

/**
 * The three ways in which a request can end, and the refusal of a key that belongs to a request with
 * another content; such a request was not run.
 */
export type Outcome =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'notRun'; readonly reason: NotRunReason }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason }
  | { readonly kind: 'keyReused' };
