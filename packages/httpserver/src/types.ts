import type { Map } from 'immutable';
import type { ExchangeState } from './chart';

/** What the head of a request says about its body. */
export type BodyFraming =
  | { readonly kind: 'announced'; readonly lengthBytes: number }
  | { readonly kind: 'chunked' }
  /** Trailers are refused: nothing reads them, and they follow a body that counts as complete. */
  | { readonly kind: 'chunkedWithTrailer' };

/** Why a request or a connection is refused. Such a request has not run and never runs. */
export const REFUSALS = [
  'malformed',
  'trailer',
  'bodyTooLong',
  'headTooLong',
  'tooSlow',
  'bodiesFull',
  'connectionsFull',
  'tooManyUnanswered',
] as const;

/** Reason of a refusal. */
export type Refusal = (typeof REFUSALS)[number];

/** Why a connection is closed without an answer. */
export const CLOSE_CAUSES = ['idle', 'displaced', 'unread', 'lingered'] as const;

/** Cause of a close. */
export type CloseCause = (typeof CLOSE_CAUSES)[number];

/** What happens on the connections of a process. */
export type HttpEvent =
  | { readonly kind: 'opened'; readonly id: number; readonly address: string }
  | {
      readonly kind: 'head';
      readonly id: number;
      readonly fields: number;
      readonly framing: BodyFraming;
      /** Limit of the server that the connection belongs to. */
      readonly maxBodyBytes: number;
    }
  /** The buffer of the body that is read has to grow to a size. */
  | { readonly kind: 'grown'; readonly id: number; readonly bytes: number }
  | { readonly kind: 'ended'; readonly id: number }
  /** The parser gave up, or a time of Node's server has passed. */
  | { readonly kind: 'failed'; readonly id: number; readonly refusal: Refusal }
  | { readonly kind: 'answering'; readonly id: number; readonly bytes: number }
  | { readonly kind: 'answered'; readonly id: number; readonly bytes: number }
  | { readonly kind: 'closed'; readonly id: number }
  | { readonly kind: 'tick' };

/** What the shell has to do. */
export type HttpEffect =
  | { readonly kind: 'read'; readonly id: number }
  | { readonly kind: 'handOn'; readonly id: number }
  /** What the connection still sends is read and not parsed. */
  | { readonly kind: 'discard'; readonly id: number }
  | { readonly kind: 'refuse'; readonly id: number; readonly refusal: Refusal }
  | { readonly kind: 'close'; readonly id: number; readonly cause: CloseCause };

/** A connection and the message that it is sending. */
export interface Connection {
  readonly address: string;
  readonly phase: ExchangeState;
  /** Time of the last change of the phase, or of the last answer. */
  readonly sinceMs: number;
  readonly maxBodyBytes: number;
  /** Memory of the body that is read. */
  readonly bodyBytes: number;
  /** Memory of the bodies of requests that are handed on and not answered. */
  readonly heldBytes: number;
  readonly unanswered: number;
  readonly unsentBytes: number;
  /** Refusal that waits for the answers to earlier requests. */
  readonly deferred?: Refusal;
}

/** Connections of a process and their totals. */
export interface HttpState {
  readonly connections: Map<number, Connection>;
  readonly connectionsByAddress: Map<string, number>;
  readonly bodiesBytes: number;
  readonly unsentBytes: number;
}

/** Next state and effects. */
export interface HttpStep {
  readonly state: HttpState;
  readonly effects: readonly HttpEffect[];
}
