import type { Result } from '@bronzeyoke/types';
import { fail, succeed } from '@bronzeyoke/types';
import { z } from 'zod';
import { heapCostLimit } from './cost';
import type { DecodeFault } from './fault';

/** Name of the field of a fault in the document as a whole. */
const WHOLE_DOCUMENT = 'body';

/** Longest field name and description of a fault: both may repeat parts of the document. */
const MAX_FAULT_CHARS = 256;

/** Returns the first fault of a part, as one of the whole. */
function faultAt(key: PropertyKey, input: unknown, { issues }: z.ZodError): z.core.$ZodRawIssue {
  const [issue] = issues;
  const path = [key, ...(issue?.path ?? [])];
  return { code: 'custom', message: issue?.message ?? 'not accepted', path, input };
}

/** Memory of a fault that a check records. */
const FAULT_COST_BYTES = 600;

/** Makes a check of the library end at the first fault. It is slower for values without a fault. */
const FIRST_FAULT: z.core.ParseContextInternal<z.core.$ZodIssue> = { abortEarly: true };

/**
 * Returns a schema of lists of any length, whose check ends at the first element with a fault. `z.array`
 * would record a fault for each element.
 */
export function listOf<Element extends z.ZodType>(element: Element) {
  return z
    .custom<readonly unknown[]>((value) => Array.isArray(value), 'expected a list')
    .transform((values, context): readonly z.output<Element>[] => {
      const accepted: z.output<Element>[] = [];
      const areAccepted = values.every((value, index) => {
        const parsed = element.safeParse(value);
        if (parsed.success) accepted.push(parsed.data);
        else context.issues.push(faultAt(index, value, parsed.error));
        return parsed.success;
      });
      return areAccepted ? accepted : z.NEVER;
    });
}

/** Returns a schema of objects with any names, whose check ends at the first member with a fault. */
export function recordOf<Value extends z.ZodType>(value: Value) {
  return z
    .record(z.string(), z.unknown())
    .transform((members, context): Readonly<Record<string, z.output<Value>>> => {
      const accepted: [string, z.output<Value>][] = [];
      const areAccepted = Object.entries(members).every(([name, member]) => {
        const parsed = value.safeParse(member);
        if (parsed.success) accepted.push([name, parsed.data]);
        else context.issues.push(faultAt(name, member, parsed.error));
        return parsed.success;
      });
      return areAccepted ? Object.fromEntries(accepted) : z.NEVER;
    });
}

function fieldOf(issue: z.core.$ZodIssue): string {
  const keys = issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [];
  const path = [...issue.path, ...keys].map(String).join('.');
  return path === '' ? WHOLE_DOCUMENT : path;
}

function notAccepted(issue: z.core.$ZodIssue | undefined): DecodeFault {
  return {
    kind: 'notAccepted',
    field: (issue === undefined ? WHOLE_DOCUMENT : fieldOf(issue)).slice(0, MAX_FAULT_CHARS),
    problem: (issue?.message ?? 'not accepted').slice(0, MAX_FAULT_CHARS),
  };
}

/**
 * Checks a decoded value against a schema. Returns what the schema makes of it, or the first fault. Lists of
 * any length in the schema have to be of `listOf`, and records of `recordOf`.
 */
export function checkValue<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): Result<z.output<Schema>, DecodeFault> {
  const parsed = schema.safeParse(value);
  return parsed.success ? succeed(parsed.data) : fail(notAccepted(parsed.error.issues[0]));
}

/** Returns what a schema makes of a decoded value; undefined when the schema does not accept it. */
export function acceptValue<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): z.output<Schema> | undefined {
  return schema.safeParse(value).data;
}

/**
 * Checks a decoded value against a schema and returns all faults for a person to read, but only the first
 * one where the value has so many parts that their faults could take too much memory.
 */
export function checkAll<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  partCount: number,
): Result<z.output<Schema>, readonly z.core.$ZodIssue[]> {
  const fitsAll = partCount * FAULT_COST_BYTES <= heapCostLimit();
  const parsed = schema.safeParse(value, fitsAll ? undefined : FIRST_FAULT);
  return parsed.success ? succeed(parsed.data) : fail(parsed.error.issues);
}
