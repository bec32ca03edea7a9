import { isIP } from 'node:net';
import { z } from 'zod';

const MAX_PORT = 65_535;
const MAX_NAME_CHARS = 64;

/** Schema of the name of a worker, a domain, a service, a team or a token. */
export const nameSchema = z
  .string()
  .max(MAX_NAME_CHARS)
  .regex(/^[A-Za-z0-9_-]+$/, 'only letters, digits, "-" and "_"');

/** Schema of an IP number. Names are refused: no process may depend on name resolution. */
const hostSchema = z.string().refine((text) => isIP(text) !== 0, 'not an IP number');

/** Schema of an address that a process listens on. Port 0 takes any free port. */
export const listenAddressSchema = z.strictObject({
  host: hostSchema.describe('IP number to listen on'),
  port: z.int().min(0).max(MAX_PORT).describe('TCP port; 0 takes any free port'),
});

/** Schema of an address that another process listens on. */
export const peerAddressSchema = z.strictObject({
  host: hostSchema.describe('IP number of the peer'),
  port: z.int().min(1).max(MAX_PORT).describe('TCP port of the peer'),
});

/** Returns a schema of a duration from 1 ms up to a limit. */
export function durationMsSchema(maxMs: number): z.ZodInt {
  return z.int().min(1).max(maxMs);
}

/** Schema of the log level. Only changes of state are logged. */
export const logLevelSchema = z
  .enum(['debug', 'info', 'warn', 'error'])
  .default('info')
  .describe('lowest level of the log lines that are written');

/** Schema of the optional address of `/metrics` and `/healthz`. */
export const metricsAddressSchema = listenAddressSchema
  .optional()
  .describe('address of `/metrics` and `/healthz`; without it neither is served');
