import { writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { renderSettingsPage } from '@bronzeyoke/settings';

await writeFile(
  fileURLToPath(new URL('../docs/settings.md', import.meta.url)),
  renderSettingsPage(),
);
