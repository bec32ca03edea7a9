import type { Resources } from './resources';

/** Whether operators allow work in a failure domain. */
export interface DomainState {
  readonly kind: 'domain';
  readonly name: string;
  readonly state: 'in' | 'out';
}

/** Reservation, latency target and timeout that operators set for a latency-critical service. */
export interface ServiceState {
  readonly kind: 'service';
  readonly name: string;
  /** Reserved on each worker that has an upstream of the service. */
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

/** Watcher: a task without an end, in a number of instances. Zero instances end it. */
export interface WatcherState {
  readonly kind: 'watcher';
  readonly name: string;
  readonly team: string;
  readonly workKind: string;
  readonly reserved: Resources;
  readonly payload: string;
  readonly instances: number;
}

/** Complete new state of an object that a ticket changes. */
export type ConfigChange = DomainState | ServiceState | TeamState | WatcherState;

/** Numbered set of configuration changes by one author. */
export interface Ticket {
  readonly number: number;
  readonly author: string;
  readonly changes: readonly ConfigChange[];
}

/** Returns the key of the object that a change sets, for example `domain/hobart`. */
export function changeKey(change: ConfigChange): string {
  return `${change.kind}/${change.name}`;
}

/** Configuration that results from all tickets up to a number. */
export interface Configuration {
  readonly number: number;
  readonly entries: readonly ConfigChange[];
}

/** Configuration before the first ticket. */
export const EMPTY_CONFIGURATION: Configuration = { number: 0, entries: [] };

/** Returns whether a failure domain accepts work. A domain that no ticket names does. */
export function isDomainIn(configuration: Configuration, domain: string): boolean {
  return !configuration.entries.some(
    (entry) => entry.kind === 'domain' && entry.name === domain && entry.state === 'out',
  );
}
