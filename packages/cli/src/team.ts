import { Option } from 'clipanion';
import { BaseCommand } from './base';

/** Commands about one team's jobs. */
export abstract class TeamCommand extends BaseCommand {
  team = Option.String('--team', { description: 'team; a token of a team implies it' });

  jobsPath(action: string, query: Readonly<Record<string, string>> = {}): string {
    const all = { ...query, ...(this.team === undefined ? {} : { team: this.team }) };
    const text = new URLSearchParams(all).toString();
    return `/v1/jobs${action}${text === '' ? '' : `?${text}`}`;
  }
}
