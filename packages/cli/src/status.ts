import { Command } from 'clipanion';
import { statusSchema } from './answers';
import { BaseCommand } from './base';
import { sumBy } from './sum';

function formatCounts<Item>(items: readonly Item[], key: (item: Item) => string): string {
  const parts = Object.entries(sumBy(items, key)).map(([name, count]) => `${count} ${name}`);
  return parts.length === 0 ? 'none' : parts.join(', ');
}

/** `status` */
export class Status extends BaseCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    category: 'State',
    description: 'show the state of the first entry that answers',
    examples: [['Show the state', 'bronzeyoke status']],
  });

  async run(): Promise<number> {
    const path = '/v1/admin/status';
    const answer = await this.fetch(statusSchema, path);
    const { entryId, domain, uptimeMs, configuration, upstreams, workers } = answer;
    const domainsOut = configuration.entries.filter(
      (entry) => entry.kind === 'domain' && entry.state === 'out',
    );
    const lines = [
      ['entry', `${entryId} in ${domain}, up ${Math.round(uptimeMs / 1_000)} s`],
      ['ticket', configuration.number],
      ['domains out', domainsOut.map((entry) => entry.name).join(', ') || 'none'],
      ['upstreams', formatCounts(upstreams, (upstream) => upstream.health)],
      ['workers', formatCounts(workers, (worker) => worker.health)],
    ];
    const text = lines.map(([name = '', value = '']) => `${String(name).padEnd(12)}${value}\n`);
    return this.print(answer, text.join(''));
  }
}
