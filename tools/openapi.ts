import { writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { openApi } from '../packages/entry/src/openapi';

const path = fileURLToPath(new URL('../docs/openapi.json', import.meta.url));
await writeFile(path, `${JSON.stringify(openApi(), null, 2)}\n`);
