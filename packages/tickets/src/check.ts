import type { ConfigChange, Configuration, Resources, Result } from '@bronzeyoke/types';
import { assertNever, changeKey, fail, succeed } from '@bronzeyoke/types';

/** Maximum changes in a ticket; with the rows of head and ticket they fit into one transaction. */
const MAX_CHANGES = 90;

// The configuration is sent to agents in one frame of at most 1.25 MB.
const MAX_CONFIGURATION_CHARS = 900_000;
const MAX_ENTRIES = 10_000;
const MAX_PAYLOAD_CHARS = 4_096;
const MAX_INSTANCES = 10_000;
const MAX_RESOURCE = 1e9;
const MAX_TIME_MS = 86_400_000;
const NAME = /^[A-Za-z0-9_-]{1,64}$/;

interface ChangeProblem {
  readonly field: string;
  readonly problem: string;
}

function isAmount(value: number, max: number): boolean {
  return Number.isFinite(value) && value >= 0 && value <= max;
}

function resourceProblems(field: string, resources: Resources): readonly ChangeProblem[] {
  return Object.entries(resources)
    .filter(([, value]) => !isAmount(value, MAX_RESOURCE))
    .map(([name]) => ({ field: `${field}.${name}`, problem: `not in 0..${MAX_RESOURCE}` }));
}

function nameProblems(field: string, name: string): readonly ChangeProblem[] {
  return NAME.test(name) ? [] : [{ field, problem: 'not 1 to 64 letters, digits, _ or -' }];
}

function timeProblems(field: string, value: number): readonly ChangeProblem[] {
  return isAmount(value, MAX_TIME_MS) && value > 0
    ? []
    : [{ field, problem: 'not a time of up to a day' }];
}

function changeProblems(change: ConfigChange): readonly ChangeProblem[] {
  const field = changeKey(change);
  switch (change.kind) {
    case 'domain':
      return [];
    case 'service':
      return [
        ...resourceProblems(`${field}.reserved`, change.reserved),
        ...timeProblems(`${field}.targetLatencyMs`, change.targetLatencyMs),
        ...timeProblems(`${field}.defaultTimeoutMs`, change.defaultTimeoutMs),
      ];
    case 'team':
      return resourceProblems(`${field}.quota`, change.quota);
    case 'watcher': {
      const isCount = Number.isInteger(change.instances) && change.instances >= 0;
      return [
        ...nameProblems(`${field}.team`, change.team),
        ...nameProblems(`${field}.workKind`, change.workKind),
        ...resourceProblems(`${field}.reserved`, change.reserved),
        ...(isCount && change.instances <= MAX_INSTANCES
          ? []
          : [{ field: `${field}.instances`, problem: `not in 0..${MAX_INSTANCES}` }]),
        ...(change.payload.length <= MAX_PAYLOAD_CHARS
          ? []
          : [{ field: `${field}.payload`, problem: `over ${MAX_PAYLOAD_CHARS} characters` }]),
      ];
    }
    default:
      return assertNever(change);
  }
}

/** Returns the configuration after the changes of a ticket. */
function applyChanges(
  configuration: Configuration,
  number: number,
  changes: readonly ConfigChange[],
): Configuration {
  const changed = new Set(changes.map(changeKey));
  const kept = configuration.entries.filter((entry) => !changed.has(changeKey(entry)));
  return { number, entries: [...kept, ...changes] };
}

/** Validates a ticket, but not that its number follows the head. Invalid tickets are never written. */
export function checkTicket(
  configuration: Configuration,
  author: string,
  number: number,
  changes: readonly ConfigChange[],
): Result<void> {
  const keys = changes.map(changeKey);
  const duplicate = keys.find((key, index) => keys.indexOf(key) !== index);
  const isCountValid = changes.length > 0 && changes.length <= MAX_CHANGES;
  const after = applyChanges(configuration, number, changes);
  const chars = JSON.stringify(after).length;
  const isTooLarge = after.entries.length > MAX_ENTRIES || chars > MAX_CONFIGURATION_CHARS;
  const problems: readonly ChangeProblem[] = [
    ...(Number.isSafeInteger(number) && number > 0
      ? []
      : [{ field: 'number', problem: 'not a positive whole number' }]),
    ...nameProblems('author', author),
    ...(isCountValid ? [] : [{ field: 'changes', problem: `not 1 to ${MAX_CHANGES} changes` }]),
    ...(duplicate === undefined ? [] : [{ field: duplicate, problem: 'changed twice' }]),
    ...changes.flatMap((change) => nameProblems(`${change.kind}.name`, change.name)),
    ...changes.flatMap(changeProblems),
    ...(isTooLarge ? [{ field: 'changes', problem: 'configuration too large' }] : []),
  ];
  const [first] = problems;
  return first === undefined ? succeed(undefined) : fail({ kind: 'invalid', ...first });
}
