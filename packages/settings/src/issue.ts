import type { z } from 'zod';

/** Units by the suffix of the field name. */
const UNITS: readonly (readonly [suffix: string, unit: string])[] = [
  ['Ms', 'milliseconds'],
  ['Mb', 'megabytes'],
  ['Bytes', 'bytes'],
  ['Milli', 'thousandths'],
  ['PerSecond', 'events per second'],
  ['Ratio', 'a share from 0 to 1'],
];

/** Returns the unit that the suffix of a field name stands for, if any. */
export function unitOf(field: string): string | undefined {
  return UNITS.find(([suffix]) => field.endsWith(suffix))?.[1];
}

function typeName(value: unknown): string {
  if (value === null) return 'null';
  return Array.isArray(value) ? 'array' : typeof value;
}

/** Describes a validation issue, with the unit of the field. */
export function describeIssue(issue: z.core.$ZodIssue, value: unknown): string {
  const field = String(issue.path.at(-1) ?? '');
  const unit = unitOf(field);
  const unitNote = unit === undefined ? '' : ` (unit: ${unit})`;
  switch (issue.code) {
    case 'invalid_type':
      if (value === undefined) return `missing ${issue.expected}${unitNote}`;
      if (typeof value === 'number' && !Number.isFinite(value)) return `too large${unitNote}`;
      return typeof value === 'number'
        ? `expected a whole number${unitNote}`
        : `expected ${issue.expected}, found ${typeName(value)}${unitNote}`;
    case 'too_small':
      if (typeof value === 'number' && value < 0) return `negative${unitNote}`;
      return issue.origin === 'number' || issue.origin === 'int'
        ? `less than ${issue.inclusive === true ? '' : 'or equal to '}${issue.minimum}${unitNote}`
        : `needs at least ${issue.minimum}`;
    case 'too_big':
      return issue.origin === 'number' || issue.origin === 'int'
        ? `too large: the maximum is ${issue.maximum}${unitNote}`
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
