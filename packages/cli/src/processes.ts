import { Command, Option } from 'clipanion';
import { BaseCommand, parseWholeNumber } from './base';
import { EXIT_CODES } from './fault';
import { formatTable } from './table';
import type { ProcessRollout, Rollout } from './rollout';
import { fetchRollout, describeRollout, isInForceEverywhere } from './rollout';

function formatRollout(rollout: Rollout): string {
  return formatTable<ProcessRollout>(
    [
      { title: 'PROCESS', cell: (process) => process.process },
      { title: 'ID', cell: (process) => process.id },
      { title: 'DOMAIN', cell: (process) => process.domain },
      { title: 'NUMBER', cell: (process) => process.number },
    ],
    rollout.processes,
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
    const number = parseWholeNumber('number', this.number);
    const rollout = await fetchRollout(await this.client(), number);
    const isDone = isInForceEverywhere(rollout, number);
    this.print({ ...rollout, isEverywhere: isDone }, formatRollout(rollout));
    this.progress(describeRollout(rollout, number));
    return isDone ? EXIT_CODES.done : EXIT_CODES.timedOut;
  }
}
