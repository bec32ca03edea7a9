import { createHttpUpstream, startAgent } from '@bronzeyoke/agent';
import { startEntry } from '@bronzeyoke/entry';
import { startUpstream } from '@bronzeyoke/standins';
import { startPassthrough } from './passthrough';

const HOST = '127.0.0.1';
const SLOTS = 64;

/** Role of a child process in the load test. */
export type LoadRole =
  | { readonly kind: 'upstream' }
  | { readonly kind: 'passthrough'; readonly targetPort: number }
  | { readonly kind: 'entry' }
  | { readonly kind: 'agent'; readonly agentPort: number; readonly upstreamPort: number };

/** Message of a child process: the ports that it listens on, or its processor time so far. */
export type LoadReport =
  | { readonly kind: 'ready'; readonly port: number; readonly agentPort: number }
  | { readonly kind: 'used'; readonly processorMs: number };

function report(value: LoadReport): void {
  process.send?.(value);
}

function printError(error: unknown): void {
  process.stderr.write(`${String(error)}\n`);
}

async function run(role: LoadRole): Promise<void> {
  switch (role.kind) {
    case 'upstream': {
      const { port } = await startUpstream(HOST, 0);
      report({ kind: 'ready', port, agentPort: 0 });
      return;
    }
    case 'passthrough':
      report({
        kind: 'ready',
        port: await startPassthrough(HOST, role.targetPort),
        agentPort: 0,
      });
      return;
    case 'entry': {
      const entry = await startEntry({
        domain: 'hobart',
        host: HOST,
        callerPort: 0,
        agentPort: 0,
        onError: printError,
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
        entries: [{ host: HOST, port: role.agentPort }],
        upstream: createHttpUpstream({ host: HOST, port: role.upstreamPort, connections: SLOTS }),
        onError: printError,
      });
      report({ kind: 'ready', port: 0, agentPort: 0 });
  }
}

process.on('message', (message: LoadRole | 'used') => {
  if (message === 'used') {
    const { user, system } = process.cpuUsage();
    report({ kind: 'used', processorMs: (user + system) / 1_000 });
    return;
  }
  run(message).catch(printError);
});
