import type { RoleState } from '@bronzeyoke/lifecycle';
import type { MembershipState } from '@bronzeyoke/membership';
import type { StoreEffect, StoreEvent } from '@bronzeyoke/ports';
import type { Intent, RequestsState } from '@bronzeyoke/requests';
import type {
  AdminCommand,
  AdminReply,
  CallerRequest,
  Configuration,
  Outcome,
  Result,
} from '@bronzeyoke/types';
import type { AgentMessage, EntryMessage } from '@bronzeyoke/wire';

/** Timers of an entry. */
export type EntryTimer =
  { readonly kind: 'requestExpiry'; readonly requestId: string } | { readonly kind: 'stopLimit' };

/** State of an entry. */
export interface EntryState {
  readonly entryId: string;
  readonly role: RoleState;
  readonly configuration: Configuration;
  readonly membership: MembershipState;
  readonly requests: RequestsState;
  readonly wallOffsetMs: number;
}

/** What happens to an entry. */
export type EntryEvent =
  /** First event of an entry. The offset is the wall-clock time at monotonic time 0. */
  | { readonly kind: 'started'; readonly wallOffsetMs: number }
  | StoreEvent
  | { readonly kind: 'admin'; readonly callId: string; readonly command: AdminCommand }
  | { readonly kind: 'linkOpened'; readonly linkId: string }
  | { readonly kind: 'linkClosed'; readonly linkId: string }
  | { readonly kind: 'received'; readonly linkId: string; readonly message: AgentMessage }
  | { readonly kind: 'arrived'; readonly request: CallerRequest }
  | { readonly kind: 'intentStored'; readonly requestId: string }
  | { readonly kind: 'intentFound'; readonly requestId: string; readonly intent: Intent }
  | { readonly kind: 'intentFailed'; readonly requestId: string }
  | { readonly kind: 'timer'; readonly timer: EntryTimer }
  | { readonly kind: 'stop' };

/** What the shell of an entry has to do. */
export type EntryEffect =
  | StoreEffect
  | {
      readonly kind: 'adminReply';
      readonly callId: string;
      readonly result: Result<AdminReply>;
    }
  | { readonly kind: 'send'; readonly linkId: string; readonly message: EntryMessage }
  | { readonly kind: 'closeLink'; readonly linkId: string }
  | { readonly kind: 'reply'; readonly requestId: string; readonly outcome: Outcome }
  | { readonly kind: 'storeIntent'; readonly key: string; readonly intent: Intent }
  | { readonly kind: 'wake'; readonly timer: EntryTimer; readonly afterMs: number }
  | { readonly kind: 'exit' };
