import { Command, Option } from 'clipanion';
import { readJsonFile } from './base';
import { ChangeCommand } from './change';

/** `ticket apply` */
export class TicketApply extends ChangeCommand {
  static override paths = [['ticket', 'apply']];

  static override usage = Command.Usage({
    category: 'Tickets',
    description: 'apply a ticket from a file',
    details: `
      The file holds \`changes\` with the complete new state of everything that the ticket changes, and
      optionally \`number\`. Without a number the next one is used. Exit code 4 means that another
      ticket has the number.
    `,
    examples: [['Apply a ticket and wait', 'bronzeyoke ticket apply quota.jsonc']],
  });

  file = Option.String({ required: true });

  async run(): Promise<number> {
    const body = await readJsonFile(this.file);
    const client = await this.client();
    const { number, changes } = body;
    const ticketNumber = typeof number === 'number' ? number : await this.nextNumber(client);
    return this.waitForTicket(client, await this.apply(client, ticketNumber, changes));
  }
}
