import type { CliFault } from './fault';
import { describeCliFault } from './fault';

/** Error that ends a command. `execute` turns its fault into an exit code. */
export class CliError extends Error {
  readonly fault: CliFault;

  constructor(fault: CliFault) {
    super(describeCliFault(fault));
    this.name = 'CliError';
    this.fault = fault;
  }
}
