import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { z } from 'zod';
import { acceptValue, decodeJson } from '@bronzeyoke/decoding';

const lineSchema = z.looseObject({
  time: z.string(),
  hostname: z.string(),
  msg: z.string(),
  job: z.string().optional(),
  task: z.string().optional(),
  leftOut: z.number().optional(),
});

/** A line of the structured logs. */
export type LogLine = z.infer<typeof lineSchema>;

/** Parses a log line. Text before its first brace is skipped. */
function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start === -1) return undefined;
  const line = decodeJson(Buffer.from(text.slice(start)));
  return line.ok ? acceptValue(lineSchema, line.value) : undefined;
}

/** Calls back with each log line of an input; other text is skipped. */
export async function readLogLines(
  input: Readable,
  onLine: (line: LogLine) => void,
): Promise<void> {
  const reader = createInterface({ input, crlfDelay: Infinity });
  reader.on('line', (text) => {
    const line = parseLogLine(text);
    if (line !== undefined) onLine(line);
  });
  await new Promise((resolve) => {
    reader.once('close', resolve);
  });
}
