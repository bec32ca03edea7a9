import { setTimeout as sleep } from 'node:timers/promises';
import { acceptValue } from '@bronzeyoke/decoding';
import { formatAddress } from '@bronzeyoke/types';
import type { WhereAnswer } from './answers';
import { whereSchema } from './answers';
import type { Client } from './client';

const POLL_MS = 250;

/** Process and the number of the ticket in force there. */
export type ProcessRollout = WhereAnswer['processes'][number];

/** Numbers in force at the processes, as reported by all entries of the settings. */
export interface Rollout {
  readonly processes: readonly ProcessRollout[];
  /** Entries that did not answer, so that their numbers are unknown. */
  readonly silent: readonly string[];
}

/** Queries all entries. If they report different numbers for an agent, the lowest one counts. */
export async function fetchRollout(client: Client, number: number): Promise<Rollout> {
  const answers = await Promise.all(
    client.entries.map(async (entry) => {
      const path = `/v1/admin/tickets/${number}/where`;
      const result = await client.callEntry(entry, { method: 'GET', path });
      const where = result.ok ? acceptValue(whereSchema, result.value) : undefined;
      return { name: formatAddress(entry), processes: where?.processes };
    }),
  );
  const reports = answers.flatMap((answer) => answer.processes ?? []);
  const ids = [...new Set(reports.map((process) => process.id))];
  const processes = ids.flatMap((id) => {
    const ownReports = reports.filter((process) => process.id === id);
    const [lowest] = ownReports.toSorted((left, right) => left.number - right.number);
    return lowest === undefined ? [] : [lowest];
  });
  const silent = answers.flatMap(({ name, processes: reported }) => (reported ? [] : [name]));
  return { processes, silent };
}

/** Describes at how many processes a ticket is in force. */
export function describeRollout(rollout: Rollout, number: number): string {
  const done = rollout.processes.filter((process) => process.number >= number).length;
  const silent = rollout.silent.length === 0 ? '' : `; no answer from ${rollout.silent.join(', ')}`;
  return `ticket ${number}: in force at ${done} of ${rollout.processes.length} processes${silent}`;
}

/** Returns whether all entries answered and a ticket is in force at every process. */
export function isInForceEverywhere(rollout: Rollout, number: number): boolean {
  return (
    rollout.silent.length === 0 && rollout.processes.every((process) => process.number >= number)
  );
}

/** Polls until a ticket is in force everywhere or the deadline passes. Reports each change. */
export async function waitForRollout(
  client: Client,
  number: number,
  deadlineAtMs: number,
  report: (text: string) => void,
  lastText = '',
): Promise<Rollout> {
  const rollout = await fetchRollout(client, number);
  const text = describeRollout(rollout, number);
  if (text !== lastText) report(text);
  if (isInForceEverywhere(rollout, number) || Date.now() + POLL_MS > deadlineAtMs) return rollout;
  await sleep(POLL_MS);
  return waitForRollout(client, number, deadlineAtMs, report, text);
}
