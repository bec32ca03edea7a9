import type { Map } from 'immutable';
import type { Row, StoreEffect, StoreEvent, Transaction } from '@bronzeyoke/ports';
import type { AdminCommand, AdminReply, Configuration, Result } from '@bronzeyoke/types';
import type { TicketPhase } from './chart';
import type { PlannedTicket } from './rows';

/** Administrative commands on tickets and the configuration. */
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
export type ConfigurationLoad =
  | { readonly kind: 'idle' }
  | { readonly kind: 'head' }
  | {
      readonly kind: 'scan';
      readonly number: number;
      readonly prefixIndex: number;
      readonly rows: readonly Row[];
    }
  | { readonly kind: 'confirm'; readonly number: number; readonly rows: readonly Row[] };

/** Purpose of a store access. */
export type TicketsPurpose =
  | { readonly kind: 'load' }
  | { readonly kind: 'apply'; readonly callId: string }
  | { readonly kind: 'show'; readonly callId: string; readonly number: number }
  | { readonly kind: 'list'; readonly callId: string };

/** State of tickets and configuration at an entry. */
export interface TicketsState {
  readonly entryId: string;
  readonly callCount: number;
  readonly wallOffsetMs: number;
  readonly configuration: Configuration;
  /** Versions of the configuration rows, by key, for conditions of claims. */
  readonly versions: Map<string, number>;
  readonly load: ConfigurationLoad;
  readonly calls: Map<string, TicketsPurpose>;
  readonly applications: Map<string, TicketApplication>;
}

/** Timers of the tickets. */
export type TicketsTimer =
  { readonly kind: 'poll' } | { readonly kind: 'retry'; readonly callId: string };

/** Events of the tickets. */
export type TicketsEvent =
  | { readonly kind: 'started'; readonly wallOffsetMs: number }
  | { readonly kind: 'command'; readonly callId: string; readonly command: TicketCommand }
  | { readonly kind: 'timer'; readonly timer: TicketsTimer }
  | StoreEvent;

/** Effects of the tickets, for the entry to perform. */
export type TicketsEffect =
  | StoreEffect
  | { readonly kind: 'adminReply'; readonly callId: string; readonly result: Result<AdminReply> }
  /** Sends a configuration that has come into force to the agents. */
  | { readonly kind: 'distribute'; readonly configuration: Configuration }
  | { readonly kind: 'wake'; readonly timer: TicketsTimer; readonly afterMs: number };
