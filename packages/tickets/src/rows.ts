import { z } from 'zod';
import { acceptValue, listOf } from '@bronzeyoke/decoding';
import type { Row, Transaction } from '@bronzeyoke/ports';
import type { ConfigChange, Ticket } from '@bronzeyoke/types';
import { changeKey } from '@bronzeyoke/types';

/** Key of the row that holds the highest accepted ticket number. */
export const HEAD_KEY = 'ticket/head';

/** Key prefixes of the rows that make up the configuration. */
export const STATE_PREFIXES = ['domain/', 'service/', 'team/', 'watcher/'] as const;

/** Returns the key of the row of a ticket. */
export function ticketRowKey(number: number): string {
  return `ticket/${number}`;
}

/** A ticket to be written. The token distinguishes its rows from those of other tickets. */
export interface PlannedTicket {
  readonly ticket: Ticket;
  readonly token: string;
  readonly acceptedAtMs: number;
}

/** Plans the transaction of a ticket, which advances the head by one and writes all new states. */
export function planTicket(planned: PlannedTicket, headVersion: number): Transaction {
  const { ticket, token, acceptedAtMs } = planned;
  const ticketKey = ticketRowKey(ticket.number);
  return {
    conditions: [
      { key: HEAD_KEY, version: headVersion },
      { key: ticketKey, version: 0 },
    ],
    writes: [
      { kind: 'put', key: HEAD_KEY, value: { number: ticket.number, token } },
      { kind: 'put', key: ticketKey, value: { ...ticket, acceptedAtMs, token } },
      ...ticket.changes.map((change) => ({
        kind: 'put' as const,
        key: changeKey(change),
        value: { ticket: ticket.number, state: change },
      })),
    ],
  };
}

const headSchema = z.object({ number: z.int().min(0) });
const stateSchema = z.object({ ticket: z.int(), state: z.looseObject({ kind: z.string() }) });
const ticketSchema = z.object({
  number: z.int(),
  author: z.string(),
  changes: listOf(z.looseObject({ kind: z.string() })),
});

/** Parses the row of the head. The number is 0 without a row, before the first accepted ticket. */
export function headOf(rows: readonly Row[]): {
  readonly number: number;
  readonly version: number;
} {
  const row = rows.find((candidate) => candidate.key === HEAD_KEY);
  const head = acceptValue(headSchema, row?.value);
  return row !== undefined && head !== undefined
    ? { number: head.number, version: row.version }
    : { number: 0, version: row?.version ?? 0 };
}

/** Parses the state in a configuration row. Only checked changes are ever written. */
export function stateOf(row: Row): ConfigChange | undefined {
  return acceptValue(stateSchema, row.value)?.state as unknown as ConfigChange | undefined;
}

/** Parses the row of a ticket. */
export function ticketOf(row: Row): Ticket | undefined {
  const stored = acceptValue(ticketSchema, row.value);
  if (stored === undefined) return undefined;
  const { number, author, changes } = stored;
  return { number, author, changes: changes as unknown as readonly ConfigChange[] };
}
