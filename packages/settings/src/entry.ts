import { z } from 'zod';
import {
  listenAddressSchema,
  logLevelSchema,
  metricsAddressSchema,
  nameSchema,
  peerAddressSchema,
} from './fields';
import { httpLimitsSchema, linkLimitsSchema } from './limits';

const tokenSchema = z
  .strictObject({
    name: nameSchema.describe('recorded as the author of tickets'),
    sha256: z
      .string()
      .regex(/^[0-9a-f]{64}$/, 'not a SHA-256 hash in 64 lower-case hexadecimal digits')
      .describe('SHA-256 hash of the bearer token'),
    role: z.enum(['caller', 'team', 'operator']).describe('permissions of the token'),
    team: nameSchema.optional().describe('team of the token; required for the role `team`'),
    ratePerSecond: z
      .number()
      .positive()
      .max(10_000)
      .default(50)
      .describe('administration requests a second, on average'),
    burst: z.int().min(1).max(100_000).default(100).describe('administration requests at once'),
  })
  .refine((token) => (token.role === 'team') === (token.team !== undefined), {
    path: ['team'],
    message: 'required for the role "team", and for no other',
  });

/** Schema of the settings file of `bronzeyoke-entry`. */
export const entrySettingsSchema = z.strictObject({
  domain: nameSchema.describe('failure domain that this entry runs in'),
  callers: listenAddressSchema.describe('address for callers and for the administration API'),
  agents: listenAddressSchema.describe('address for agents'),
  metrics: metricsAddressSchema,
  table: peerAddressSchema
    .optional()
    .describe('address of the table service; without it no batch work'),
  tableConnections: z
    .int()
    .min(1)
    .max(256)
    .default(16)
    .describe('connections to the table service'),
  needsCallerToken: z
    .boolean()
    .default(false)
    .describe('whether calls of services need a bearer token'),
  tokens: z
    .array(tokenSchema)
    .max(1_000)
    .default([])
    .describe('bearer tokens of the administration API'),
  tracing: z
    .strictObject({
      endpoint: z
        .url({ protocol: /^https?$/ })
        .optional()
        .describe('URL that receives spans as OTLP/HTTP JSON; without it tracing is off'),
      sampleRatio: z
        .number()
        .min(0)
        .max(1)
        .default(0.01)
        .describe('share of the requests without a `traceparent` that are traced'),
    })
    .prefault({})
    .describe('distributed tracing'),
  http: httpLimitsSchema
    .prefault({})
    .describe('limits on clients; those left out have the defaults of docs/platform.md'),
  links: linkLimitsSchema
    .prefault({})
    .describe('limits on agents; those left out have the defaults of docs/platform.md'),
  logLevel: logLevelSchema,
});

/** Settings of an entry, with defaults filled in. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
