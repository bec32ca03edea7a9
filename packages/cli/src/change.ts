import { isDeepStrictEqual } from 'node:util';
import { Option } from 'clipanion';
import { acceptValue } from '@bronzeyoke/decoding';
import type { TicketAnswer } from './answers';
import { configurationSchema, ticketSchema } from './answers';
import { BaseCommand, parseWholeNumber } from './base';
import type { Client } from './client';
import { CliError } from './error';
import { describeRollout, isInForceEverywhere, waitForRollout } from './rollout';

/** Base of the commands that change the configuration. */
export abstract class ChangeCommand extends BaseCommand {
  noWait = Option.Boolean('--no-wait', false, {
    description: 'return once the ticket is accepted',
  });

  timeoutMs = Option.String('--timeout-ms', '60000', {
    description: 'longest wait until the ticket is in force everywhere',
  });

  /** Applies a ticket. If the answer is lost, reads back whether it was accepted. */
  async apply(client: Client, number: number, changes: unknown): Promise<TicketAnswer> {
    try {
      const body = { number, changes };
      return await this.request(client, ticketSchema, {
        method: 'POST',
        path: '/v1/admin/tickets',
        body,
      });
    } catch (error) {
      const isUnknown = error instanceof CliError && error.fault.kind === 'unknownOutcome';
      if (!isUnknown) throw error;
      const readBack = await client.call({ method: 'GET', path: `/v1/admin/tickets/${number}` });
      const ticket = readBack.ok ? acceptValue(ticketSchema, readBack.value) : undefined;
      if (ticket !== undefined && isDeepStrictEqual(ticket.changes, changes)) {
        return ticket;
      }
      throw error;
    }
  }

  async nextNumber(client: Client): Promise<number> {
    const path = '/v1/admin/configuration';
    return (await this.request(client, configurationSchema, { method: 'GET', path })).number + 1;
  }

  async waitForTicket(client: Client, ticket: TicketAnswer): Promise<number> {
    const { number } = ticket;
    if (!this.json) this.context.stdout.write(`ticket ${number} is accepted\n`);
    if (this.noWait) return this.print(ticket, '');
    const deadlineAtMs = Date.now() + parseWholeNumber('--timeout-ms', this.timeoutMs);
    const rollout = await waitForRollout(client, number, deadlineAtMs, (text) =>
      this.progress(text),
    );
    if (!isInForceEverywhere(rollout, number)) {
      throw new CliError({ kind: 'timedOut', waitedFor: describeRollout(rollout, number) });
    }
    return this.print({ ticket, ...rollout }, `ticket ${number} is in force everywhere\n`);
  }
}
