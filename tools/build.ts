import { rm } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { buildPrograms } from './bundle';

const dist = fileURLToPath(new URL('../dist', import.meta.url));
await rm(dist, { recursive: true, force: true });
const lines = await buildPrograms(dist);
process.stdout.write(`${lines.join('\n')}\n`);
