import { performance } from 'node:perf_hooks';
import * as nact from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, dispatchAfter, spawnCore } from '@bronzeyoke/actors';
import type { RowStorePort, StoredRow } from '@bronzeyoke/ports';
import { assertNever } from '@bronzeyoke/types';
import type { TableUpdate } from './follow';
import type { RangeWatchEffect, RangeWatchEvent, RangeWatchState, WatchedRange } from './rangestep';
import { createRangeWatch, stepRangeWatch } from './rangestep';

const FAILED: RangeWatchEvent = { kind: 'failed' };

/** Range to watch, with the callbacks of a watch. */
export interface RangeWatchOptions extends WatchedRange {
  /** Called with all rows of the range as the store held them `ageMs` ago, whenever that is confirmed. */
  readonly report: (rows: readonly StoredRow[], ageMs: number) => void;
  readonly onError: (error: unknown) => void;
}

/** Handle of a running watch. */
export interface RangeWatch {
  /** Takes over an update of a follower of the whole table. */
  readonly hear: (update: TableUpdate) => void;
  readonly stop: () => void;
}

/**
 * Watches some short rows of a table that also has long ones. Its own reads tell of them before the long ones
 * have arrived, and again when the follower of the table, whose updates it hears, has confirmed nothing for a
 * while. Nothing is reported after `stop`.
 */
export function watchRange(store: RowStorePort, options: RangeWatchOptions): RangeWatch {
  const { table, partition, fromKey, untilKey, refreshAfterMs, report, onError } = options;
  const system = nact.start();

  const readRange = async (self: Ref<RangeWatchEvent>): Promise<void> => {
    const asOfMs = performance.now();
    try {
      const result = await store.range({ table, partition, fromKey, untilKey });
      dispatch(self, result.kind === 'rows' ? { ...result, kind: 'read', asOfMs } : FAILED);
    } catch (error) {
      onError(error);
      dispatch(self, FAILED);
    }
  };

  const perform = (effect: RangeWatchEffect, self: Ref<RangeWatchEvent>): void => {
    switch (effect.kind) {
      case 'readRange':
        readRange(self).catch(onError);
        return;
      case 'wake':
        dispatchAfter(self, effect.event, effect.afterMs);
        return;
      case 'report':
        report(effect.rows, effect.ageMs);
        return;
      default:
        assertNever(effect);
    }
  };

  const core = spawnCore<RangeWatchState, RangeWatchEvent, RangeWatchEffect>(system, {
    name: 'rangewatch',
    initial: createRangeWatch({ table, partition, fromKey, untilKey, refreshAfterMs }),
    decide: stepRangeWatch,
    perform,
    onError,
  });
  readRange(core).catch(onError);

  return {
    hear: (update) => {
      switch (update.kind) {
        case 'snapshot':
        case 'changes':
        case 'current':
          dispatch(core, update);
          return;
        case 'answered':
        case 'unanswered':
          return;
        default:
          assertNever(update);
      }
    },
    stop: () => core.stop(),
  };
}
