/**
 * JSON texts of about a given size whose decoding costs as much as possible for their bytes, each in another
 * way.
 */

const LIST_BRACKETS = 2;
const NAME_CHARS = 5;
const RADIX = 36;

/** Elements that are nested in one another, fewer than the deepest nesting that is decoded. */
const NESTED = 50;

/** Different members of an object after which V8 keeps its members in another way. */
const TRANSITIONS = 1_500;

/** Returns a name of the same length for each number. */
function nameOf(index: number): string {
  return index.toString(RADIX).padStart(NAME_CHARS, '_');
}

function repeat(sizeBytes: number, partOf: (index: number) => string): string {
  const count = Math.floor((sizeBytes - LIST_BRACKETS) / (Buffer.byteLength(partOf(0)) + 1));
  return Array.from({ length: Math.max(1, count) }, (_, index) => partOf(index)).join(',');
}

function listOf(sizeBytes: number, partOf: (index: number) => string): string {
  return `[${repeat(sizeBytes, partOf)}]`;
}

function textOf(sizeBytes: number, part: string): string {
  const count = Math.floor((sizeBytes - LIST_BRACKETS) / Buffer.byteLength(part));
  return `"${part.repeat(count)}"`;
}

/** Texts, which a document within the limits may hold at any length. */
export const TEXT_SHAPES: Readonly<Record<string, (sizeBytes: number) => string>> = {
  'one text': (sizeBytes) => textOf(sizeBytes, 'x'),
  'one wide text': (sizeBytes) => textOf(sizeBytes, 'é中'),
  'one text with a wide character': (sizeBytes) => `"中${textOf(sizeBytes - 3, 'x').slice(1)}`,
  'one escaped text': (sizeBytes) => textOf(sizeBytes, '\\u4e2d'),
};

/** Values that become many times the size of their text. */
export const DENSE_SHAPES: Readonly<Record<string, (sizeBytes: number) => string>> = {
  'empty objects': (sizeBytes) => listOf(sizeBytes, () => '{}'),
  'empty lists': (sizeBytes) => listOf(sizeBytes, () => '[]'),
  'lists of one': (sizeBytes) => listOf(sizeBytes, () => '[0]'),
  integers: (sizeBytes) => listOf(sizeBytes, () => '0'),
  fractions: (sizeBytes) => listOf(sizeBytes, () => '-0'),
  'mixed values': (sizeBytes) => listOf(sizeBytes, (index) => (index % 2 === 0 ? '""' : '-0')),
  'short texts': (sizeBytes) => listOf(sizeBytes, (index) => `"${nameOf(index)}"`),
  'objects of one member': (sizeBytes) => listOf(sizeBytes, () => '{"":0}'),
  'objects with new names': (sizeBytes) => listOf(sizeBytes, (index) => `{"${nameOf(index)}":0}`),
  'objects with new pairs of names': (sizeBytes) =>
    listOf(sizeBytes, (index) => {
      const first = nameOf(index % TRANSITIONS);
      const second = nameOf(Math.floor(index / TRANSITIONS));
      return `{"a${first}":0,"b${second}":0}`;
    }),
  'numbered members': (sizeBytes) => listOf(sizeBytes, () => '{"1023":0}'),
  'one object': (sizeBytes) => `{${repeat(sizeBytes, (index) => `"${nameOf(index)}":0`)}}`,
  'nested lists': (sizeBytes) =>
    listOf(sizeBytes, () => `${'['.repeat(NESTED)}${']'.repeat(NESTED)}`),
  'nested objects': (sizeBytes) =>
    listOf(sizeBytes, () => `${'{"a":'.repeat(NESTED)}0${'}'.repeat(NESTED)}`),
};
