import type {
  WorkerCommand,
  WorkerEffect,
  WorkerEvent,
  WorkerPort,
  WorkerReply,
} from '@bronzeyoke/ports';
import { assertNever } from '@bronzeyoke/types';

async function sendCommand(
  port: WorkerPort,
  incarnation: number,
  command: WorkerCommand,
): Promise<WorkerReply> {
  const { kind } = command;
  switch (kind) {
    case 'attach':
      return { kind, result: await port.attach(incarnation) };
    case 'start':
      return { kind, result: await port.start(incarnation, command.command) };
    case 'renew':
      return { kind, result: await port.renew(incarnation, command.ids, command.leaseMs) };
    case 'checkpoint':
      return { kind, result: await port.checkpoint(incarnation, command.id) };
    case 'throttle':
      return { kind, result: await port.throttle(incarnation, command.id, command.share) };
    case 'stop':
      return { kind, result: await port.stop(incarnation, command.id) };
    case 'usage':
      return { kind, result: await port.usage(incarnation) };
    case 'notices':
      return { kind, result: await port.notices(incarnation) };
    default:
      return assertNever(kind);
  }
}

/** Sends a command to the worker. Without a worker the reply is `unavailable`. */
export async function performWorkerEffect(
  port: WorkerPort | undefined,
  { callId, incarnation, command }: WorkerEffect,
): Promise<WorkerEvent> {
  const reply: WorkerReply =
    port === undefined
      ? { kind: command.kind, result: { kind: 'unavailable' } }
      : await sendCommand(port, incarnation, command);
  return { kind: 'workerDone', callId, reply };
}
