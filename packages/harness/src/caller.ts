import type { CallerRequest } from '@bronzeyoke/types';
import type { CallerEnd } from './observation';
import { requestOf } from './upstream';
import type { Load, World } from './world';
import { chances, deliver, observe, schedule } from './world';

/** Sends a caller's request to an entry. */
export function ask(
  world: World,
  entryId: string,
  key: string | undefined,
  timeoutMs: number,
): World {
  const requestId = `r${world.sequence}`;
  const seen = observe(
    { ...world, sequence: world.sequence + 1 },
    { kind: 'asked', requestId, timeoutMs, ...(key === undefined ? {} : { key }) },
  );
  const request = requestOf(seen, requestId, key, timeoutMs);
  const waiting = seen.waiting.set(requestId, {
    entryId,
    askedAtMs: world.nowMs,
    phase: 'onTheWay',
  });
  const { callerDelayMs } = world.deployment;
  return schedule({ ...seen, waiting }, callerDelayMs, { kind: 'callerArrives', request });
}

/** Takes a caller's request to its entry, or refuses the connection if that one is gone. */
export function arriveAtEntry(world: World, request: CallerRequest): World {
  const { requestId } = request;
  const waiting = world.waiting.get(requestId);
  if (waiting === undefined) return world;
  const { entryId } = waiting;
  if (!world.processes.has(entryId)) {
    const end = { kind: 'refused' } as const;
    const { callerDelayMs } = world.deployment;
    return schedule(world, callerDelayMs, { kind: 'reply', requestId, entryId, end });
  }
  const arrived = world.waiting.set(requestId, { ...waiting, phase: 'arrived' });
  const event = { kind: 'entryEvent', event: { kind: 'arrived', request } } as const;
  return deliver({ ...world, waiting: arrived }, entryId, event, 0);
}

/** Shows a caller how its request ended. */
export function endRequest(world: World, requestId: string, end: CallerEnd): World {
  const waiting = world.waiting.get(requestId);
  const seen = observe(world, { kind: 'replied', requestId, end });
  if (waiting === undefined) return seen;
  const { askedAtMs } = waiting;
  const ending = { requestId, askedAtMs, endedAtMs: world.nowMs, end };
  const endings = world.isJudged ? seen.tally.endings : seen.tally.endings.push(ending);
  return {
    ...seen,
    waiting: seen.waiting.delete(requestId),
    tally: { ...seen.tally, endings },
  };
}

/** One arrival of a load, and the next one after an exponential gap. Entries are used in turn at random. */
export function offerLoad(world: World, load: Load): World {
  if (world.nowMs >= load.untilMs) return world;
  const [gap = 0.5, choice = 0] = chances(world, 7, 2);
  const entries = world.processes
    .valueSeq()
    .filter(({ kind }) => kind === 'entry')
    .toArray();
  const entry = entries[Math.floor(choice * entries.length)];
  const asked =
    entry === undefined ? world : ask(world, entry.processId, undefined, load.timeoutMs);
  const gapMs = (-Math.log(1 - gap) * 1_000) / load.perSecond;
  return schedule(asked, gapMs, { kind: 'offerLoad', load });
}
