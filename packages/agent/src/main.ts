import type { AgentSettings } from '@bronzeyoke/settings';
import { agentSettings, startProgram } from '@bronzeyoke/settings';
import { createLog, startMetricsServer } from '@bronzeyoke/telemetry';
import { version } from '../../../package.json';
import { createAgentMonitor } from './monitor';
import { startAgent } from './start';
import { createHttpUpstream } from './upstream';

const NAME = 'bronzeyoke-agent';
const KEEP_ALIVE_MS = 3_600_000;

function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}

async function run(settings: AgentSettings): Promise<void> {
  const { worker, domain, region, rack, total, entries, upstream } = settings;
  const { service, slots, connections } = upstream;
  const log = createLog(NAME, settings.logLevel);
  const monitor = createAgentMonitor(log);
  // Timers of the core do not keep the process alive, and without an entry no socket does.
  const keepAlive = setInterval(() => undefined, KEEP_ALIVE_MS);
  const metrics =
    settings.metrics === undefined
      ? undefined
      : await startMetricsServer(settings.metrics, monitor);
  const agent = startAgent({
    profile: { worker, domain, region, rack, service, slots, connections, total },
    entries,
    upstream: createHttpUpstream({ ...upstream.address, connections }),
    onError: monitor.onError,
    observe: monitor.observe,
  });
  process.once('SIGTERM', agent.stop);
  process.once('SIGINT', agent.stop);
  const fields = { agentId: agent.agentId, worker, domain, metricsPort: metrics?.port ?? 0 };
  log({ level: 'info', message: 'serving', fields });
  await agent.stopped;
  clearInterval(keepAlive);
  metrics?.close();
  log({ level: 'info', message: 'handed over', fields: { ...monitor.handOver() } });
}

const started = await startProgram(agentSettings, {
  name: NAME,
  version,
  argv: process.argv.slice(2),
  print: (line) => process.stdout.write(`${line}\n`),
  printError,
});
if (started.kind === 'end') {
  process.exitCode = started.exitCode;
} else {
  await run(started.settings).catch((error: unknown) => {
    printError(`${NAME}: ${error instanceof Error ? error.message : String(error)}`);
    // A part that started already would keep the process alive.
    // eslint-disable-next-line n/no-process-exit
    process.exit(1);
  });
}
