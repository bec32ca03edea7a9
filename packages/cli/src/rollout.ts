import { setTimeout as sleep } from 'node:timers/promises';
import type { WhereAnswer } from './answers';
import { whereSchema } from './answers';
import type { Client } from './client';

const POLL_MS = 250;

/** A process and the number in force there. */
export type Process = WhereAnswer['processes'][number];

/** Where a ticket is in force, over all entries of the settings. */
export interface Rollout {
  readonly processes: readonly Process[];
  /** Entries that gave no answer; nothing is known of them. */
  readonly silent: readonly string[];
}

/** Asks all entries. An agent counts with the lowest number that an entry knows of it. */
export async function fetchRollout(client: Client, number: number): Promise<Rollout> {
  const answers = await Promise.all(
    client.entries.map(async (entry) => {
      const path = `/v1/admin/tickets/${number}/where`;
      const result = await client.callEntry(entry, { method: 'GET', path });
      const parsed = result.ok ? whereSchema.safeParse(result.value) : undefined;
      return { name: `${entry.host}:${entry.port}`, processes: parsed?.data?.processes };
    }),
  );
  const all = answers.flatMap((answer) => answer.processes ?? []);
  const ids = [...new Set(all.map((process) => process.id))];
  const processes = ids.flatMap((id) => {
    const same = all.filter((process) => process.id === id);
    const [lowest] = same.toSorted((left, right) => left.number - right.number);
    return lowest === undefined ? [] : [lowest];
  });
  const silent = answers.flatMap(({ name, processes: known }) => (known ? [] : [name]));
  return { processes, silent };
}

/** Describes how far a ticket is. */
export function describeRollout(spread: Rollout, number: number): string {
  const done = spread.processes.filter((process) => process.number >= number).length;
  const silent = spread.silent.length === 0 ? '' : `; no answer from ${spread.silent.join(', ')}`;
  return `ticket ${number}: in force at ${done} of ${spread.processes.length} processes${silent}`;
}

/** Whether a ticket is in force at every process, and every entry said so. */
export function isInForceEverywhere(spread: Rollout, number: number): boolean {
  return (
    spread.silent.length === 0 && spread.processes.every((process) => process.number >= number)
  );
}

/** Waits until a ticket is in force everywhere, or the time is over. Reports each change. */
export async function waitForRollout(
  client: Client,
  number: number,
  untilMs: number,
  report: (text: string) => void,
  last = '',
): Promise<Rollout> {
  const spread = await fetchRollout(client, number);
  const text = describeRollout(spread, number);
  if (text !== last) report(text);
  if (isInForceEverywhere(spread, number) || Date.now() + POLL_MS > untilMs) return spread;
  await sleep(POLL_MS);
  return waitForRollout(client, number, untilMs, report, text);
}
