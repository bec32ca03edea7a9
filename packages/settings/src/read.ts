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

/** Larger files are refused before they are parsed. */
export const MAX_SETTINGS_BYTES = 1_048_576;

/** The parser is recursive, so deeper nesting could exhaust the stack. */
const MAX_DEPTH = 32;

type Place = (offset: number, path: JSONPath, problem: string) => SettingsFault;

interface Found {
  readonly offset: number;
  readonly fault: SettingsFault;
}

function fieldName(path: JSONPath): string {
  return path.reduce<string>((name, part) => {
    if (typeof part === 'number') return `${name}[${part}]`;
    return name === '' ? part : `${name}.${part}`;
  }, '');
}

function placeIn(fileName: string, text: string): Place {
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

function tooDeepAt(text: string): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  for (let token: number = scanner.scan(); token !== END_TOKEN; token = scanner.scan()) {
    if (OPEN_TOKENS.includes(token)) depth += 1;
    if (CLOSE_TOKENS.includes(token)) depth -= 1;
    if (depth > MAX_DEPTH) return scanner.getTokenOffset();
  }
  return undefined;
}

function words(code: string): string {
  return code.replaceAll(/(?!^)[A-Z]/g, (letter) => ` ${letter.toLowerCase()}`).toLowerCase();
}

function syntaxFault(text: string, error: ParseError, place: Place): Found {
  const { path } = getLocation(text, error.offset);
  const problem = `not valid JSON: ${words(printParseErrorCode(error.error))}`;
  return { offset: error.offset, fault: place(error.offset, path, problem) };
}

function properties(node: Node): readonly Node[] {
  return node.type === 'object' ? (node.children ?? []) : [];
}

function keyOf(property: Node): string {
  return String(property.children?.[0]?.value);
}

function duplicates(node: Node, path: JSONPath, place: Place): readonly Found[] {
  const own = properties(node).flatMap((property, index, all) => {
    const key = keyOf(property);
    const isFirst = all.findIndex((other) => keyOf(other) === key) === index;
    if (isFirst) return [];
    const fault = place(property.offset, [...path, key], 'given more than once');
    return [{ offset: property.offset, fault }];
  });
  const inner = (node.children ?? []).flatMap((child, index) => {
    if (child.type !== 'property') return duplicates(child, [...path, index], place);
    const value = child.children?.[1];
    return value === undefined ? [] : duplicates(value, [...path, keyOf(child)], place);
  });
  return [...own, ...inner];
}

/** The node at a path, or the closest one around it when the path is absent. */
function closest(root: Node, path: JSONPath): Node {
  const node = findNodeAtLocation(root, [...path]);
  if (node !== undefined) return node;
  return path.length === 0 ? root : closest(root, path.slice(0, -1));
}

function propertyAt(root: Node, path: JSONPath): Node | undefined {
  const parent = findNodeAtLocation(root, path.slice(0, -1));
  const key = path.at(-1);
  return parent === undefined
    ? undefined
    : properties(parent).find((property) => keyOf(property) === key);
}

function schemaFaults(root: Node, issue: z.core.$ZodIssue, place: Place): readonly Found[] {
  const path = issue.path.map((part) => (typeof part === 'number' ? part : String(part)));
  if (issue.code === 'unrecognized_keys') {
    const known = issue.keys.map((key) => [...path, key]);
    return known.map((keyPath) => {
      const offset = propertyAt(root, keyPath)?.offset ?? closest(root, path).offset;
      return { offset, fault: place(offset, keyPath, 'unknown field') };
    });
  }
  // A field whose value could not be parsed has a syntax fault already.
  const property = propertyAt(root, path);
  const isUnparsed = property !== undefined && property.children?.length !== 2;
  if (isUnparsed) return [];
  const node = findNodeAtLocation(root, path);
  const { offset } = node ?? closest(root, path);
  const value: unknown = node === undefined ? undefined : getNodeValue(node);
  return [{ offset, fault: place(offset, path, describeIssue(issue, value)) }];
}

/** Reads settings: JSON with comments, checked by a schema. Lists every fault that it finds. */
export function readSettings<Schema extends z.ZodType>(
  schema: Schema,
  fileName: string,
  text: string,
): Result<z.infer<Schema>, readonly SettingsFault[]> {
  const place = placeIn(fileName, text);
  if (Buffer.byteLength(text) > MAX_SETTINGS_BYTES) {
    return fail([place(0, [], `larger than ${MAX_SETTINGS_BYTES} bytes`)]);
  }
  const deepAt = tooDeepAt(text);
  if (deepAt !== undefined) return fail([place(deepAt, [], `nested deeper than ${MAX_DEPTH}`)]);
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  const syntax = errors.map((error) => syntaxFault(text, error, place));
  if (root === undefined) {
    const faults = syntax.map((found) => found.fault);
    return fail(faults.length > 0 ? faults : [place(0, [], 'empty file')]);
  }
  const parsed = schema.safeParse(getNodeValue(root));
  const issues = parsed.success ? [] : parsed.error.issues;
  const found = [
    ...syntax,
    ...duplicates(root, [], place),
    ...issues.flatMap((issue) => schemaFaults(root, issue, place)),
  ];
  if (parsed.success && found.length === 0) return succeed(parsed.data);
  return fail(
    found.toSorted((left, right) => left.offset - right.offset).map((each) => each.fault),
  );
}
