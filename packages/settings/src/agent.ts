import { z } from 'zod';
import { logLevelSchema, metricsAddressSchema, nameSchema, peerAddressSchema } from './fields';
import { httpLimitsSchema } from './limits';

/** Schema of the settings file of `bronzeyoke-agent`. */
export const agentSettingsSchema = z.strictObject({
  worker: nameSchema.describe('name of the worker that this agent runs beside'),
  domain: nameSchema.describe('failure domain of the worker'),
  region: nameSchema.describe('region of the worker'),
  rack: nameSchema.describe('rack of the worker'),
  entries: z
    .array(peerAddressSchema)
    .min(1)
    .max(64)
    .describe('addresses for agents of all entries'),
  upstream: z
    .strictObject({
      service: nameSchema.describe('service that the upstream belongs to'),
      address: peerAddressSchema.describe('address of the upstream'),
      slots: z.int().min(1).max(4_096).describe('requests that the upstream runs at once'),
      connections: z.int().min(1).max(65_535).describe('connections that the upstream accepts'),
    })
    .describe('upstream beside the agent'),
  total: z
    .strictObject({
      processorsMilli: z.int().min(1).max(10_000_000).describe('processors, in thousandths'),
      memoryMb: z.int().min(1).max(100_000_000).describe('memory, in megabytes'),
      accelerators: z.int().min(0).max(1_024).default(0).describe('whole accelerators'),
    })
    .describe('resources of the worker'),
  workerService: peerAddressSchema
    .optional()
    .describe('address of the worker; without it no batch tasks'),
  metrics: metricsAddressSchema,
  http: httpLimitsSchema
    .prefault({})
    .describe('limits on clients; those left out have the defaults of docs/platform.md'),
  logLevel: logLevelSchema,
});

/** Settings of an agent, with defaults filled in. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
