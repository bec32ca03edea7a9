import { z } from 'zod';
import { acceptValue } from '@bronzeyoke/decoding';

const lineSchema = z.discriminatedUnion('msg', [
  z.object({
    msg: z.literal('taskSuspected'),
    ageMs: z.number(),
    prompt: z.number(),
    slow: z.number(),
    isSuspect: z.boolean(),
  }),
  z.object({ msg: z.literal('taskCleared') }),
  z.object({ msg: z.literal('jobEnded'), failure: z.literal('workersCrashed') }),
]);

/** Describes a log line about crashes of workers in words; other lines have no description. */
export function describeCrash(line: unknown): string | undefined {
  const data = acceptValue(lineSchema, line);
  if (data === undefined) return undefined;
  switch (data.msg) {
    case 'taskSuspected': {
      const crashes = data.prompt + data.slow;
      const next = data.isSuspect ? 'it is tried alone next' : 'it is not suspected yet';
      return `its worker crashed ${data.ageMs} ms after the start, crash ${crashes} under the task: ${next}`;
    }
    case 'taskCleared':
      return 'a worker has run it for long enough: it does not crash workers';
    case 'jobEnded':
      return 'given up: workers crashed whenever they started a task of it';
  }
}
