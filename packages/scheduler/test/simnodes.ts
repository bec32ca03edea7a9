import type { StoredRow } from '@bronzeyoke/ports';
import type { RunnerEvent, RunnerState } from '@bronzeyoke/runner';
import type {
  HolderAnswer,
  SchedulerEvent,
  SchedulerState,
  SchedulerTimes,
  SchedulingPolicy,
} from '@bronzeyoke/scheduler';
import { LEADER_KEY } from '@bronzeyoke/scheduler';
import type { LogEffect } from '@bronzeyoke/telemetry';
import type { LeaderMessage, RunnerMessage } from '@bronzeyoke/wire';
import type { Clock, Span } from './simclock';
import type { CpuCosts } from './simcpu';
import type { RunHistory } from './simhistory';
import type { Hop } from './simhop';
import type { SimStore } from './simstore';
import type { SimWorker } from './simworker';

/** Duration of a message between two processes. */
export const HOP_MS: Span = [1, 3];

/** Port at which every entry accepts agents. */
export const PORT = 1;

/** Parts of the simulation that its processes use, and the observers of what they do. */
export interface World {
  readonly clock: Clock;
  readonly store: SimStore;
  readonly entryAt: (host: string) => EntryNode | undefined;
  /** Time of day that a host or machine shows. */
  readonly wallMsOf: (name: string) => number;
  readonly seeds: readonly string[];
  readonly times: SchedulerTimes;
  readonly costs: CpuCosts;
  readonly policy: SchedulingPolicy;
  /** Time after which orders, but not holds, reach the worker of a machine. */
  readonly orderDelayMs: (machine: string) => Span;
  /** State of the way from the agent of a machine to an address. */
  readonly hopOf: (machine: string, address: string) => Hop;
  /** Returns the worker that calls of the agent of a machine to an address reach. */
  readonly workerAt: (machine: string, address: string) => SimWorker | undefined;
  readonly history: RunHistory;
  readonly log: (who: string, text: string) => void;
  readonly onLog: (line: LogEffect) => void;
  readonly onSend: (entry: EntryNode, message: LeaderMessage) => void;
  /** A report has reached an entry, and may wait there. */
  readonly onReport: (workerKey: string) => void;
  /** An entry has handled an event. */
  readonly onStep: (state: SchedulerState, event: SchedulerEvent) => void;
  /** An answer to a transaction has waited for the processor of its entry. */
  readonly onCommitWait: (waitMs: number) => void;
}

/** A connection between an agent and an entry. Messages arrive in order. */
export interface Link {
  readonly linkId: string;
  readonly toAgent: (message: LeaderMessage) => void;
  readonly toEntry: (message: RunnerMessage) => void;
  /** Closes the connection; only the ends that are up learn of it. */
  readonly close: () => void;
}

/** Process of an entry. */
export interface EntryNode {
  readonly name: string;
  readonly host: string;
  readonly state: () => SchedulerState;
  readonly isUp: () => boolean;
  readonly isFrozen: () => boolean;
  readonly accepts: () => boolean;
  readonly dispatch: (event: SchedulerEvent) => void;
  readonly addLink: (link: Link) => void;
  readonly stop: () => void;
  readonly kill: () => void;
  readonly setFrozen: (isFrozen: boolean) => void;
  /** Makes the machine slower by a factor than its processors tell. */
  readonly setSlowness: (slowness: number) => void;
}

/** Process of an agent. */
export interface AgentNode {
  readonly state: () => RunnerState;
  readonly isUp: () => boolean;
  readonly dispatch: (event: RunnerEvent) => void;
  readonly heartbeat: () => void;
  /** Requests a planned stop. */
  readonly stop: () => void;
  readonly kill: () => void;
  /** Cuts the agent off from all entries, but neither from its worker nor from the store. */
  readonly setCut: (isCut: boolean) => void;
}

/** Returns what another entry learns that connects to an entry. A frozen one accepts, and says nothing. */
export function answerOf(entry: EntryNode | undefined): HolderAnswer {
  if (entry?.accepts() !== true) return { kind: 'refused' };
  return entry.isFrozen() ? { kind: 'silent' } : { kind: 'named', entryId: entry.name };
}

/** Returns the leader's row of a full read. */
export function leaderRowOf(rows: readonly StoredRow[]): StoredRow | undefined {
  return rows.find(({ key }) => key === LEADER_KEY.key);
}
