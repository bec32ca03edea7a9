import type { Resources } from './resources';

/** Whether operators let work run in a failure domain. */
export interface DomainState {
  readonly kind: 'domain';
  readonly name: string;
  readonly state: 'in' | 'out';
}

/** What operators ask of a latency-critical service. */
export interface ServiceState {
  readonly kind: 'service';
  readonly name: string;
  /** Set aside on each worker that has an upstream of the service. */
  readonly reserved: Resources;
  readonly targetLatencyMs: number;
  readonly defaultTimeoutMs: number;
}

/** Quota of a team. */
export interface TeamState {
  readonly kind: 'team';
  readonly name: string;
  readonly quota: Resources;
}

/** A standing task. Zero instances ends it. */
export interface WatcherState {
  readonly kind: 'watcher';
  readonly name: string;
  readonly team: string;
  readonly workKind: string;
  readonly reserved: Resources;
  readonly payload: string;
  readonly instances: number;
}

/** The whole new state of one thing that a ticket touches. */
export type ConfigChange = DomainState | ServiceState | TeamState | WatcherState;

/** A numbered change ticket. */
export interface Ticket {
  readonly number: number;
  readonly author: string;
  readonly changes: readonly ConfigChange[];
}

/** Identity of what a change touches, for example `domain/hobart`. */
export function changeKey(change: ConfigChange): string {
  return `${change.kind}/${change.name}`;
}

/** The configuration in force after all tickets up to a number. */
export interface Configuration {
  readonly number: number;
  readonly entries: readonly ConfigChange[];
}

/** The configuration before the first ticket. */
export const EMPTY_CONFIGURATION: Configuration = { number: 0, entries: [] };

/** Whether a failure domain may take work. A domain that no ticket has named is in. */
export function isDomainIn(configuration: Configuration, domain: string): boolean {
  return !configuration.entries.some(
    (entry) => entry.kind === 'domain' && entry.name === domain && entry.state === 'out',
  );
}
