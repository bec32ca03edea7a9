import type { Map } from 'immutable';
import type { Row, StoreEffect, StoreEvent, Transaction } from '@bronzeyoke/ports';
import type { AdminCommand, AdminReply, Configuration, Result } from '@bronzeyoke/types';
import type { TicketPhase } from './chart';
import type { PlannedTicket } from './rows';

/** Commands that are answered from the tickets. */
export type TicketCommand = Extract<
  AdminCommand,
  {
    readonly kind: 'applyTicket' | 'listTickets' | 'showTicket' | 'showConfiguration';
  }
>;

/** A ticket that is being applied. */
export interface TicketApplication {
  readonly phase: TicketPhase;
  readonly planned: PlannedTicket;
  readonly startedAtMs: number;
  readonly transaction?: Transaction;
}

/** Progress of loading a configuration by scans between two reads of the head. */
export type LoadState =
  | { readonly kind: 'idle' }
  | { readonly kind: 'head' }
  | {
      readonly kind: 'scan';
      readonly number: number;
      readonly prefixIndex: number;
      readonly rows: readonly Row[];
    }
  | { readonly kind: 'confirm'; readonly number: number; readonly rows: readonly Row[] };

/** What a store access of the tickets is for. */
export type TicketsPurpose =
  | { readonly kind: 'load' }
  | { readonly kind: 'apply'; readonly callId: string }
  | { readonly kind: 'show'; readonly callId: string; readonly number: number }
  | { readonly kind: 'list'; readonly callId: string };

/** State of the tickets at an entry. */
export interface TicketsState {
  readonly entryId: string;
  readonly callCount: number;
  readonly wallOffsetMs: number;
  readonly configuration: Configuration;
  /** Versions of the configuration rows, by key, for conditions of claims. */
  readonly versions: Map<string, number>;
  readonly load: LoadState;
  readonly calls: Map<string, TicketsPurpose>;
  readonly applications: Map<string, TicketApplication>;
}

/** Timers of the tickets. */
export type TicketsTimer =
  { readonly kind: 'poll' } | { readonly kind: 'repeat'; readonly callId: string };

/** What happens to the tickets. */
export type TicketsEvent =
  | { readonly kind: 'started'; readonly wallOffsetMs: number }
  | { readonly kind: 'command'; readonly callId: string; readonly command: TicketCommand }
  | { readonly kind: 'timer'; readonly timer: TicketsTimer }
  | StoreEvent;

/** What the entry has to do for the tickets. */
export type TicketsEffect =
  | StoreEffect
  | { readonly kind: 'adminReply'; readonly callId: string; readonly result: Result<AdminReply> }
  /** A new configuration is in force here and has to be sent to the agents. */
  | { readonly kind: 'distribute'; readonly configuration: Configuration }
  | { readonly kind: 'wake'; readonly timer: TicketsTimer; readonly afterMs: number };
