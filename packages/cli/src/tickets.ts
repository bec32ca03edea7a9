import { Command, Option } from 'clipanion';
import type { TicketAnswer } from './answers';
import { ticketsSchema } from './answers';
import { BaseCommand } from './base';
import { formatTable } from './table';

function formatChanges(ticket: TicketAnswer): string {
  return ticket.changes.map((change) => `${change.kind}/${change.name}`).join(' ');
}

/** `ticket list` */
export class TicketList extends BaseCommand {
  static override paths = [['ticket', 'list']];

  static override usage = Command.Usage({
    category: 'Tickets',
    description: 'list tickets in order of their numbers',
    examples: [['List the next page', 'bronzeyoke ticket list --after 50']],
  });

  after = Option.String('--after', '0', { description: 'last number of the page before' });

  limit = Option.String('--limit', '50', { description: 'most tickets to list' });

  async run(): Promise<number> {
    const query = new URLSearchParams({ after: this.after, limit: this.limit });
    const path = `/v1/admin/tickets?${query.toString()}`;
    const answer = await this.fetch(ticketsSchema, path);
    const table = formatTable<TicketAnswer>(
      [
        { title: 'NUMBER', cell: (ticket) => ticket.number },
        { title: 'AUTHOR', cell: (ticket) => ticket.author },
        { title: 'CHANGES', cell: formatChanges },
      ],
      answer.tickets,
    );
    return this.print(answer, table);
  }
}
