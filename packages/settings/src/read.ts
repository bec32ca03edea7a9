import {
  createScanner,
  findNodeAtLocation,
  getLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';
import type { JSONPath, Node, ParseError } from 'jsonc-parser';
import type { Result } from '@bronzeyoke/types';
import { fail, succeed } from '@bronzeyoke/types';
import type { z } from 'zod';
import type { SettingsFault } from './fault';
import { describeIssue } from './issue';

/** Maximum size of a settings file. Larger files are refused before they are parsed. */
export const MAX_SETTINGS_BYTES = 1_048_576;

/** Maximum nesting. The parser is recursive, so deeper nesting could exhaust the stack. */
const MAX_DEPTH = 32;

type FaultFactory = (offset: number, path: JSONPath, problem: string) => SettingsFault;

interface LocatedFault {
  readonly offset: number;
  readonly fault: SettingsFault;
}

function fieldName(path: JSONPath): string {
  return path.reduce<string>((name, part) => {
    if (typeof part === 'number') return `${name}[${part}]`;
    return name === '' ? part : `${name}.${part}`;
  }, '');
}

function createFaultFactory(fileName: string, text: string): FaultFactory {
  return (offset, path, problem) => {
    const before = text.slice(0, offset);
    const line = before.split('\n').length;
    const column = offset - (before.lastIndexOf('\n') + 1) + 1;
    return { fileName, line, column, field: fieldName(path), problem };
  };
}

// The scanner's token kinds are a const enum, which isolated modules cannot import.
const OPEN_TOKENS: readonly number[] = [1, 3];
const CLOSE_TOKENS: readonly number[] = [2, 4];
const END_TOKEN = 17;

function findExcessiveNesting(text: string): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  for (let token: number = scanner.scan(); token !== END_TOKEN; token = scanner.scan()) {
    if (OPEN_TOKENS.includes(token)) depth += 1;
    if (CLOSE_TOKENS.includes(token)) depth -= 1;
    if (depth > MAX_DEPTH) return scanner.getTokenOffset();
  }
  return undefined;
}

function camelCaseToWords(code: string): string {
  return code.replaceAll(/(?!^)[A-Z]/g, (letter) => ` ${letter.toLowerCase()}`).toLowerCase();
}

function syntaxFault(text: string, error: ParseError, faultAt: FaultFactory): LocatedFault {
  const { path } = getLocation(text, error.offset);
  const problem = `not valid JSON: ${camelCaseToWords(printParseErrorCode(error.error))}`;
  return { offset: error.offset, fault: faultAt(error.offset, path, problem) };
}

function propertiesOf(node: Node): readonly Node[] {
  return node.type === 'object' ? (node.children ?? []) : [];
}

function keyOf(property: Node): string {
  return String(property.children?.[0]?.value);
}

function findDuplicates(
  node: Node,
  path: JSONPath,
  faultAt: FaultFactory,
): readonly LocatedFault[] {
  const ownFaults = propertiesOf(node).flatMap((property, index, all) => {
    const key = keyOf(property);
    const isFirst = all.findIndex((other) => keyOf(other) === key) === index;
    if (isFirst) return [];
    const fault = faultAt(property.offset, [...path, key], 'given more than once');
    return [{ offset: property.offset, fault }];
  });
  const innerFaults = (node.children ?? []).flatMap((child, index) => {
    if (child.type !== 'property') return findDuplicates(child, [...path, index], faultAt);
    const value = child.children?.[1];
    return value === undefined ? [] : findDuplicates(value, [...path, keyOf(child)], faultAt);
  });
  return [...ownFaults, ...innerFaults];
}

/** Returns the node at a path, or its closest ancestor when the path is absent. */
function closestNode(root: Node, path: JSONPath): Node {
  const node = findNodeAtLocation(root, [...path]);
  if (node !== undefined) return node;
  return path.length === 0 ? root : closestNode(root, path.slice(0, -1));
}

function propertyAt(root: Node, path: JSONPath): Node | undefined {
  const parent = findNodeAtLocation(root, path.slice(0, -1));
  const key = path.at(-1);
  return parent === undefined
    ? undefined
    : propertiesOf(parent).find((property) => keyOf(property) === key);
}

function schemaFaults(
  root: Node,
  issue: z.core.$ZodIssue,
  faultAt: FaultFactory,
): readonly LocatedFault[] {
  const path = issue.path.map((part) => (typeof part === 'number' ? part : String(part)));
  if (issue.code === 'unrecognized_keys') {
    const keyPaths = issue.keys.map((key) => [...path, key]);
    return keyPaths.map((keyPath) => {
      const offset = propertyAt(root, keyPath)?.offset ?? closestNode(root, path).offset;
      return { offset, fault: faultAt(offset, keyPath, 'unknown field') };
    });
  }
  // An unparsed value already has a syntax fault.
  const property = propertyAt(root, path);
  const isUnparsed = property !== undefined && property.children?.length !== 2;
  if (isUnparsed) return [];
  const node = findNodeAtLocation(root, path);
  const { offset } = node ?? closestNode(root, path);
  const value: unknown = node === undefined ? undefined : getNodeValue(node);
  return [{ offset, fault: faultAt(offset, path, describeIssue(issue, value)) }];
}

/** Parses settings as JSON with comments and checks them against a schema. Returns all faults. */
export function readSettings<Schema extends z.ZodType>(
  schema: Schema,
  fileName: string,
  text: string,
): Result<z.infer<Schema>, readonly SettingsFault[]> {
  const faultAt = createFaultFactory(fileName, text);
  if (Buffer.byteLength(text) > MAX_SETTINGS_BYTES) {
    return fail([faultAt(0, [], `larger than ${MAX_SETTINGS_BYTES} bytes`)]);
  }
  const offset = findExcessiveNesting(text);
  if (offset !== undefined) return fail([faultAt(offset, [], `nested deeper than ${MAX_DEPTH}`)]);
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  const syntaxFaults = errors.map((error) => syntaxFault(text, error, faultAt));
  if (root === undefined) {
    const faults = syntaxFaults.map((item) => item.fault);
    return fail(faults.length > 0 ? faults : [faultAt(0, [], 'empty file')]);
  }
  const parsed = schema.safeParse(getNodeValue(root));
  const issues = parsed.success ? [] : parsed.error.issues;
  const located = [
    ...syntaxFaults,
    ...findDuplicates(root, [], faultAt),
    ...issues.flatMap((issue) => schemaFaults(root, issue, faultAt)),
  ];
  if (parsed.success && located.length === 0) return succeed(parsed.data);
  return fail(
    located.toSorted((left, right) => left.offset - right.offset).map((item) => item.fault),
  );
}

/** Returns a fault at the value of a path, or at its closest ancestor, in a file that can be parsed. */
export function locateFault(
  fileName: string,
  text: string,
  path: JSONPath,
  problem: string,
): SettingsFault {
  const root = parseTree(text, [], { allowTrailingComma: true });
  const offset = root === undefined ? 0 : closestNode(root, path).offset;
  return createFaultFactory(fileName, text)(offset, path, problem);
}
