import type { LinkEvent } from '@bronzeyoke/link';
import type { LogEvent } from './types';

/** Logs the message for which a connection was closed, if it cannot be decoded. */
export function logMalformed<Message>(
  { failure }: Extract<LinkEvent<Message>, { readonly kind: 'closed' }>,
  log: LogEvent,
): void {
  if (failure?.kind !== 'malformedFrame') return;
  log('malformed', { what: 'message', problem: failure.problem });
}
