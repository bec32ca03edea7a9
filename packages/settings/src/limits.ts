import { z } from 'zod';
import { durationMsSchema } from './fields';

const MAX_TIMEOUT_MS = 3_600_000;
const count = (max: number): z.ZodInt => z.int().min(1).max(max);
const bytes = (): z.ZodInt => count(2 ** 40);

/** Fields of the limits on clients of the HTTP servers, without defaults. */
export const httpLimitFields = {
  maxBodyBytes: bytes().describe('largest body of a request'),
  maxBodiesBytes: bytes().describe('memory of the bodies of all requests until their answers'),
  headTimeoutMs: durationMsSchema(MAX_TIMEOUT_MS).describe('time for the head of a request'),
  bodyTimeoutMs: durationMsSchema(MAX_TIMEOUT_MS).describe('time for the body of a request'),
  idleTimeoutMs: durationMsSchema(MAX_TIMEOUT_MS).describe(
    'time without a request, or in which a client takes nothing of an answer',
  ),
  maxHeadBytes: count(1_048_576).describe('largest head of a request'),
  maxHeadFields: count(2_000).describe('header fields of a request'),
  maxConnections: count(1_000_000).describe('connections of all clients'),
  maxConnectionsPerAddress: count(1_000_000).describe('connections from one IP number'),
  maxUnanswered: count(10_000).describe(
    'requests of a connection whose answers the client has not taken',
  ),
  maxUnsentBytes: bytes().describe('bytes of all answers that clients have not taken'),
};

/** Fields of the limits on connections of agents whose peers have sent no valid message. */
export const linkLimitFields = {
  maxConnections: count(1_000_000).describe('connections of all agents'),
  maxUnprovenBytes: bytes().describe(
    'memory of incomplete first messages, over all connections of agents',
  ),
  firstMessageTimeoutMs: durationMsSchema(MAX_TIMEOUT_MS).describe(
    'time from the first byte of a connection to its first valid message',
  ),
};

/** Schema of limits on clients; those left out follow from the machine. */
export const httpLimitsSchema = z.strictObject(httpLimitFields).partial();

/** Schema of limits on connections of agents; those left out follow from the machine. */
export const linkLimitsSchema = z.strictObject(linkLimitFields).partial();
