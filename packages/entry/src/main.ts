import { createHttpTable } from '@bronzeyoke/adapters';
import { createHttpServers, defaultLimits, overrideLimits, reasonOf } from '@bronzeyoke/httpserver';
import { createLinkGuard, defaultLinkLimits } from '@bronzeyoke/link';
import type { EntrySettings } from '@bronzeyoke/settings';
import { entrySettingsSchema, runProgram } from '@bronzeyoke/settings';
import { createLog, createTracer, startMetricsServer } from '@bronzeyoke/telemetry';
import { version } from '../../../package.json';
import { createEntryMonitor } from './monitor';
import { startEntry } from './start';
import { createEntryTracing } from './tracing';

const PROGRAM_NAME = 'bronzeyoke-entry';

async function run(settings: EntrySettings): Promise<void> {
  const { callers, agents, domain, tracing, needsCallerToken, tokens } = settings;
  const log = createLog(PROGRAM_NAME, settings.logLevel);
  const monitor = createEntryMonitor(log);
  const { endpoint, sampleRatio } = tracing;
  const tracer =
    endpoint === undefined
      ? undefined
      : await createTracer({ endpoint, serviceName: PROGRAM_NAME, instanceId: domain });
  const table =
    settings.table === undefined
      ? undefined
      : createHttpTable({ ...settings.table, connections: settings.tableConnections });
  const countRefusal = (reason: string): void =>
    monitor.metrics.count('bronzeyoke_client_refusals_total', { reason });
  const limits = overrideLimits(defaultLimits(), settings.http);
  const servers = createHttpServers(limits, (report) => {
    const reason = reasonOf(report);
    if (reason !== undefined) countRefusal(reason);
  });
  const linkLimits = overrideLimits(defaultLinkLimits(), settings.links);
  const entry = await startEntry({
    domain,
    host: callers.host,
    callerPort: callers.port,
    agentHost: agents.host,
    agentPort: agents.port,
    ...(table === undefined ? {} : { table }),
    onError: monitor.onError,
    onFailure: monitor.onFailure,
    observe: monitor.observe,
    limited: { servers, limits },
    linkGuard: createLinkGuard(linkLimits, () => countRefusal('agentLinks')),
    admin: {
      tokens,
      needsCallerToken,
      count: (kind, result) => monitor.metrics.count('bronzeyoke_admin_total', { kind, result }),
    },
    ...(tracer === undefined
      ? {}
      : { tracing: createEntryTracing(tracer, sampleRatio, Math.random) }),
  });
  const metrics =
    settings.metrics === undefined
      ? undefined
      : await startMetricsServer(servers, settings.metrics, monitor);
  process.once('SIGTERM', entry.stop);
  process.once('SIGINT', entry.stop);
  const { entryId, callerPort, agentPort } = entry;
  const metricsPort = metrics?.port ?? 0;
  const fields = { entryId, domain, callerPort, agentPort, metricsPort };
  log({ level: 'info', message: 'serving', fields });
  await entry.stopped;
  metrics?.close();
  await tracer?.close();
  await table?.close();
  log({ level: 'info', message: 'handed over', fields: { ...monitor.handOver() } });
}

await runProgram(entrySettingsSchema, PROGRAM_NAME, version, run);
