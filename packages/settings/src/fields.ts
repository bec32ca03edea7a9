import { isIP } from 'node:net';
import { z } from 'zod';

const MAX_PORT = 65_535;
const MAX_NAME_CHARS = 64;

/** Name of a worker, a domain, a service, a team or a token. */
export const nameSchema = z
  .string()
  .max(MAX_NAME_CHARS)
  .regex(/^[A-Za-z0-9_-]+$/, 'only letters, digits, "-" and "_"');

/** IP number; names are refused because a process must not depend on name resolution. */
export const hostSchema = z.string().refine((text) => isIP(text) !== 0, 'not an IP number');

/** Where a process listens. Port 0 takes any free port. */
export const listenAddressSchema = z.strictObject({
  host: hostSchema.describe('IP number to listen on'),
  port: z.int().min(0).max(MAX_PORT).describe('TCP port; 0 takes any free port'),
});

/** Where another process listens. */
export const peerAddressSchema = z.strictObject({
  host: hostSchema.describe('IP number of the peer'),
  port: z.int().min(1).max(MAX_PORT).describe('TCP port of the peer'),
});

/** A duration in milliseconds, up to a limit. */
export function durationMsSchema(max: number): z.ZodInt {
  return z.int().min(1).max(max);
}

/** Log lines are written for changes of state only. */
export const logLevelSchema = z
  .enum(['debug', 'info', 'warn', 'error'])
  .default('info')
  .describe('lowest level of the log lines that are written');

/** Address of `/metrics` and `/healthz`. */
export const metricsAddressSchema = listenAddressSchema
  .optional()
  .describe('address of `/metrics` and `/healthz`; without it neither is served');
