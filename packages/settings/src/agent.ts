import { z } from 'zod';
import { logLevel, metricsAddress, name, peerAddress } from './fields';

/** Settings of `bronzeyoke-agent`. */
export const agentSettings = z.strictObject({
  worker: name.describe('name of the worker that this agent runs beside'),
  domain: name.describe('failure domain of the worker'),
  region: name.describe('region of the worker'),
  rack: name.describe('rack of the worker'),
  entries: z.array(peerAddress).min(1).max(64).describe('addresses for agents of all entries'),
  upstream: z
    .strictObject({
      service: name.describe('service that the upstream belongs to'),
      address: peerAddress.describe('address of the upstream'),
      slots: z.int().min(1).max(4_096).describe('requests that the upstream runs at once'),
      connections: z.int().min(1).max(65_535).describe('connections that the upstream takes'),
    })
    .describe('upstream beside the agent'),
  total: z
    .strictObject({
      processorsMilli: z.int().min(1).max(10_000_000).describe('processors, in thousandths'),
      memoryMb: z.int().min(1).max(100_000_000).describe('memory, in megabytes'),
      accelerators: z.int().min(0).max(1_024).default(0).describe('whole accelerators'),
    })
    .describe('resources of the worker'),
  workerService: peerAddress
    .optional()
    .describe('address of the worker; without it no batch tasks'),
  metrics: metricsAddress,
  logLevel,
});

/** Settings of an agent, with defaults filled in. */
export type AgentSettings = z.infer<typeof agentSettings>;
