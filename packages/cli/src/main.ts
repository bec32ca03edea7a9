import { version } from '../../../package.json';

process.stdout.write(`${version}\n`);
