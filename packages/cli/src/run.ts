import { Builtins, Cli } from 'clipanion';
import type { BaseContext } from 'clipanion';
import { TicketApply } from './apply';
import { JobCancel } from './cancel';
import { SettingsCheck } from './check';
import { DomainChange } from './domain';
import { LogsExplain } from './explain';
import { JobShow } from './job';
import { JobList } from './jobs';
import { TicketWhere } from './processes';
import { Status } from './status';
import { LogsLatency } from './latency';
import { JobSubmit } from './submit';
import { LogsSuspects } from './suspects';
import { TicketShow } from './ticket';
import { TicketList } from './tickets';
import { UpstreamList } from './upstreams';
import { JobWait } from './wait';
import { WorkerList } from './workers';

const COMMANDS = [
  DomainChange,
  JobCancel,
  JobList,
  JobShow,
  JobSubmit,
  JobWait,
  LogsExplain,
  LogsLatency,
  LogsSuspects,
  SettingsCheck,
  Status,
  TicketApply,
  TicketList,
  TicketShow,
  TicketWhere,
  UpstreamList,
  WorkerList,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];

/** Runs a command and returns its exit code. */
export async function runCli(
  version: string,
  argv: readonly string[],
  context: Partial<BaseContext> = {},
): Promise<number> {
  const cli = new Cli({
    binaryLabel: 'bronzeyoke',
    binaryName: 'bronzeyoke',
    binaryVersion: version,
    enableColors: context.stdout === undefined && process.stdout.isTTY,
  });
  COMMANDS.forEach((command) => cli.register(command));
  return cli.run([...argv], context);
}
