import type { CliFault } from './fault';
import { faultText } from './fault';

/** Ends a command with a fault; `execute` turns it into an exit code. */
export class CliError extends Error {
  readonly fault: CliFault;

  constructor(fault: CliFault) {
    super(faultText(fault));
    this.name = 'CliError';
    this.fault = fault;
  }
}
