import {
  createScanner,
  findNodeAtLocation,
  getLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';
import type { JSONPath, Node, ParseError } from 'jsonc-parser';
import { checkAll, heapCostLimit } from '@bronzeyoke/decoding';
import type { Result } from '@bronzeyoke/types';
import { fail } from '@bronzeyoke/types';
import type { z } from 'zod';
import type { SettingsFault } from './fault';
import { describeIssue } from './issue';

/** Maximum size of a settings file. Larger files are refused before they are parsed. */
export const MAX_SETTINGS_BYTES = 1_048_576;

/** Maximum nesting. The parser is recursive, so deeper nesting could exhaust the stack. */
const MAX_DEPTH = 32;

/** Memory of a token of a file: nodes of the syntax tree, the values made of them, and syntax faults. */
const TOKEN_COST_BYTES = 160;

/** Most faults that are listed. Each is located by reading the file up to it. */
const MAX_FAULTS = 50;

/** Fault at an offset of the file. */
interface Finding {
  readonly offset: number;
  readonly path: JSONPath;
  readonly problem: string;
}

function fieldName(path: JSONPath): string {
  return path.reduce<string>((name, part) => {
    if (typeof part === 'number') return `${name}[${part}]`;
    return name === '' ? part : `${name}.${part}`;
  }, '');
}

function toFault(
  fileName: string,
  text: string,
  { offset, path, problem }: Finding,
): SettingsFault {
  const before = text.slice(0, offset);
  const line = before.split('\n').length;
  const column = offset - (before.lastIndexOf('\n') + 1) + 1;
  return { fileName, line, column, field: fieldName(path), problem };
}

// The scanner's token kinds are a const enum, which isolated modules cannot import.
const OPEN_TOKENS: readonly number[] = [1, 3];
const CLOSE_TOKENS: readonly number[] = [2, 4];
const END_TOKEN = 17;

/** What parsing a file takes, counted from its tokens. */
type FileSize =
  | { readonly kind: 'fits'; readonly tokenCount: number }
  | { readonly kind: 'exceeds'; readonly finding: Finding };

function measureFile(text: string): FileSize {
  const maxTokens = Math.floor(heapCostLimit() / TOKEN_COST_BYTES);
  const scanner = createScanner(text, true);
  let depth = 0;
  let tokenCount = 0;
  const exceeds = (problem: string): FileSize => ({
    kind: 'exceeds',
    finding: { offset: scanner.getTokenOffset(), path: [], problem },
  });
  for (let token: number = scanner.scan(); token !== END_TOKEN; token = scanner.scan()) {
    if (OPEN_TOKENS.includes(token)) depth += 1;
    if (CLOSE_TOKENS.includes(token)) depth -= 1;
    if (depth > MAX_DEPTH) return exceeds(`nested deeper than ${MAX_DEPTH}`);
    tokenCount += 1;
    if (tokenCount > maxTokens) return exceeds(`more than ${maxTokens} tokens`);
  }
  return { kind: 'fits', tokenCount };
}

function camelCaseToWords(code: string): string {
  return code.replaceAll(/(?!^)[A-Z]/g, (letter) => ` ${letter.toLowerCase()}`).toLowerCase();
}

function syntaxFinding(text: string, { offset, error }: ParseError): Finding {
  const { path } = getLocation(text, offset);
  const problem = `not valid JSON: ${camelCaseToWords(printParseErrorCode(error))}`;
  return { offset, path, problem };
}

function propertiesOf(node: Node): readonly Node[] {
  return node.type === 'object' ? (node.children ?? []) : [];
}

function keyOf(property: Node): string {
  return String(property.children?.[0]?.value);
}

function findDuplicates(node: Node, path: JSONPath): readonly Finding[] {
  const keys = propertiesOf(node).map(keyOf);
  // Of entries with the same key, the last one stays, which is the first property.
  const firstIndex = new Map(keys.map((key, index) => [key, index] as const).toReversed());
  const ownFindings = propertiesOf(node).flatMap(({ offset }, index) => {
    const key = keys[index] ?? '';
    if (firstIndex.get(key) === index) return [];
    return [{ offset, path: [...path, key], problem: 'given more than once' }];
  });
  const innerFindings = (node.children ?? []).flatMap((child, index) => {
    if (child.type !== 'property') return findDuplicates(child, [...path, index]);
    const value = child.children?.[1];
    return value === undefined ? [] : findDuplicates(value, [...path, keyOf(child)]);
  });
  return [...ownFindings, ...innerFindings];
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

function schemaFindings(root: Node, issue: z.core.$ZodIssue): readonly Finding[] {
  const path = issue.path.map((part) => (typeof part === 'number' ? part : String(part)));
  if (issue.code === 'unrecognized_keys') {
    const keyPaths = issue.keys.slice(0, MAX_FAULTS).map((key) => [...path, key]);
    return keyPaths.map((keyPath) => {
      const offset = propertyAt(root, keyPath)?.offset ?? closestNode(root, path).offset;
      return { offset, path: keyPath, problem: 'unknown field' };
    });
  }
  // An unparsed value already has a syntax fault.
  const property = propertyAt(root, path);
  const isUnparsed = property !== undefined && property.children?.length !== 2;
  if (isUnparsed) return [];
  const node = findNodeAtLocation(root, path);
  const { offset } = node ?? closestNode(root, path);
  const value: unknown = node === undefined ? undefined : getNodeValue(node);
  return [{ offset, path, problem: describeIssue(issue, value) }];
}

/**
 * Parses settings as JSON with comments and checks them against a schema. Returns the first faults of the
 * file, or only the first one of the schema where all of them could take too much memory.
 */
export function readSettings<Schema extends z.ZodType>(
  schema: Schema,
  fileName: string,
  text: string,
): Result<z.infer<Schema>, readonly SettingsFault[]> {
  const failAt = (findings: readonly Finding[]) =>
    fail(
      findings
        .toSorted((left, right) => left.offset - right.offset)
        .slice(0, MAX_FAULTS)
        .map((finding) => toFault(fileName, text, finding)),
    );
  const failAtStart = (problem: string) => failAt([{ offset: 0, path: [], problem }]);
  if (Buffer.byteLength(text) > MAX_SETTINGS_BYTES) {
    return failAtStart(`larger than ${MAX_SETTINGS_BYTES} bytes`);
  }
  const size = measureFile(text);
  if (size.kind === 'exceeds') return failAt([size.finding]);
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  const syntaxFindings = errors.slice(0, MAX_FAULTS).map((error) => syntaxFinding(text, error));
  if (root === undefined) {
    return syntaxFindings.length > 0 ? failAt(syntaxFindings) : failAtStart('empty file');
  }
  const checked = checkAll(schema, getNodeValue(root), size.tokenCount);
  const issues = checked.ok ? [] : checked.failure.slice(0, MAX_FAULTS);
  const findings = [
    ...syntaxFindings,
    ...findDuplicates(root, []),
    ...issues.flatMap((issue) => schemaFindings(root, issue)),
  ];
  return checked.ok && findings.length === 0 ? checked : failAt(findings);
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
  return toFault(fileName, text, { offset, path, problem });
}
