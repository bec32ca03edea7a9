import type { CallerRequest } from '@bronzeyoke/types';
import type { CallerEnd } from './observation';
import { createRequest } from './upstream';
import type { World } from './world';
import { deliver, observe, schedule } from './world';

/** Sends a caller's request to an entry. */
export function sendRequest(
  world: World,
  entryId: string,
  key: string | undefined,
  timeoutMs: number,
): World {
  const requestId = `r${world.sequence}`;
  const observed = observe(
    { ...world, sequence: world.sequence + 1 },
    { kind: 'requestSent', requestId, timeoutMs, ...(key === undefined ? {} : { key }) },
  );
  const request = createRequest(observed, requestId, key, timeoutMs);
  const pendingRequests = observed.pendingRequests.set(requestId, {
    entryId,
    phase: 'onTheWay',
  });
  const { callerDelayMs } = world.deployment;
  return schedule({ ...observed, pendingRequests }, callerDelayMs, {
    kind: 'requestArrives',
    request,
  });
}

/** Delivers a caller's request to its entry, or refuses the connection if the entry has ended. */
export function deliverRequest(world: World, request: CallerRequest): World {
  const { requestId } = request;
  const pending = world.pendingRequests.get(requestId);
  if (pending === undefined) return world;
  const { entryId } = pending;
  if (!world.processes.has(entryId)) {
    const end = { kind: 'refused' } as const;
    const { callerDelayMs } = world.deployment;
    return schedule(world, callerDelayMs, { kind: 'reply', requestId, entryId, end });
  }
  const arrived = world.pendingRequests.set(requestId, { ...pending, phase: 'arrived' });
  const event = { kind: 'entryEvent', event: { kind: 'arrived', request } } as const;
  return deliver({ ...world, pendingRequests: arrived }, entryId, event, 0);
}

/** Reports the end of a request to its caller. */
export function endRequest(world: World, requestId: string, end: CallerEnd): World {
  const pending = world.pendingRequests.get(requestId);
  const observed = observe(world, { kind: 'replied', requestId, end });
  if (pending === undefined) return observed;
  return { ...observed, pendingRequests: observed.pendingRequests.delete(requestId) };
}
