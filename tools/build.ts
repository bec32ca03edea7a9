import { rm } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { buildPrograms } from './bundle';

const [folder = 'dist'] = process.argv.slice(2);
const dist = fileURLToPath(new URL(`../${folder}`, import.meta.url));
await rm(dist, { recursive: true, force: true });
const lines = await buildPrograms(dist);
process.stdout.write(`${lines.join('\n')}\n`);
