import { Command, Option } from 'clipanion';
import { BaseCommand, wholeNumber } from './base';
import { EXIT } from './fault';
import { formatTable } from './table';
import type { Process, Spread } from './where';
import { askWhere, describeSpread, isEverywhere } from './where';

function spreadTable(spread: Spread): string {
  return formatTable<Process>(
    [
      { title: 'PROCESS', cell: (process) => process.process },
      { title: 'ID', cell: (process) => process.id },
      { title: 'DOMAIN', cell: (process) => process.domain },
      { title: 'NUMBER', cell: (process) => process.number },
    ],
    spread.processes,
  );
}

/** `ticket where` */
export class TicketWhere extends BaseCommand {
  static override paths = [['ticket', 'where']];

  static override usage = Command.Usage({
    category: 'Tickets',
    description: 'show where a ticket is in force',
    details: 'Exit code 7 means that it is not in force everywhere yet.',
    examples: [['Show the processes', 'bronzeyoke ticket where 12']],
  });

  number = Option.String({ required: true });

  async run(): Promise<number> {
    const number = wholeNumber('number', this.number);
    const spread = await askWhere(await this.client(), number);
    const isDone = isEverywhere(spread, number);
    this.print({ ...spread, isEverywhere: isDone }, spreadTable(spread));
    this.progress(describeSpread(spread, number));
    return isDone ? EXIT.done : EXIT.timedOut;
  }
}
