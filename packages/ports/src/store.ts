import type { CommitResult, ReadResult, Transaction } from './table';

/** The part of an entry's core that has requested a store access. */
export type StoreOrigin = 'requests' | 'batch' | 'tickets' | 'workers' | 'admin';

/** Effect that performs an access to the table service. */
export type StoreEffect =
  | {
      readonly kind: 'commit';
      readonly origin: StoreOrigin;
      readonly callId: string;
      readonly transaction: Transaction;
      /** Renewals of leases are sent before all other transactions. */
      readonly isRenewal?: true;
    }
  | {
      readonly kind: 'read';
      readonly origin: StoreOrigin;
      readonly callId: string;
      readonly keys: readonly string[];
    }
  | {
      readonly kind: 'scan';
      readonly origin: StoreOrigin;
      readonly callId: string;
      readonly prefix: string;
      readonly afterKey: string;
      readonly limit: number;
    };

/** Event that reports the result of an access to the table service. */
export type StoreEvent =
  | {
      readonly kind: 'commitDone';
      readonly origin: StoreOrigin;
      readonly callId: string;
      readonly result: CommitResult;
    }
  | {
      readonly kind: 'readDone';
      readonly origin: StoreOrigin;
      readonly callId: string;
      readonly result: ReadResult;
    };
