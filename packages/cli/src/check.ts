import { Command, Option } from 'clipanion';
import { agentSettingsSchema, cliSettingsSchema, entrySettingsSchema } from '@bronzeyoke/settings';
import { BaseCommand, readSettings } from './base';
import { CliError } from './error';

const SCHEMAS = {
  entry: entrySettingsSchema,
  agent: agentSettingsSchema,
  cli: cliSettingsSchema,
} as const;

/** `settings check` */
export class SettingsCheck extends BaseCommand {
  static override paths = [['settings', 'check']];

  static override usage = Command.Usage({
    category: 'State',
    description: 'list every fault of a settings file',
    details: 'Exit code 2 means that there are faults. Starts nothing and contacts no entry.',
    examples: [['Check the settings of an entry', 'bronzeyoke settings check entry e1.jsonc']],
  });

  program = Option.String({ required: true, name: 'entry|agent|cli' });

  file = Option.String({ required: true });

  async run(): Promise<number> {
    const { program, file } = this;
    if (program !== 'entry' && program !== 'agent' && program !== 'cli') {
      const problems = [`${program}: the program must be entry, agent or cli`];
      throw new CliError({ kind: 'settings', problems });
    }
    await readSettings(SCHEMAS[program], file);
    return this.print({ file, faults: [] }, `${file}: no faults\n`);
  }
}
