import { performance } from 'node:perf_hooks';
import type { RowStorePort } from '@bronzeyoke/ports';
import { REACHABLE, updateReachability } from './reachability';
import type { LogEvent } from './types';

/** A store whose answers are recorded, to tell when it is lost. */
export interface TrackedStore {
  readonly store: RowStorePort;
  /** Records the result of an access that did not go through `store`. */
  readonly recordResult: (isAnswered: boolean) => void;
  /** Returns the time since the store last answered. */
  readonly silentMs: () => number;
}

/** Records for each access whether the store answers, and logs when it is lost and regained. */
export function trackStore(
  store: RowStorePort,
  log: LogEvent,
  onFirstAnswer: () => void = () => undefined,
): TrackedStore {
  let hasAnswered = false;
  let answeredAtMs = performance.now();
  let reachability = REACHABLE;
  const recordResult = (isAnswered: boolean): void => {
    const nowMs = performance.now();
    if (isAnswered) answeredAtMs = nowMs;
    if (isAnswered && !hasAnswered) {
      hasAnswered = true;
      onFirstAnswer();
    }
    const next = updateReachability(reachability, 'store', isAnswered, nowMs);
    reachability = next.state;
    next.logs.forEach(({ event, fields }) => log(event, fields));
  };
  const trackedStore: RowStorePort = {
    ...store,
    commit: async (transaction) => {
      const result = await store.commit(transaction);
      recordResult(result.kind === 'committed' || result.kind === 'conflict');
      return result;
    },
    range: async (range) => {
      const result = await store.range(range);
      recordResult(result.kind === 'rows');
      return result;
    },
  };
  return { store: trackedStore, recordResult, silentMs: () => performance.now() - answeredAtMs };
}
