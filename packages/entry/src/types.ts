import type { RoleState } from '@bronzeyoke/lifecycle';
import type { MembershipState } from '@bronzeyoke/membership';
import type { StoreEffect, StoreEvent } from '@bronzeyoke/ports';
import type { RequestsState, RequestsTimer } from '@bronzeyoke/requests';
import type { CallerRequest, Configuration, Outcome } from '@bronzeyoke/types';
import type { AgentMessage, EntryMessage } from '@bronzeyoke/wire';

/** Timers of an entry. */
export type EntryTimer =
  | RequestsTimer
  | { readonly kind: 'linkCheck'; readonly linkId: string; readonly sequence: number }
  | { readonly kind: 'memberSweep' }
  | { readonly kind: 'stopLimit' };

/** State of an entry. */
export interface EntryState {
  readonly entryId: string;
  readonly role: RoleState;
  readonly configuration: Configuration;
  readonly membership: MembershipState;
  readonly requests: RequestsState;
}

/** What happens to an entry. */
export type EntryEvent =
  | { readonly kind: 'linkOpened'; readonly linkId: string }
  | { readonly kind: 'linkClosed'; readonly linkId: string }
  | { readonly kind: 'received'; readonly linkId: string; readonly message: AgentMessage }
  | { readonly kind: 'arrived'; readonly request: CallerRequest }
  | StoreEvent
  | { readonly kind: 'timer'; readonly timer: EntryTimer }
  | { readonly kind: 'stop' };

/** What the shell of an entry has to do. */
export type EntryEffect =
  | { readonly kind: 'send'; readonly linkId: string; readonly message: EntryMessage }
  | { readonly kind: 'closeLink'; readonly linkId: string }
  | { readonly kind: 'reply'; readonly requestId: string; readonly outcome: Outcome }
  | StoreEffect
  | { readonly kind: 'wake'; readonly timer: EntryTimer; readonly afterMs: number }
  | { readonly kind: 'exit' };
