import { createHttpWorker } from '@bronzeyoke/adapters';
import { createHttpServers, defaultLimits, overrideLimits, reasonOf } from '@bronzeyoke/httpserver';
import type { AgentSettings } from '@bronzeyoke/settings';
import { agentSettingsSchema, runProgram } from '@bronzeyoke/settings';
import { createLog, startMetricsServer } from '@bronzeyoke/telemetry';
import { version } from '../../../package.json';
import { createAgentMonitor } from './monitor';
import { startAgent } from './start';
import { createHttpUpstream } from './upstream';

const NAME = 'bronzeyoke-agent';
const KEEP_ALIVE_MS = 3_600_000;

async function run(settings: AgentSettings): Promise<void> {
  const { worker, domain, region, rack, total, entries, upstream, workerService } = settings;
  const { service, slots, connections } = upstream;
  const log = createLog(NAME, settings.logLevel);
  const monitor = createAgentMonitor(log);
  // Timers of the core do not keep the process alive, and without a connected entry no socket does.
  const keepAlive = setInterval(() => undefined, KEEP_ALIVE_MS);
  const limits = overrideLimits(defaultLimits(), settings.http);
  const servers = createHttpServers(limits, (report) => {
    const reason = reasonOf(report);
    if (reason !== undefined)
      monitor.metrics.count('bronzeyoke_agent_client_refusals_total', { reason });
  });
  const metrics =
    settings.metrics === undefined
      ? undefined
      : await startMetricsServer(servers, settings.metrics, monitor);
  const agent = startAgent({
    profile: { worker, domain, region, rack, service, slots, connections, total },
    entries,
    upstream: createHttpUpstream({ ...upstream.address, connections }),
    ...(workerService === undefined ? {} : { worker: createHttpWorker(workerService) }),
    onError: monitor.onError,
    observe: monitor.observe,
  });
  process.once('SIGTERM', agent.stop);
  process.once('SIGINT', agent.stop);
  const fields = { agentId: agent.agentId, worker, domain, metricsPort: metrics?.port ?? 0 };
  log({ level: 'info', message: 'serving', fields });
  const failure = await agent.stopped;
  clearInterval(keepAlive);
  metrics?.close();
  log({ level: 'info', message: 'handed over', fields: { ...monitor.handOver() } });
  if (failure !== undefined) {
    log({ level: 'error', message: 'stopped by a failure', fields: { ...failure } });
    process.exitCode = 1;
  }
}

await runProgram(agentSettingsSchema, NAME, version, run);
