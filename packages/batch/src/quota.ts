import type { Configuration, Resources } from '@bronzeyoke/types';
import { addResources, fitsIn } from '@bronzeyoke/types';

/** The quota of a team; a team that no ticket has named has none. */
export function quotaOf(configuration: Configuration, team: string): Resources | undefined {
  const entry = configuration.entries.find(
    (change) => change.kind === 'team' && change.name === team,
  );
  return entry?.kind === 'team' ? entry.quota : undefined;
}

/** Whether a team may reserve more. */
export function isWithinQuota(
  quota: Resources | undefined,
  used: Resources,
  wanted: Resources,
): boolean {
  return quota === undefined || fitsIn(addResources(used, wanted), quota);
}
