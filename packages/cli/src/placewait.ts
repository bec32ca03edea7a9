import { z } from 'zod';
import { acceptValue } from '@bronzeyoke/decoding';

const lineSchema = z.discriminatedUnion('msg', [
  z.object({
    msg: z.literal('placeAwaited'),
    fitsEmpty: z.number(),
    withRoom: z.number(),
    belowLimit: z.number(),
  }),
  z.object({ msg: z.literal('placeFound'), awaitedMs: z.number() }),
]);

type PlaceLine = z.infer<typeof lineSchema>;

function countWorkers(count: number): string {
  return count === 1 ? '1 worker' : `${count} workers`;
}

function describeCause(line: Extract<PlaceLine, { msg: 'placeAwaited' }>): string {
  const { fitsEmpty, withRoom, belowLimit } = line;
  if (fitsEmpty === 0) return 'fits no worker, even an empty one';
  if (withRoom === 0) return `${countWorkers(fitsEmpty)} would fit it empty, none has room now`;
  if (belowLimit === 0) {
    return `room on ${countWorkers(withRoom)}, but all at the limit of tasks on a worker`;
  }
  return `${countWorkers(belowLimit)} could take it now: something else delays it`;
}

/** Describes a log line about a wait for a place in words; other lines have no description. */
export function describePlaceWait(line: unknown): string | undefined {
  const data = acceptValue(lineSchema, line);
  if (data === undefined) return undefined;
  switch (data.msg) {
    case 'placeAwaited':
      return describeCause(data);
    case 'placeFound':
      return `waited ${(data.awaitedMs / 1_000).toFixed(1)} s for a place`;
  }
}
