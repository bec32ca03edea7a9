import { startWorker } from './host';
import { startTable } from './table';
import { behaviourFromPayload } from './behaviour';
import { startUpstream } from './upstream';
import { createWorkerModel } from './worker';

/**
 * Runs stand-ins in one process until SIGTERM or SIGINT: `main.ts table:7400 upstream:7451
 * worker:7461`. Port 0 takes any free port. Prints one line of JSON with the ports in order.
 */

const HOST = '127.0.0.1';
const WORKER_RESOURCES = { processorsMilli: 64_000, memoryMb: 250_000, accelerators: 4 };

interface Standin {
  readonly port: number;
  readonly close: () => Promise<void>;
}

async function startStandin(argument: string): Promise<Standin> {
  const [kind, portText = '0'] = argument.split(':');
  const port = Number(portText);
  switch (kind) {
    case 'table':
      return startTable(HOST, port);
    case 'upstream':
      return startUpstream(HOST, port);
    case 'worker':
      return startWorker(HOST, port, createWorkerModel(WORKER_RESOURCES, behaviourFromPayload));
    default:
      throw new TypeError(`${argument}: not table:<port>, upstream:<port> or worker:<port>`);
  }
}

const standins = await Promise.all(process.argv.slice(2).map(startStandin));
const stop = (): void => {
  Promise.all(standins.map((standin) => standin.close())).catch(() => undefined);
};
process.once('SIGTERM', stop);
process.once('SIGINT', stop);
process.stdout.write(`${JSON.stringify({ ports: standins.map((standin) => standin.port) })}\n`);
