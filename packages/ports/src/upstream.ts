import type { Headers, UnknownReason, UpstreamAnswer } from '@bronzeyoke/types';

/** Request to the upstream of an agent. */
export interface UpstreamCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

/** Result of a call. `notReached` proves that no byte of it arrived. */
export type UpstreamCallResult =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'notReached' }
  | { readonly kind: 'lost'; readonly reason: UnknownReason };

/** Calls to the upstream of an agent. */
export interface UpstreamPort {
  readonly call: (call: UpstreamCall) => Promise<UpstreamCallResult>;
}
