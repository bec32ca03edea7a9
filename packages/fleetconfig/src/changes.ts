import { assertNever } from '@bronzeyoke/types';
import type { FleetConfig } from '@bronzeyoke/workflow';

/** A field that differs between two configurations. */
export interface FieldChange {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** What differs between a configuration and the one in force. */
export type ConfigDifference =
  | { readonly kind: 'queueAdded'; readonly queue: string }
  | { readonly kind: 'queueRemoved'; readonly queue: string }
  | {
      readonly kind: 'queueChanged';
      readonly queue: string;
      readonly fields: readonly FieldChange[];
    }
  | { readonly kind: 'serviceAdded'; readonly service: string }
  | { readonly kind: 'serviceRemoved'; readonly service: string }
  | {
      readonly kind: 'serviceChanged';
      readonly service: string;
      readonly fields: readonly FieldChange[];
    }
  | {
      readonly kind: 'bodyLimitChanged';
      readonly beforeBytes: number;
      readonly afterBytes: number;
    };

/** Entries of one list by name, before and after. */
interface MatchedNames {
  readonly added: readonly string[];
  readonly removed: readonly string[];
  readonly changed: readonly { readonly name: string; readonly fields: readonly FieldChange[] }[];
}

function fieldChanges(before: object, after: object): readonly FieldChange[] {
  const known = new Map(Object.entries(before));
  const next = new Map(Object.entries(after));
  return [...new Set([...known.keys(), ...next.keys()])].flatMap((field) => {
    const change = { field, before: known.get(field), after: next.get(field) };
    return JSON.stringify(change.before) === JSON.stringify(change.after) ? [] : [change];
  });
}

function matchByName<Item extends object>(
  before: readonly Item[],
  after: readonly Item[],
  nameOf: (item: Item) => string,
): MatchedNames {
  const known = new Map(before.map((item) => [nameOf(item), item]));
  const next = new Map(after.map((item) => [nameOf(item), item]));
  return {
    added: [...next.keys()].filter((name) => !known.has(name)),
    removed: [...known.keys()].filter((name) => !next.has(name)),
    changed: [...next].flatMap(([name, item]) => {
      const fields = fieldChanges(known.get(name) ?? item, item);
      return fields.length === 0 ? [] : [{ name, fields }];
    }),
  };
}

/** Returns what a configuration changes in the one in force. */
export function compareConfigs(
  next: FleetConfig,
  current: FleetConfig,
): readonly ConfigDifference[] {
  const queues = matchByName(current.queues, next.queues, ({ queue }) => queue);
  const services = matchByName(current.services, next.services, ({ service }) => service);
  const isSameLimit = current.maxBodyBytes === next.maxBodyBytes;
  return [
    ...queues.removed.map((queue) => ({ kind: 'queueRemoved', queue }) as const),
    ...queues.added.map((queue) => ({ kind: 'queueAdded', queue }) as const),
    ...queues.changed.map(
      ({ name, fields }) => ({ kind: 'queueChanged', queue: name, fields }) as const,
    ),
    ...services.removed.map((service) => ({ kind: 'serviceRemoved', service }) as const),
    ...services.added.map((service) => ({ kind: 'serviceAdded', service }) as const),
    ...services.changed.map(
      ({ name, fields }) => ({ kind: 'serviceChanged', service: name, fields }) as const,
    ),
    ...(isSameLimit
      ? []
      : [
          {
            kind: 'bodyLimitChanged',
            beforeBytes: current.maxBodyBytes,
            afterBytes: next.maxBodyBytes,
          } as const,
        ]),
  ];
}

function describeFields(fields: readonly FieldChange[]): string {
  return fields
    .map(
      ({ field, before, after }) =>
        `${field} ${JSON.stringify(before)} -> ${JSON.stringify(after)}`,
    )
    .join(', ');
}

/** Describes a difference in one line. */
export function describeDifference(difference: ConfigDifference): string {
  switch (difference.kind) {
    case 'queueAdded':
      return `queue ${difference.queue} is new`;
    case 'queueRemoved':
      return `queue ${difference.queue} is removed; its callers get 404`;
    case 'queueChanged':
      return `queue ${difference.queue}: ${describeFields(difference.fields)}`;
    case 'serviceAdded':
      return `service ${difference.service} is new`;
    case 'serviceRemoved':
      return `service ${difference.service} is removed`;
    case 'serviceChanged':
      return `service ${difference.service}: ${describeFields(difference.fields)}`;
    case 'bodyLimitChanged':
      return `body limit: ${difference.beforeBytes} -> ${difference.afterBytes} bytes`;
    default:
      return assertNever(difference);
  }
}
