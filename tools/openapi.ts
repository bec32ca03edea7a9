import { writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { createOpenApiDocument } from '../packages/entry/src/openapi';

const path = fileURLToPath(new URL('../docs/openapi.json', import.meta.url));
await writeFile(path, `${JSON.stringify(createOpenApiDocument(), null, 2)}\n`);
