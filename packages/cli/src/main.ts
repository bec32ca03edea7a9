import { version } from '../../../package.json';
import { runCli } from './run';

process.exitCode = await runCli(version, process.argv.slice(2));
