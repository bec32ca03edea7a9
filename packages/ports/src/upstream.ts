import type { Headers, UnknownReason, UpstreamAnswer } from '@bronzeyoke/types';

/** A request for the upstream beside the agent. */
export interface UpstreamCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

/** How a call ended. `notReached` is proof that no byte of it arrived. */
export type UpstreamCallResult =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'notReached' }
  | { readonly kind: 'lost'; readonly reason: UnknownReason };

/** The upstream beside the agent. */
export interface UpstreamPort {
  readonly call: (call: UpstreamCall) => Promise<UpstreamCallResult>;
}
