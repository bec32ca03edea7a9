import type { Map } from 'immutable';
import type { Row, StoreEffect, StoreEvent, Transaction } from '@bronzeyoke/ports';
import type { EntryMessage } from '@bronzeyoke/wire';

/** What the row of a worker says. Its version is the fencing token of claims. */
export interface WorkerRow {
  readonly version: number;
  readonly incarnation: number;
  readonly agentId: string;
  readonly isFenced: boolean;
  readonly token: string;
  readonly seenAtMs: number;
}

/** A renewal that an agent asked for. */
export interface Renewal {
  readonly agentId: string;
  readonly worker: string;
  readonly incarnation: number;
  readonly token: string;
  readonly requestedAtMs: number;
}

/** A registration that an agent asked for. */
export interface Registration {
  readonly agentId: string;
  readonly worker: string;
  readonly token: string;
  readonly requestedAtMs: number;
  readonly incarnation: number;
  readonly transaction?: Transaction;
  readonly wasLost: boolean;
}

/** What a store access of the workers is for. */
export type WorkersPurpose =
  | { readonly kind: 'lookUp'; readonly workers: readonly string[] }
  | { readonly kind: 'register'; readonly token: string }
  | { readonly kind: 'renew'; readonly renewals: readonly Renewal[] };

/** State of the registrations and renewals at an entry. */
export interface WorkersState {
  readonly callCount: number;
  /** Rows by worker; an absent row has version 0. */
  readonly rows: Map<string, WorkerRow>;
  /** The latest renewal of each worker that is not on its way yet. */
  readonly renewals: Map<string, Renewal>;
  readonly registrations: Map<string, Registration>;
  readonly calls: Map<string, WorkersPurpose>;
  readonly isFlushDue: boolean;
}

/** Timers of the workers. */
export type WorkersTimer =
  { readonly kind: 'flush' } | { readonly kind: 'register'; readonly token: string };

/** What happens to the workers. */
export type WorkersEvent =
  | {
      readonly kind: 'register';
      readonly agentId: string;
      readonly worker: string;
      readonly token: string;
    }
  | {
      readonly kind: 'renew';
      readonly agentId: string;
      readonly worker: string;
      readonly incarnation: number;
      readonly token: string;
    }
  /** An agent announced itself with the incarnation that it holds. */
  | { readonly kind: 'announced'; readonly worker: string; readonly incarnation: number }
  /** Looks up the rows of connected workers that are not registered as far as is known. */
  | { readonly kind: 'check'; readonly workers: readonly string[] }
  /** Rows of workers that came back with a transaction of another part of the entry. */
  | { readonly kind: 'rowsSeen'; readonly rows: readonly Row[] }
  | { readonly kind: 'timer'; readonly timer: WorkersTimer }
  | StoreEvent;

/** What the entry has to do for the workers. */
export type WorkersEffect =
  | StoreEffect
  | { readonly kind: 'send'; readonly agentId: string; readonly message: EntryMessage }
  | { readonly kind: 'wake'; readonly timer: WorkersTimer; readonly afterMs: number };
