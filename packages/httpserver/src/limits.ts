import type { MachineLimits } from '@bronzeyoke/types';
import { BYTES_PER_MB, USUAL_MACHINE } from '@bronzeyoke/types';

/** Limits on what the clients of a process may send and hold open, over all of its HTTP servers. */
export interface HttpLimits {
  /** Largest body of a request; a server may have a lower limit. */
  readonly maxBodyBytes: number;
  /** Memory of the bodies of all requests, until they are answered. */
  readonly maxBodiesBytes: number;
  /** Time until the head of the first request of a connection is complete. */
  readonly headTimeoutMs: number;
  /** Time from the head of a request to the end of its body. */
  readonly bodyTimeoutMs: number;
  /** Time without a request, or in which a client takes nothing of an answer. */
  readonly idleTimeoutMs: number;
  readonly maxHeadBytes: number;
  readonly maxHeadFields: number;
  readonly maxConnections: number;
  readonly maxConnectionsPerAddress: number;
  /** Requests of a connection that are not answered, or whose answers the client has not taken. */
  readonly maxUnanswered: number;
  /** Bytes of answers that the clients have not taken, over all connections. */
  readonly maxUnsentBytes: number;
}

/** Workers' heartbeats of up to 4 MiB have to be acknowledged. */
const MAX_BODY_BYTES = 4 * BYTES_PER_MB;

/** Share of the memory for bodies. Decoding takes several times the size of one body. */
const BODIES_SHARE = 1 / 16;

/** The least room for bodies takes two of the largest. A body of unknown length takes twice its size. */
const LEAST_BODIES = 2;

const UNSENT_SHARE = 1 / 32;

/** Long, because a suspended machine or a cut network delays a message by seconds. */
const TIMEOUT_MS = 60_000;

/** Share of the descriptors. The others are for connections of agents (`link`), calls and files. */
const CONNECTIONS_SHARE = 3 / 8;

/**
 * Memory of a connection: its socket, parser and an incomplete head of 16 KB. Connections may take an
 * eighth of the machine's memory.
 */
const CONNECTION_BYTES = 49_152;
const CONNECTIONS_MEMORY_SHARE = 1 / 8;

/** Returns the limits for a machine. Clients within the limits of the interfaces meet none of them. */
export function defaultLimits(machine: Partial<MachineLimits> = {}): HttpLimits {
  const { memoryMb = USUAL_MACHINE.memoryMb, maxFds = USUAL_MACHINE.maxFds } = machine;
  const memoryBytes = memoryMb * BYTES_PER_MB;
  const maxConnections = Math.floor(
    Math.min(
      maxFds * CONNECTIONS_SHARE,
      (memoryBytes * CONNECTIONS_MEMORY_SHARE) / CONNECTION_BYTES,
    ),
  );
  return {
    maxBodyBytes: MAX_BODY_BYTES,
    maxBodiesBytes: Math.max(LEAST_BODIES * MAX_BODY_BYTES, Math.floor(memoryBytes * BODIES_SHARE)),
    headTimeoutMs: TIMEOUT_MS,
    bodyTimeoutMs: TIMEOUT_MS,
    idleTimeoutMs: TIMEOUT_MS,
    maxHeadBytes: 16_384,
    maxHeadFields: 256,
    maxConnections,
    // Balancers and proxies put many clients behind one address.
    maxConnectionsPerAddress: maxConnections,
    maxUnanswered: 16,
    maxUnsentBytes: Math.floor(memoryBytes * UNSENT_SHARE),
  };
}

/** Returns limits with those that the settings name in place of the defaults. */
export function overrideLimits<Limits extends object>(
  defaults: Limits,
  named: { readonly [Name in keyof Limits]?: Limits[Name] | undefined },
): Limits {
  const given = Object.entries(named).filter(([, value]) => value !== undefined);
  return { ...defaults, ...Object.fromEntries(given) };
}
