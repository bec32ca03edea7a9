import { createHttpUpstream, startAgent } from '@bronzeyoke/agent';
import { startEntry } from '@bronzeyoke/entry';
import { startUpstream } from '@bronzeyoke/standins';
import { startPassthrough } from './passthrough';

const HOST = '127.0.0.1';
const SLOTS = 64;

/** What the load test asks a child process to be. */
export type ChildRole =
  | { readonly kind: 'upstream' }
  | { readonly kind: 'passthrough'; readonly targetPort: number }
  | { readonly kind: 'entry' }
  | { readonly kind: 'agent'; readonly agentPort: number; readonly upstreamPort: number };

/** The ports that a part listens on, and the processor time that it has used so far. */
export type ChildReport =
  | { readonly kind: 'ready'; readonly port: number; readonly agentPort: number }
  | { readonly kind: 'used'; readonly processorMs: number };

function report(value: ChildReport): void {
  process.send?.(value);
}

function log(error: unknown): void {
  process.stderr.write(`${String(error)}\n`);
}

async function run(part: ChildRole): Promise<void> {
  switch (part.kind) {
    case 'upstream': {
      const { port } = await startUpstream(HOST, 0);
      report({ kind: 'ready', port, agentPort: 0 });
      return;
    }
    case 'passthrough':
      report({
        kind: 'ready',
        port: await startPassthrough(HOST, part.targetPort),
        agentPort: 0,
      });
      return;
    case 'entry': {
      const entry = await startEntry({
        domain: 'hobart',
        host: HOST,
        callerPort: 0,
        agentPort: 0,
        onError: log,
        onFailure: () => undefined,
      });
      report({ kind: 'ready', port: entry.callerPort, agentPort: entry.agentPort });
      return;
    }
    case 'agent':
      startAgent({
        profile: {
          worker: 'w1',
          domain: 'hobart',
          region: 'tasmania',
          rack: 'r1',
          service: 'quoter',
          slots: SLOTS,
          connections: SLOTS,
          total: { processorsMilli: 64_000, memoryMb: 250_000, accelerators: 0 },
        },
        entries: [{ host: HOST, port: part.agentPort }],
        upstream: createHttpUpstream({ host: HOST, port: part.upstreamPort, connections: SLOTS }),
        onError: log,
      });
      report({ kind: 'ready', port: 0, agentPort: 0 });
  }
}

process.on('message', (message: ChildRole | 'used') => {
  if (message === 'used') {
    const { user, system } = process.cpuUsage();
    report({ kind: 'used', processorMs: (user + system) / 1_000 });
    return;
  }
  run(message).catch(log);
});
