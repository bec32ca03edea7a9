import { z } from 'zod';
import { agentSettingsSchema } from './agent';
import { cliSettingsSchema } from './cli';
import { entrySettingsSchema } from './entry';
import { unitOf } from './issue';

type Json = z.core.JSONSchema.JSONSchema;

interface Field {
  readonly path: string;
  readonly schema: Json;
  readonly isRequired: boolean;
}

function isSchema(value: unknown): value is Json {
  return typeof value === 'object' && value !== null;
}

function fieldsOf(schema: Json, prefix: string): readonly Field[] {
  return Object.entries(schema.properties ?? {}).flatMap(([key, value]) => {
    if (!isSchema(value)) return [];
    const path = `${prefix}${key}`;
    const isRequired = schema.required?.includes(key) ?? false;
    const { items } = value;
    const inner = isSchema(items) && !Array.isArray(items) ? fieldsOf(items, `${path}[].`) : [];
    return [{ path, schema: value, isRequired }, ...fieldsOf(value, `${path}.`), ...inner];
  });
}

function limitsOf(schema: Json): string {
  const low = schema.exclusiveMinimum === undefined ? schema.minimum : undefined;
  return [
    ...(schema.enum === undefined ? [] : [schema.enum.map((each) => `\`${each}\``).join(', ')]),
    ...(schema.exclusiveMinimum === undefined ? [] : [`> ${schema.exclusiveMinimum}`]),
    ...(low === undefined ? [] : [`>= ${low}`]),
    ...(schema.maximum === undefined ? [] : [`<= ${schema.maximum}`]),
    ...(schema.minItems === undefined ? [] : [`>= ${schema.minItems} items`]),
    ...(schema.maxItems === undefined ? [] : [`<= ${schema.maxItems} items`]),
    ...(schema.maxLength === undefined ? [] : [`<= ${schema.maxLength} characters`]),
  ].join(', ');
}

function defaultOf(field: Field): string {
  if (field.schema.default !== undefined) return `\`${JSON.stringify(field.schema.default)}\``;
  return field.isRequired ? 'required' : 'none';
}

function row(field: Field): string {
  const unit = unitOf(field.path) ?? '';
  const { type = '', description = '' } = field.schema;
  const cells = [
    `\`${field.path}\``,
    String(type),
    unit,
    defaultOf(field),
    limitsOf(field.schema),
    description,
  ];
  return `| ${cells.join(' | ')} |`;
}

function section(title: string, schema: z.ZodType): readonly string[] {
  const json = z.toJSONSchema(schema, { io: 'input' });
  return [
    `## ${title}`,
    '',
    '| field | type | unit | default | limits | meaning |',
    '|---|---|---|---|---|---|',
    ...fieldsOf(json, '').map(row),
    '',
  ];
}

/** The page docs/settings.md. */
export function renderSettingsPage(): string {
  return [
    '# Settings',
    '',
    'This page is generated from the schemas by `npm run settings-page`; a test holds it equal.',
    '',
    'A settings file is JSON with comments, at most 1 MiB. Hosts are IP numbers. An unknown field,',
    'a wrong type, a missing address or a number outside its limits is a fault. All faults of a file',
    'are listed with file, line, column and field, and the program ends with exit code 2.',
    '`bronzeyoke settings check` lists them without starting anything.',
    '',
    ...section('bronzeyoke-entry', entrySettingsSchema),
    ...section('bronzeyoke-agent', agentSettingsSchema),
    ...section('bronzeyoke', cliSettingsSchema),
  ].join('\n');
}
