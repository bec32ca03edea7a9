import { z } from 'zod';
import { agentSettingsSchema } from './agent';
import { cliSettingsSchema } from './cli';
import { entrySettingsSchema } from './entry';
import { unitOf } from './issue';

type JsonSchema = z.core.JSONSchema.JSONSchema;

interface Field {
  readonly path: string;
  readonly schema: JsonSchema;
  readonly isRequired: boolean;
}

function isSchema(value: unknown): value is JsonSchema {
  return typeof value === 'object' && value !== null;
}

function listFields(schema: JsonSchema, prefix: string): readonly Field[] {
  return Object.entries(schema.properties ?? {}).flatMap(([key, value]) => {
    if (!isSchema(value)) return [];
    const path = `${prefix}${key}`;
    const isRequired = schema.required?.includes(key) ?? false;
    const { items } = value;
    const itemFields =
      isSchema(items) && !Array.isArray(items) ? listFields(items, `${path}[].`) : [];
    return [{ path, schema: value, isRequired }, ...listFields(value, `${path}.`), ...itemFields];
  });
}

function formatLimits(schema: JsonSchema): string {
  const minimum = schema.exclusiveMinimum === undefined ? schema.minimum : undefined;
  return [
    ...(schema.enum === undefined ? [] : [schema.enum.map((value) => `\`${value}\``).join(', ')]),
    ...(schema.exclusiveMinimum === undefined ? [] : [`> ${schema.exclusiveMinimum}`]),
    ...(minimum === undefined ? [] : [`>= ${minimum}`]),
    ...(schema.maximum === undefined ? [] : [`<= ${schema.maximum}`]),
    ...(schema.minItems === undefined ? [] : [`>= ${schema.minItems} items`]),
    ...(schema.maxItems === undefined ? [] : [`<= ${schema.maxItems} items`]),
    ...(schema.maxLength === undefined ? [] : [`<= ${schema.maxLength} characters`]),
  ].join(', ');
}

function formatDefault(field: Field): string {
  if (field.schema.default !== undefined) return `\`${JSON.stringify(field.schema.default)}\``;
  return field.isRequired ? 'required' : 'none';
}

function formatRow(field: Field): string {
  const unit = unitOf(field.path) ?? '';
  const { type = '', description = '' } = field.schema;
  const cells = [
    `\`${field.path}\``,
    String(type),
    unit,
    formatDefault(field),
    formatLimits(field.schema),
    description,
  ];
  return `| ${cells.join(' | ')} |`;
}

function formatSection(title: string, schema: z.ZodType): readonly string[] {
  const json = z.toJSONSchema(schema, { io: 'input' });
  return [
    `## ${title}`,
    '',
    '| field | type | unit | default | limits | meaning |',
    '|---|---|---|---|---|---|',
    ...listFields(json, '').map(formatRow),
    '',
  ];
}

/** Renders docs/settings.md from the schemas. */
export function renderSettingsPage(): string {
  return [
    '# Settings',
    '',
    'This page is generated from the schemas by `npm run settings-page`; a test compares them.',
    '',
    'A settings file is JSON with comments, at most 1 MiB. Hosts are IP numbers. An unknown field,',
    'a wrong type, a missing address or a number outside its limits is a fault. The first 50 faults of a file',
    'are listed with file, line, column and field, and the program ends with exit code 2.',
    '`bronzeyoke settings check` lists them without starting anything.',
    '',
    ...formatSection('bronzeyoke-entry', entrySettingsSchema),
    ...formatSection('bronzeyoke-agent', agentSettingsSchema),
    ...formatSection('bronzeyoke', cliSettingsSchema),
  ].join('\n');
}
