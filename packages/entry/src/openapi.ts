import { z } from 'zod';
import type { Operation } from './operations';
import { OPERATIONS, PARAMETERS, PROBLEMS, SCHEMAS } from './operations';

const registry = z.registry<{ readonly id: string }>();
Object.entries(SCHEMAS).forEach(([id, schema]) => registry.add(schema, { id }));

/** Returns the JSON Schema of a zod schema, with references to the components. */
function schemaOf(schema: z.ZodType, io: 'input' | 'output'): unknown {
  const { $schema, $defs, ...json } = z.toJSONSchema(schema, { io, metadata: registry });
  const text = JSON.stringify(json).replaceAll('#/$defs/', '#/components/schemas/');
  return JSON.parse(text) as unknown;
}

function componentSchemas(): unknown {
  const { schemas } = z.toJSONSchema(registry, { uri: (id) => `#/components/schemas/${id}` });
  return Object.fromEntries(
    Object.entries(schemas).map(([id, { $schema, $id, id: own, ...schema }]) => [id, schema]),
  );
}

/** Returns a reference to the component of a named schema, or the JSON Schema itself. */
function referenceOrSchema(schema: z.ZodType, io: 'input' | 'output'): unknown {
  const id = registry.get(schema)?.id;
  return id === undefined ? schemaOf(schema, io) : { $ref: `#/components/schemas/${id}` };
}

function parametersOf(operation: Operation): readonly unknown[] {
  const pathKeys = [...operation.path.matchAll(/\{(\w+)\}/g)].map((match) => match[1] ?? '');
  const parameter = (key: string, location: 'path' | 'query') => ({
    name: key,
    in: location,
    required: location === 'path',
    description: PARAMETERS[key]?.text ?? '',
    schema: schemaOf(PARAMETERS[key]?.schema ?? z.string(), 'input'),
  });
  return [
    ...pathKeys.map((key) => parameter(key, 'path')),
    ...(operation.query ?? []).map((key) => parameter(key, 'query')),
  ];
}

function operationOf(operation: Operation): unknown {
  const { operationId, summary, role, body, status, response } = operation;
  const problems = operation.problems
    .toSorted()
    .map((code) => [String(code), { $ref: `#/components/responses/${code}` }]);
  return {
    operationId,
    summary,
    description: role === 'team' ? 'Roles: team (own jobs), operator.' : 'Role: operator.',
    parameters: parametersOf(operation),
    ...(body === undefined
      ? {}
      : {
          requestBody: {
            required: true,
            content: { 'application/json': { schema: referenceOrSchema(body, 'input') } },
          },
        }),
    responses: {
      [status]: {
        description: 'Done.',
        content: { 'application/json': { schema: referenceOrSchema(response, 'output') } },
      },
      ...Object.fromEntries(problems),
    },
  };
}

/** Creates the OpenAPI document of the administration API, docs/openapi.json. */
export function createOpenApiDocument(): unknown {
  const paths = [...new Set(OPERATIONS.map((operation) => operation.path))].map((path) => [
    path,
    Object.fromEntries(
      OPERATIONS.filter((operation) => operation.path === path).map((operation) => [
        operation.method,
        operationOf(operation),
      ]),
    ),
  ]);
  return {
    openapi: '3.1.0',
    info: {
      title: 'bronzeyoke administration API',
      version: '1.0.0',
      license: { name: 'Apache-2.0', identifier: 'Apache-2.0' },
    },
    security: [{ bearer: [] }],
    paths: Object.fromEntries(paths),
    components: {
      schemas: componentSchemas(),
      responses: Object.fromEntries(
        Object.entries(PROBLEMS).map(([code, description]) => [
          code,
          {
            description,
            content: {
              'application/problem+json': { schema: { $ref: '#/components/schemas/problem' } },
            },
          },
        ]),
      ),
      securitySchemes: { bearer: { type: 'http', scheme: 'bearer' } },
    },
  };
}
