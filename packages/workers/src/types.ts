import type { Map } from 'immutable';
import type { Row, StoreEffect, StoreEvent, Transaction } from '@bronzeyoke/ports';
import type { Step } from '@bronzeyoke/types';
import type { EntryMessage } from '@bronzeyoke/wire';

/** Contents of the row of a worker. Its version is the fencing token of claims. */
export interface WorkerRow {
  readonly version: number;
  readonly incarnation: number;
  readonly agentId: string;
  readonly isFenced: boolean;
  readonly token: string;
  readonly seenAtMs: number;
}

/** Request of an agent to renew the lease of its worker. */
export interface Renewal {
  readonly agentId: string;
  readonly worker: string;
  readonly incarnation: number;
  readonly token: string;
  readonly requestedAtMs: number;
}

/** Request of an agent to register its worker, with the progress of the request. */
export interface Registration {
  readonly agentId: string;
  readonly worker: string;
  readonly token: string;
  readonly requestedAtMs: number;
  readonly incarnation: number;
  readonly transaction?: Transaction;
  readonly wasReplyLost: boolean;
}

/** Purpose of a store access. */
export type WorkersPurpose =
  | { readonly kind: 'lookUp'; readonly workers: readonly string[] }
  | { readonly kind: 'register'; readonly token: string }
  | { readonly kind: 'renew'; readonly renewals: readonly Renewal[] };

/** State of the registrations and renewals at an entry. */
export interface WorkersState {
  readonly callCount: number;
  /** Cached rows by worker; an absent row has version 0. */
  readonly rows: Map<string, WorkerRow>;
  /** The latest renewal of each worker that is not sent yet. */
  readonly renewals: Map<string, Renewal>;
  readonly registrations: Map<string, Registration>;
  readonly calls: Map<string, WorkersPurpose>;
  readonly isFlushDue: boolean;
}

/** Timers of registrations and renewals. */
export type WorkersTimer =
  { readonly kind: 'flush' } | { readonly kind: 'register'; readonly token: string };

/** Events of registrations and renewals. */
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
  /** An agent connected and announced the incarnation that it holds. */
  | { readonly kind: 'announced'; readonly worker: string; readonly incarnation: number }
  /** Looks up the rows of connected workers that are not registered according to the cache. */
  | { readonly kind: 'check'; readonly workers: readonly string[] }
  /** Rows of workers that another part of the entry received with a transaction. */
  | { readonly kind: 'rowsSeen'; readonly rows: readonly Row[] }
  | { readonly kind: 'timer'; readonly timer: WorkersTimer }
  | StoreEvent;

/** Effects of registrations and renewals, for the entry to perform. */
export type WorkersEffect =
  | StoreEffect
  | { readonly kind: 'send'; readonly agentId: string; readonly message: EntryMessage }
  | { readonly kind: 'wake'; readonly timer: WorkersTimer; readonly afterMs: number };

/** A step of registrations and renewals. */
export type WorkersStep = Step<WorkersState, WorkersEffect>;
