import type { CaseRecord } from './record';
import { startRecord } from './record';

/** Result of a case: what broke the rule, and whether the case could be tried. */
export interface Verdict {
  readonly broken: readonly string[];
  /** Why the case could not run, if it could not. */
  readonly unfit?: string;
}

const MAX_MS = 110_000;
const BROKEN = 1;
const UNFIT = 2;

async function finish(record: CaseRecord, { broken, unfit }: Verdict): Promise<void> {
  broken.forEach((text) => record.add('BROKEN', { what: text }));
  if (unfit !== undefined) record.add('UNFIT', { why: unfit });
  const isSaved = await record.save(process.argv[2] ?? 'record.txt').then(
    () => true,
    () => false,
  );
  const text = broken.length > 0 ? `rule broken: ${broken.length} times` : 'rule held';
  // The exit code stands also when nobody reads the output.
  process.stdout.on('error', () => undefined);
  process.stdout.write([unfit ?? text, ...broken.slice(0, 5), ''].join('\n'));
  process.exitCode = broken.length > 0 ? BROKEN : 0;
  if (unfit !== undefined || !isSaved) process.exitCode = UNFIT;
  // Ends what a broken connection or a timer might still keep alive.
  // eslint-disable-next-line n/no-process-exit -- a case has no work left here
  process.exit();
}

/**
 * Runs a case and writes its record. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
 * case could not run.
 */
export async function runCase(
  play: (record: CaseRecord, hasTrouble: boolean) => Promise<Verdict>,
): Promise<void> {
  const record = startRecord();
  const late = new Promise<Verdict>((resolve) => {
    setTimeout(() => resolve({ broken: [], unfit: 'out of time' }), MAX_MS).unref();
  });
  const played = play(record, process.env.TROUBLE !== '0').catch((error: unknown): Verdict => ({
    broken: [],
    unfit: error instanceof Error ? error.message : String(error),
  }));
  await finish(record, await Promise.race([played, late]));
}
