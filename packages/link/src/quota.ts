import { Map } from 'immutable';
import type { MachineLimits } from '@bronzeyoke/types';
import { BYTES_PER_MB, USUAL_MACHINE, assertNever } from '@bronzeyoke/types';

/** Limits on the connections that a process accepts from agents and entries. */
export interface LinkLimits {
  readonly maxConnections: number;
  /** Memory of incomplete first messages, over all connections. */
  readonly maxUnprovenBytes: number;
  /** Time from the first byte of a connection to its first valid message. */
  readonly firstMessageTimeoutMs: number;
}

/** Share of the descriptors: each agent has one connection to the leader, and a second while it looks for it. */
const CONNECTIONS_SHARE = 1 / 2;

/** All agents of a fleet send their first reports to a new leader at the same time. */
const UNPROVEN_SHARE = 1 / 8;
const LEAST_UNPROVEN_BYTES = 8 * BYTES_PER_MB;

/** Long, because a suspended machine or a cut network delays a message by seconds. */
const FIRST_MESSAGE_TIMEOUT_MS = 60_000;

/** Returns the limits for a machine. Agents of the largest known fleets meet none of them. */
export function defaultLinkLimits(machine: Partial<MachineLimits> = {}): LinkLimits {
  const { memoryMb = USUAL_MACHINE.memoryMb, maxFds = USUAL_MACHINE.maxFds } = machine;
  return {
    maxConnections: Math.floor(maxFds * CONNECTIONS_SHARE),
    maxUnprovenBytes: Math.max(
      LEAST_UNPROVEN_BYTES,
      Math.floor(memoryMb * BYTES_PER_MB * UNPROVEN_SHARE),
    ),
    firstMessageTimeoutMs: FIRST_MESSAGE_TIMEOUT_MS,
  };
}

/**
 * An accepted connection. It is proven by its first valid message. A peer that only listens sends none,
 * so a connection without bytes has no time limit.
 */
type QuotaLink =
  | { readonly kind: 'silent'; readonly sinceMs: number }
  | { readonly kind: 'unproven'; readonly sinceMs: number; readonly bytes: number }
  | { readonly kind: 'proven' };

/** Accepted connections and the memory of those that are not proven. */
export interface LinkQuota {
  readonly links: Map<string, QuotaLink>;
  readonly unprovenBytes: number;
}

/** What happens on accepted connections. */
export type QuotaEvent =
  | { readonly kind: 'opened'; readonly linkId: string }
  /** Memory of the bytes that are kept of a first message. */
  | { readonly kind: 'buffered'; readonly linkId: string; readonly bytes: number }
  | { readonly kind: 'proven'; readonly linkId: string }
  | { readonly kind: 'closed'; readonly linkId: string }
  | { readonly kind: 'tick' };

/** Next quota, and the connections to close. */
export interface QuotaStep {
  readonly quota: LinkQuota;
  readonly closed: readonly string[];
}

/** Quota without connections. */
export const NO_LINKS: LinkQuota = { links: Map(), unprovenBytes: 0 };

function bytesOfLink(link: QuotaLink | undefined): number {
  return link?.kind === 'unproven' ? link.bytes : 0;
}

function sinceMsOf(link: QuotaLink): number {
  return link.kind === 'proven' ? Infinity : link.sinceMs;
}

function remove({ links, unprovenBytes }: LinkQuota, linkId: string): LinkQuota {
  return {
    links: links.delete(linkId),
    unprovenBytes: unprovenBytes - bytesOfLink(links.get(linkId)),
  };
}

function replace(quota: LinkQuota, linkId: string, link: QuotaLink): LinkQuota {
  return {
    links: quota.links.set(linkId, link),
    unprovenBytes: quota.unprovenBytes - bytesOfLink(quota.links.get(linkId)) + bytesOfLink(link),
  };
}

/** Closes the oldest of some connections, or the one that asks for room if there is no other. */
function closeOldest(
  quota: LinkQuota,
  linkId: string,
  matches: (link: QuotaLink) => boolean,
): QuotaStep {
  const victim =
    quota.links
      .entrySeq()
      .filter(([other, link]) => other !== linkId && matches(link))
      .minBy(([, link]) => sinceMsOf(link))?.[0] ?? linkId;
  return { quota: remove(quota, victim), closed: [victim] };
}

function makeRoom(step: QuotaStep, linkId: string, limits: LinkLimits): QuotaStep {
  const { quota, closed } = step;
  if (quota.unprovenBytes <= limits.maxUnprovenBytes) return step;
  const next = closeOldest(quota, linkId, (link) => link.kind === 'unproven');
  return makeRoom({ quota: next.quota, closed: [...closed, ...next.closed] }, linkId, limits);
}

/** Decides which connections are closed for want of room, or because their first message takes too long. */
export function stepQuota(
  quota: LinkQuota,
  event: QuotaEvent,
  { limits, nowMs }: { readonly limits: LinkLimits; readonly nowMs: number },
): QuotaStep {
  switch (event.kind) {
    case 'opened': {
      const { linkId } = event;
      const opened = replace(quota, linkId, { kind: 'silent', sinceMs: nowMs });
      return opened.links.size <= limits.maxConnections
        ? { quota: opened, closed: [] }
        : closeOldest(opened, linkId, (link) => link.kind !== 'proven');
    }
    case 'buffered': {
      const { linkId, bytes } = event;
      const link = quota.links.get(linkId);
      if (link === undefined || link.kind === 'proven') return { quota, closed: [] };
      const sinceMs = link.kind === 'unproven' ? link.sinceMs : nowMs;
      const buffered = replace(quota, linkId, { kind: 'unproven', sinceMs, bytes });
      return makeRoom({ quota: buffered, closed: [] }, linkId, limits);
    }
    case 'proven':
      return quota.links.has(event.linkId)
        ? { quota: replace(quota, event.linkId, { kind: 'proven' }), closed: [] }
        : { quota, closed: [] };
    case 'closed':
      return { quota: remove(quota, event.linkId), closed: [] };
    case 'tick': {
      const late = quota.links
        .filter(
          (link) =>
            link.kind === 'unproven' && nowMs - link.sinceMs >= limits.firstMessageTimeoutMs,
        )
        .keySeq()
        .toArray();
      return { quota: late.reduce(remove, quota), closed: late };
    }
    default:
      return assertNever(event);
  }
}
