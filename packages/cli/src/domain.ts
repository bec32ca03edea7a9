import { Command, Option } from 'clipanion';
import { ChangeCommand } from './change';

/** `domain out` and `domain in` */
export class DomainChange extends ChangeCommand {
  static override paths = [
    ['domain', 'out'],
    ['domain', 'in'],
  ];

  static override usage = Command.Usage({
    category: 'Tickets',
    description: 'take a failure domain out, or back in',
    details: `
      Writes a ticket with the new state of the domain, prints its number and waits until it is in
      force at every entry and agent. Exit code 7 means that the time limit passed first; the ticket
      stays accepted.
    `,
    examples: [
      ['Take a domain out', 'bronzeyoke domain out hobart'],
      ['Take it back in, with a longer wait', 'bronzeyoke domain in hobart --timeout-ms 120000'],
    ],
  });

  name = Option.String({ required: true });

  async run(): Promise<number> {
    const client = await this.client();
    const state = this.path[1];
    const number = await this.nextNumber(client);
    const changes = [{ kind: 'domain', name: this.name, state }];
    return this.waitForTicket(client, await this.apply(client, number, changes));
  }
}
