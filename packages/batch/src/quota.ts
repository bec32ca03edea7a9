import type { Configuration, Resources } from '@bronzeyoke/types';
import { addResources, fitsIn } from '@bronzeyoke/types';

/** Returns the quota of a team; a team that is in no ticket has none. */
export function quotaOf(configuration: Configuration, team: string): Resources | undefined {
  const entry = configuration.entries.find(
    (change) => change.kind === 'team' && change.name === team,
  );
  return entry?.kind === 'team' ? entry.quota : undefined;
}

/** Returns whether a further reservation of a team stays within its quota. */
export function isWithinQuota(
  quota: Resources | undefined,
  used: Resources,
  wanted: Resources,
): boolean {
  return quota === undefined || fitsIn(addResources(used, wanted), quota);
}
