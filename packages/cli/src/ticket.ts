import { Command, Option } from 'clipanion';
import { ticketSchema } from './answers';
import { BaseCommand } from './base';

/** `ticket show` */
export class TicketShow extends BaseCommand {
  static override paths = [['ticket', 'show']];

  static override usage = Command.Usage({
    category: 'Tickets',
    description: 'show a ticket with its whole content',
    examples: [['Show a ticket', 'bronzeyoke ticket show 12']],
  });

  number = Option.String({ required: true });

  async run(): Promise<number> {
    const path = `/v1/admin/tickets/${encodeURIComponent(this.number)}`;
    const ticket = await this.fetch(ticketSchema, path);
    const lines = ticket.changes.map((change) => `  ${JSON.stringify(change)}\n`).join('');
    return this.print(ticket, `ticket ${ticket.number} by ${ticket.author}\n${lines}`);
  }
}
