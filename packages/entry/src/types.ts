import type { BatchState, BatchTimer } from '@bronzeyoke/batch';
import type { LifecycleState } from '@bronzeyoke/lifecycle';
import type { MembershipState } from '@bronzeyoke/membership';
import type { StoreEffect, StoreEvent } from '@bronzeyoke/ports';
import type { RequestsState, RequestsTimer } from '@bronzeyoke/requests';
import type {
  AdminCommand,
  AdminReply,
  CallerRequest,
  Outcome,
  Result,
  Step,
} from '@bronzeyoke/types';
import type { TicketsState, TicketsTimer } from '@bronzeyoke/tickets';
import type { AgentMessage, EntryMessage } from '@bronzeyoke/wire';
import type { WorkersState, WorkersTimer } from '@bronzeyoke/workers';

/** Timers that the core of an entry sets with the effect `wake`. */
export type EntryTimer =
  | RequestsTimer
  | { readonly kind: 'linkCheck'; readonly linkId: string; readonly sequence: number }
  | { readonly kind: 'memberSweep' }
  | { readonly kind: 'stopTimeout' }
  | { readonly kind: 'checkWorkers' }
  | { readonly kind: 'batch'; readonly timer: BatchTimer }
  | { readonly kind: 'tickets'; readonly timer: TicketsTimer }
  | { readonly kind: 'workers'; readonly timer: WorkersTimer };

/** State of the core of an entry: its lifecycle, its components and the connected agents. */
export interface EntryState {
  readonly entryId: string;
  readonly lifecycle: LifecycleState;
  readonly domain: string;
  readonly tickets: TicketsState;
  readonly workers: WorkersState;
  readonly batch: BatchState;
  readonly membership: MembershipState;
  readonly requests: RequestsState;
  readonly wallOffsetMs: number;
}

/** Events that the core of an entry handles. */
export type EntryEvent =
  /** First event of an entry. The offset is the wall-clock time at monotonic time 0. */
  | { readonly kind: 'started'; readonly wallOffsetMs: number }
  | StoreEvent
  | { readonly kind: 'admin'; readonly callId: string; readonly command: AdminCommand }
  | { readonly kind: 'linkOpened'; readonly linkId: string }
  | { readonly kind: 'linkClosed'; readonly linkId: string }
  | { readonly kind: 'received'; readonly linkId: string; readonly message: AgentMessage }
  | { readonly kind: 'arrived'; readonly request: CallerRequest }
  | { readonly kind: 'timer'; readonly timer: EntryTimer }
  | { readonly kind: 'stop' };

/** Effects that the shell of an entry performs. */
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
  | { readonly kind: 'wake'; readonly timer: EntryTimer; readonly afterMs: number }
  | { readonly kind: 'exit' };

/** A step of an entry. */
export type EntryStep = Step<EntryState, EntryEffect>;
