import { Command } from 'clipanion';
import type { z } from 'zod';
import { upstreamsSchema } from './answers';
import { BaseCommand } from './base';
import { formatTable } from './table';

type Upstream = z.infer<typeof upstreamsSchema>['upstreams'][number];

/** `upstream list` */
export class UpstreamList extends BaseCommand {
  static override paths = [['upstream', 'list']];

  static override usage = Command.Usage({
    category: 'State',
    description: 'list the upstreams known to an entry',
    examples: [['List upstreams', 'bronzeyoke upstream list']],
  });

  async run(): Promise<number> {
    const path = '/v1/admin/upstreams';
    const answer = await this.fetch(upstreamsSchema, path);
    const table = formatTable<Upstream>(
      [
        { title: 'AGENT', cell: (upstream) => upstream.agentId },
        { title: 'SERVICE', cell: (upstream) => upstream.service },
        { title: 'DOMAIN', cell: (upstream) => upstream.domain },
        { title: 'HEALTH', cell: (upstream) => upstream.health },
        { title: 'USED', cell: (upstream) => upstream.inFlight },
        { title: 'LIMIT', cell: (upstream) => Math.round(upstream.limit) },
        { title: 'MS', cell: (upstream) => upstream.latencyMs.toFixed(1) },
      ],
      answer.upstreams,
    );
    return this.print(answer, table);
  }
}
