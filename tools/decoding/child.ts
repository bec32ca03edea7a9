import { readFile } from 'node:fs/promises';
import { performance } from 'node:perf_hooks';
import { Decoder } from 'cbor-x';
import { z } from 'zod';
import { decodeCbor, decodeJson } from '@bronzeyoke/decoding';
import { assertNever } from '@bronzeyoke/types';
import { decodeHeartbeat } from '../../platform/decode';
import type { StepName, StepResult } from './steps';
import { walkValue } from './steps';

/** Runs one step of decoding on the document in a file, in a process of its own, and prints what it took. */

const [file = '', step = 'text'] = process.argv.slice(2);
const KB_PER_MB = 1_024;

/** A list without a bound on its length, whose faults are all recorded. */
const unbounded = z.object({ labels: z.array(z.string()) });

async function peakMb(): Promise<number> {
  const status = await readFile('/proc/self/status', 'utf8');
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / KB_PER_MB;
}

function run(name: StepName, bytes: Buffer): string {
  switch (name) {
    case 'text':
      return `${bytes.toString('utf8').length} characters`;
    case 'parse':
      return typeof JSON.parse(bytes.toString('utf8'));
    case 'walk':
      return String(walkValue(JSON.parse(bytes.toString('utf8'))));
    case 'faults': {
      const parsed = unbounded.safeParse(JSON.parse(bytes.toString('utf8')));
      return parsed.success ? 'accepted' : `${parsed.error.issues.length} faults`;
    }
    case 'bounded': {
      const decoded = decodeJson(bytes);
      if (!decoded.ok) return decoded.failure.kind;
      return decodeHeartbeat('i-1', decoded.value) === undefined ? 'notAccepted' : 'accepted';
    }
    case 'cbor':
      return typeof new Decoder({ useRecords: false }).decode(bytes);
    case 'boundedCbor': {
      const decoded = decodeCbor(bytes);
      return decoded.ok ? 'accepted' : decoded.failure.kind;
    }
    default:
      return assertNever(name);
  }
}

const document = await readFile(file);
const peakBeforeMb = await peakMb();
const startedAtMs = performance.now();
const outcome = run(step as StepName, document);
const tookMs = performance.now() - startedAtMs;
const result: StepResult = {
  tookMs,
  peakMb: (await peakMb()) - peakBeforeMb,
  outcome,
};
process.stdout.write(JSON.stringify(result));
