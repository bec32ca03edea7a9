import { Option } from 'clipanion';
import { BaseCommand } from './base';

/** Base of the commands for the jobs of a team. */
export abstract class TeamCommand extends BaseCommand {
  team = Option.String('--team', { description: 'team; a token of a team implies it' });

  jobsPath(action: string, query: Readonly<Record<string, string>> = {}): string {
    const fields = { ...query, ...(this.team === undefined ? {} : { team: this.team }) };
    const text = new URLSearchParams(fields).toString();
    return `/v1/jobs${action}${text === '' ? '' : `?${text}`}`;
  }
}
