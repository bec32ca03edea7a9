import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import {
  childContext,
  createHistogram,
  createMetrics,
  createTracer,
  formatTraceparent,
  parseTraceparent,
} from '../src';

const DEFINITIONS = {
  requests_total: { kind: 'counter', help: 'Requests.' },
  duration_seconds: { kind: 'summary', help: 'Durations.' },
  agents: { kind: 'gauge', help: 'Agents.' },
} as const;

const createTestMetrics = () => createMetrics(DEFINITIONS, createHistogram);

it('metrics: text has types, escaped labels and gauges', () => {
  const metrics = createTestMetrics();
  metrics.count('requests_total', { service: 'a"b\n' });
  metrics.observe('duration_seconds', { service: 's' }, 20);
  const lines = metrics.text([{ name: 'agents', labels: {}, value: 3 }]).split('\n');
  expect(lines).to.include('# TYPE requests_total counter');
  expect(lines).to.include('requests_total{service="a\\"b\\n"} 1');
  expect(lines).to.include('duration_seconds_count{service="s"} 1');
  expect(lines).to.include('agents 3');
});

it('metrics: names chosen by callers cannot exhaust the memory', () => {
  const metrics = createTestMetrics();
  Array.from({ length: 1_500 }, (_, index) => metrics.count('requests_total', { n: `${index}` }));
  expect(metrics.counterValue('requests_total', { other: 'true' })).to.equal(500);
});

it('trace: a malformed traceparent counts as absent', () => {
  const valid = `00-${'a'.repeat(32)}-${'b'.repeat(16)}-01`;
  expect(parseTraceparent(valid)).to.deep.include({ isSampled: true });
  const malformed = [
    undefined,
    '',
    `${valid}-00`,
    valid.replace('00-', 'ff-'),
    valid.replaceAll('a', '0'),
    'x'.repeat(100_000),
  ];
  expect(malformed.map(parseTraceparent)).to.deep.equal(malformed.map(() => undefined));
});

it('trace: a child keeps the trace id and the sampling decision', () => {
  const parent = parseTraceparent(`00-${'a'.repeat(32)}-${'b'.repeat(16)}-00`);
  const text = formatTraceparent(childContext(parent));
  expect(text)
    .to.match(/^00-a{32}-[0-9a-f]{16}-00$/)
    .and.not.contain('b'.repeat(16));
});

it('trace: spans are exported as OTLP JSON with the propagated ids', async () => {
  const bodies: string[] = [];
  const collector = createServer((request, response) => {
    request
      .toArray()
      .then((chunks) => {
        bodies.push(Buffer.concat(chunks as Buffer[]).toString('utf8'));
        response.writeHead(200, { 'content-type': 'application/json' }).end('{}');
      })
      .catch(() => response.destroy());
  });
  collector.listen(0, '127.0.0.1');
  await once(collector, 'listening');
  const { port } = collector.address() as AddressInfo;
  const tracer = await createTracer({
    endpoint: `http://127.0.0.1:${port}/v1/traces`,
    serviceName: 'bronzeyoke-entry',
    instanceId: 'e1',
  });
  const context = childContext(undefined);
  tracer.record({
    name: 'attempt',
    kind: 'client',
    context,
    parentSpanId: 'c'.repeat(16),
    startMs: 1_700_000_000_000,
    endMs: 1_700_000_000_005,
    attributes: { service: 'quoter' },
    isError: false,
  });
  await tracer.close();
  collector.close();
  collector.closeAllConnections();
  const [span] = JSON.parse(bodies.join('')).resourceSpans[0].scopeSpans[0].spans;
  expect(span).to.include({ traceId: context.traceId, spanId: context.spanId });
  expect(span).to.include({ parentSpanId: 'c'.repeat(16), name: 'attempt' });
  expect(BigInt(span.endTimeUnixNano) - BigInt(span.startTimeUnixNano)).to.equal(5_000_000n);
});
