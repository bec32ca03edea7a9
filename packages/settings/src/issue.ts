import type { z } from 'zod';

/** Units by the suffix of a field's name. */
const UNITS: readonly (readonly [suffix: string, unit: string])[] = [
  ['Ms', 'milliseconds'],
  ['Mb', 'megabytes'],
  ['Bytes', 'bytes'],
  ['Milli', 'thousandths'],
  ['PerSecond', 'events per second'],
  ['Ratio', 'a share from 0 to 1'],
];

/** The unit that a field's name states, if any. */
export function unitOf(field: string): string | undefined {
  return UNITS.find(([suffix]) => field.endsWith(suffix))?.[1];
}

function typeName(value: unknown): string {
  if (value === null) return 'null';
  return Array.isArray(value) ? 'array' : typeof value;
}

/** What is wrong with a value, in words. */
export function describeIssue(issue: z.core.$ZodIssue, value: unknown): string {
  const field = String(issue.path.at(-1) ?? '');
  const unit = unitOf(field);
  const inUnit = unit === undefined ? '' : ` (unit: ${unit})`;
  switch (issue.code) {
    case 'invalid_type':
      if (value === undefined) return `missing ${issue.expected}${inUnit}`;
      if (typeof value === 'number' && !Number.isFinite(value)) return `too large${inUnit}`;
      return typeof value === 'number'
        ? `expected a whole number${inUnit}`
        : `expected ${issue.expected}, found ${typeName(value)}${inUnit}`;
    case 'too_small':
      if (typeof value === 'number' && value < 0) return `negative${inUnit}`;
      return issue.origin === 'number' || issue.origin === 'int'
        ? `less than ${issue.inclusive === true ? '' : 'or equal to '}${issue.minimum}${inUnit}`
        : `needs at least ${issue.minimum}`;
    case 'too_big':
      return issue.origin === 'number' || issue.origin === 'int'
        ? `too large: the maximum is ${issue.maximum}${inUnit}`
        : `too long: the maximum is ${issue.maximum}`;
    case 'invalid_value':
      return value === undefined
        ? `missing; one of ${issue.values.map(String).join(', ')}`
        : `expected one of ${issue.values.map(String).join(', ')}`;
    case 'invalid_format':
      return issue.format === 'url' ? 'not an http or https URL' : issue.message;
    default:
      return issue.message;
  }
}
