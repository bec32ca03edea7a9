import { createHash } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import { request } from 'undici';
import { z } from 'zod';
import { createHttpTable } from '@bronzeyoke/adapters';
import { startTable } from '@bronzeyoke/standins';
import { startEntry } from '../src';
import { createOpenApiDocument } from '../src/openapi';

const HOST = '127.0.0.1';

type Schema = z.core.JSONSchema.JSONSchema;

interface ResponseSpec {
  readonly content: Readonly<Record<string, { readonly schema: Schema }>>;
}

interface OperationSpec {
  readonly responses: Readonly<Record<string, ResponseSpec | { readonly $ref: string }>>;
}

interface Document {
  readonly paths: Readonly<Record<string, Readonly<Record<string, OperationSpec>>>>;
  readonly components: {
    readonly schemas: Readonly<Record<string, Schema>>;
    readonly responses: Readonly<Record<string, ResponseSpec>>;
  };
}

/** Returns the issues of a value under a schema that refers to components of the document. */
function issuesOf(document: Document, schema: Schema, value: unknown): readonly unknown[] {
  const whole = JSON.stringify({ ...schema, $defs: document.components.schemas });
  const local = JSON.parse(whole.replaceAll('#/components/schemas/', '#/$defs/')) as Schema;
  return z.fromJSONSchema(local).safeParse(value).error?.issues ?? [];
}

async function readDocument(): Promise<Document> {
  const path = new URL('../../../docs/openapi.json', import.meta.url);
  return JSON.parse(await readFile(path, 'utf8')) as Document;
}

const DECLARED = { processorsMilli: 1_000, memoryMb: 10, accelerators: 0 };
const BODIES: Readonly<Record<string, unknown>> = {
  '/v1/admin/tickets': {
    number: 1,
    changes: [{ kind: 'team', name: 'renders', quota: DECLARED }],
  },
  '/v1/jobs': {
    team: 'renders',
    key: 'k',
    workKind: 'render',
    declared: DECLARED,
    declaredRunMs: 5,
    deadlineAtMs: 4_000_000_000_000,
  },
};

it('openapi: the file matches the schemas that validate requests', async () => {
  expect(await readDocument()).to.deep.equal(JSON.parse(JSON.stringify(createOpenApiDocument())));
});

it('openapi: the responses of a running entry match the file', async () => {
  const document = await readDocument();
  const standin = await startTable(HOST, 0);
  const table = createHttpTable({ host: HOST, port: standin.port, connections: 4 });
  const sha256 = createHash('sha256').update('secret').digest('hex');
  const limit = { ratePerSecond: 100, burst: 100 };
  const entry = await startEntry({
    domain: 'hobart',
    host: HOST,
    callerPort: 0,
    agentPort: 0,
    table,
    onError: (error) => {
      throw error;
    },
    onFailure: () => undefined,
    admin: {
      tokens: [{ name: 'ops', sha256, role: 'operator', ...limit }],
      needsCallerToken: false,
      count: () => undefined,
    },
  });
  const sendRequest = async (
    path: string,
    method: string,
    operation: OperationSpec,
    authorization: string,
  ) => {
    const isRead = method === 'get';
    const filled = path.replace('{number}', '1').replace('{jobId}', 'none');
    const query = path.startsWith('/v1/jobs') ? '?team=renders' : '';
    const response = await request(`http://${HOST}:${entry.callerPort}${filled}${query}`, {
      method: isRead ? 'GET' : 'POST',
      headers: { authorization },
      ...(isRead ? {} : { body: JSON.stringify(BODIES[path] ?? {}) }),
    });
    const json: unknown = await response.body.json();
    const name = `${method} ${path} ${response.statusCode}`;
    const answer = operation.responses[String(response.statusCode)];
    expect(answer, name).to.not.equal(undefined);
    const { content } =
      answer !== undefined && 'content' in answer
        ? answer
        : (document.components.responses[String(response.statusCode)] ?? { content: {} });
    const schema = content[String(response.headers['content-type'])]?.schema;
    expect(schema, name).to.not.equal(undefined);
    expect(issuesOf(document, schema ?? {}, json), name).to.deep.equal([]);
    return response.statusCode;
  };
  const operations = Object.entries(document.paths).flatMap(([path, methods]) =>
    Object.entries(methods).map(([method, described]) => ({ path, method, described })),
  );
  // Runs the operations in order, since the first applies the ticket that later ones show.
  const statuses = await operations.reduce<Promise<readonly number[]>>(
    async (before, { path, method, described }) => [
      ...(await before),
      await sendRequest(path, method, described, 'Bearer secret'),
      await sendRequest(path, method, described, 'Bearer wrong'),
    ],
    Promise.resolve([]),
  );
  expect(statuses.filter((status) => status === 401)).to.have.length(operations.length);
  expect(statuses[0]).to.equal(201);
  entry.stop();
  await entry.stopped;
  await table.close();
  await standin.close();
});
