import { expect } from 'chai';
import { request } from 'undici';
import { createHttpUpstream, startAgent } from '@bronzeyoke/agent';
import type { RunningAgent } from '@bronzeyoke/agent';
import type { RunningEntry } from '@bronzeyoke/entry';
import { startEntry } from '@bronzeyoke/entry';
import type { StandinUpstream } from '@bronzeyoke/standins';
import {
  NO_UPSTREAM_FAULTS,
  calculateSpring,
  EXAMPLE_SPRING,
  startUpstream,
} from '@bronzeyoke/standins';

const HOST = '127.0.0.1';

interface Path {
  readonly entry: RunningEntry;
  readonly agent: RunningAgent;
  readonly upstream: StandinUpstream;
}

function rethrow(error: unknown): never {
  throw error;
}

async function startPath(): Promise<Path> {
  const upstream = await startUpstream(HOST, 0);
  const entry = await startEntry({
    domain: 'hobart',
    host: HOST,
    callerPort: 0,
    agentPort: 0,
    onError: rethrow,
    onFailure: () => undefined,
  });
  const agent = startAgent({
    profile: {
      worker: 'w1',
      domain: 'hobart',
      region: 'tasmania',
      rack: 'r1',
      service: 'quoter',
      slots: 8,
      connections: 64,
      total: { processorsMilli: 64_000, memoryMb: 250_000, accelerators: 0 },
    },
    entries: [{ host: HOST, port: entry.agentPort }],
    upstream: createHttpUpstream({ host: HOST, port: upstream.port, connections: 64 }),
    onError: rethrow,
  });
  return { entry, agent, upstream };
}

async function stopPath(path: Path): Promise<void> {
  path.agent.stop();
  await path.agent.stopped;
  path.entry.stop();
  await path.entry.stopped;
  await path.upstream.close();
}

async function requestPrice(
  path: Path,
  body: object,
  headers: Readonly<Record<string, string>> = {},
) {
  const response = await request(
    `http://${HOST}:${path.entry.callerPort}/v1/services/quoter/price`,
    { method: 'POST', body: JSON.stringify(body), headers },
  );
  return { status: response.statusCode, body: await response.body.json() };
}

async function waitUntilServed(path: Path): Promise<void> {
  const answer = await requestPrice(path, EXAMPLE_SPRING);
  if (answer.status === 200) return;
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  await waitUntilServed(path);
}

it('path: requests are answered completely over real sockets', async () => {
  const path = await startPath();
  await waitUntilServed(path);
  const answers = await Promise.all(
    Array.from({ length: 50 }, (_, index) =>
      requestPrice(path, { ...EXAMPLE_SPRING, travelMm: index }),
    ),
  );
  answers.forEach((answer, index) => {
    expect(answer.status).to.equal(200);
    expect(answer.body).to.deep.equal(calculateSpring({ ...EXAMPLE_SPRING, travelMm: index }));
  });
  await stopPath(path);
});

// A truncated body must never be taken for an answer.
it('path: a truncated answer becomes outcome unknown', async () => {
  const path = await startPath();
  await waitUntilServed(path);
  path.upstream.setFaults({ ...NO_UPSTREAM_FAULTS, cutsAnswers: true });
  const answer = await requestPrice(path, EXAMPLE_SPRING);
  expect(answer.status).to.equal(504);
  expect(answer.body).to.include({ type: 'urn:bronzeyoke:problem:outcome-unknown' });
  await stopPath(path);
});

// An agent closes its connection on a field over its limits, which would cut off other callers.
it('path: fields that agents refuse are refused at the entry', async () => {
  const path = await startPath();
  await waitUntilServed(path);
  const long = await requestPrice(path, EXAMPLE_SPRING, { 'idempotency-key': 'k'.repeat(201) });
  expect(long.status).to.equal(400);
  const name = await requestPrice(path, EXAMPLE_SPRING, { [`x-${'n'.repeat(300)}`]: '1' });
  expect(name.status).to.equal(400);
  expect((await requestPrice(path, EXAMPLE_SPRING)).status).to.equal(200);
  await stopPath(path);
});

it('path: a planned stop of the agent lets a request in progress finish', async () => {
  const path = await startPath();
  await waitUntilServed(path);
  path.upstream.setFaults({ ...NO_UPSTREAM_FAULTS, delayMs: 200 });
  const pending = requestPrice(path, EXAMPLE_SPRING);
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  path.agent.stop();
  expect((await pending).status).to.equal(200);
  await stopPath(path);
});
