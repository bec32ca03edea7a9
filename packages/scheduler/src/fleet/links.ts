import type { Map } from 'immutable';
import { Set as ImmutableSet } from 'immutable';
import { without } from '@bronzeyoke/types';
import type { SchedulerState } from '../types';
import type { LinkView } from '../views';

/** Adds a connection of an agent. */
export function openLink(state: SchedulerState, linkId: string): SchedulerState {
  const link = { lastOrder: 0, number: state.linksOpened, workerKeys: ImmutableSet<string>() };
  return {
    ...state,
    linksOpened: state.linksOpened + 1,
    links: state.links.set(linkId, link),
  };
}

/** Records that an agent has reported a worker on a connection. */
export function addReporter(
  links: Map<string, LinkView>,
  linkId: string,
  workerKey: string,
): Map<string, LinkView> {
  const link = links.get(linkId);
  if (link === undefined || link.workerKeys.has(workerKey)) return links;
  return links.set(linkId, { ...link, workerKeys: link.workerKeys.add(workerKey) });
}

/** Removes a connection. The workers that were last reported on it have none until their next report. */
export function closeLink(state: SchedulerState, linkId: string): SchedulerState {
  const reported = state.links.get(linkId)?.workerKeys ?? ImmutableSet<string>();
  const workers = reported.reduce((current, workerKey) => {
    const view = current.get(workerKey);
    return view?.linkId === linkId ? current.set(workerKey, without(view, 'linkId')) : current;
  }, state.workers);
  return { ...state, workers, links: state.links.delete(linkId) };
}
