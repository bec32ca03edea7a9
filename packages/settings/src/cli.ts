import { z } from 'zod';
import { durationMsSchema, peerAddressSchema } from './fields';

/** Schema of the settings file of the command line `bronzeyoke`. */
export const cliSettingsSchema = z.strictObject({
  entries: z
    .array(peerAddressSchema)
    .min(1)
    .max(64)
    .describe('addresses for callers of the entries, tried in order'),
  tokenFile: z
    .string()
    .min(1)
    .max(4_096)
    .optional()
    .describe('file with the bearer token; `BRONZEYOKE_TOKEN` takes precedence'),
  timeoutMs: durationMsSchema(600_000)
    .default(10_000)
    .describe('time until the answer to a request begins, and longest pause in it'),
});

/** Settings of the command line, with defaults filled in. */
export type CliSettings = z.infer<typeof cliSettingsSchema>;
