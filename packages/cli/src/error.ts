import type { CliFault } from './fault';
import { describeCliFault } from './fault';

/** Ends a command with a fault; `execute` turns it into an exit code. */
export class CliError extends Error {
  readonly fault: CliFault;

  constructor(fault: CliFault) {
    super(describeCliFault(fault));
    this.name = 'CliError';
    this.fault = fault;
  }
}
