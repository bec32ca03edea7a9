/** Decisions of a watch of the short rows of a table beside the feed of the whole table. */
import { Map } from 'immutable';
import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { advance, compileChart } from '@bronzeyoke/chart';
import type { RowChange, StoredRow } from '@bronzeyoke/ports';
import type { Step, StepInputs } from '@bronzeyoke/types';
import { assertNever, chainAll, unchanged } from '@bronzeyoke/types';
import chartFile from '../charts/rangewatch.json';

/** Chart of a watch: it reads its range, or what it knows is current, or it waits for the next attempt. */
export const rangeWatchChart = compileChart(chartFile, {
  states: ['reading', 'pausing', 'current'],
  events: ['read', 'failed', 'retry', 'check', 'old', 'snapshot', 'changes', 'current'],
  actions: [
    'applyRows',
    'applyChanges',
    'confirm',
    'report',
    'readRange',
    'scheduleRetry',
    'scheduleCheck',
  ],
});

/** Key range of a table, and the age at which the watch reads it. */
export interface WatchedRange {
  readonly table: string;
  readonly partition: string;
  readonly fromKey: string;
  readonly untilKey: string;
  /** Time without a confirmation by the feed after which the range is read. */
  readonly refreshAfterMs: number;
}

/** Rows that the store held at a time. */
interface KnownRows {
  readonly rows: Map<string, StoredRow>;
  /** Version of the store up to which the rows hold all changes. */
  readonly version: number;
  /** Latest time at which the store is known to have held just these rows. */
  readonly confirmedAtMs: number;
}

/** State of a watch. */
export interface RangeWatchState {
  readonly phase: StateOf<typeof rangeWatchChart>;
  readonly range: WatchedRange;
  /** Absent before the first read. */
  readonly known?: KnownRows;
}

/** What a watch hears of its own reads, of the feed of the table, and of its timers. */
export type RangeWatchEvent =
  | {
      readonly kind: 'read' | 'snapshot';
      readonly rows: readonly StoredRow[];
      readonly version: number;
      /** Time at which the read was sent. */
      readonly asOfMs: number;
    }
  | { readonly kind: 'failed' }
  | { readonly kind: 'retry' }
  | { readonly kind: 'check' }
  | { readonly kind: 'changes'; readonly changes: readonly RowChange[] }
  /** All changes up to a version were reported; there were no others at this time. */
  | { readonly kind: 'current'; readonly version: number; readonly asOfMs: number };

/** Actions that a watch requests from its shell. */
export type RangeWatchEffect =
  | { readonly kind: 'readRange' }
  | { readonly kind: 'wake'; readonly event: RangeWatchEvent; readonly afterMs: number }
  | { readonly kind: 'report'; readonly rows: readonly StoredRow[]; readonly ageMs: number };

type RangeWatchStep = Step<RangeWatchState, RangeWatchEffect>;

const RETRY_MS = 300;

/** Creates the state of a watch whose first read is on its way. */
export function createRangeWatch(range: WatchedRange): RangeWatchState {
  return { phase: rangeWatchChart.initial, range };
}

function isInRange({ fromKey, untilKey, partition }: WatchedRange, row: StoredRow | RowChange) {
  return row.partition === partition && row.key >= fromKey && row.key < untilKey;
}

/** Replaces what is known by a full read, unless more is known already. */
function applyRows(state: RangeWatchState, event: RangeWatchEvent): RangeWatchState {
  if (event.kind !== 'read' && event.kind !== 'snapshot') return state;
  const { rows, version, asOfMs } = event;
  const { known, range } = state;
  if (known !== undefined && version < known.version) return state;
  const inRange = rows.filter((row) => isInRange(range, row));
  return {
    ...state,
    known: {
      rows: Map(inRange.map((row) => [row.key, row] as const)),
      version,
      confirmedAtMs: Math.max(asOfMs, known?.confirmedAtMs ?? asOfMs),
    },
  };
}

/** Applies the changes that are newer than what is known. */
function applyChanges(state: RangeWatchState, event: RangeWatchEvent): RangeWatchState {
  const { known, range } = state;
  if (event.kind !== 'changes' || known === undefined) return state;
  const rows = event.changes
    .filter((change) => isInRange(range, change) && change.version > known.version)
    .reduce(
      (current, change) =>
        change.kind === 'put' ? current.set(change.key, change) : current.delete(change.key),
      known.rows,
    );
  return { ...state, known: { ...known, rows } };
}

function confirm(state: RangeWatchState, event: RangeWatchEvent): RangeWatchState {
  const { known } = state;
  if (event.kind !== 'current' || known === undefined) return state;
  return {
    ...state,
    known: {
      ...known,
      version: Math.max(known.version, event.version),
      confirmedAtMs: Math.max(known.confirmedAtMs, event.asOfMs),
    },
  };
}

/** Returns the time until what is known is old; not above 0 when it is. */
function untilOldMs({ known, range }: RangeWatchState, nowMs: number): number {
  return (known?.confirmedAtMs ?? -Infinity) + range.refreshAfterMs - nowMs;
}

function performAction(
  state: RangeWatchState,
  action: ActionOf<typeof rangeWatchChart>,
  event: RangeWatchEvent,
  nowMs: number,
): RangeWatchStep {
  switch (action) {
    case 'applyRows':
      return unchanged(applyRows(state, event));
    case 'applyChanges':
      return unchanged(applyChanges(state, event));
    case 'confirm':
      return unchanged(confirm(state, event));
    case 'report': {
      const { known } = state;
      if (known === undefined) return unchanged(state);
      const rows = [...known.rows.values()];
      return {
        state,
        effects: [{ kind: 'report', rows, ageMs: Math.max(0, nowMs - known.confirmedAtMs) }],
      };
    }
    case 'readRange':
      return { state, effects: [{ kind: 'readRange' }] };
    case 'scheduleRetry':
      return { state, effects: [{ kind: 'wake', event: { kind: 'retry' }, afterMs: RETRY_MS }] };
    case 'scheduleCheck': {
      const afterMs = Math.max(0, untilOldMs(state, nowMs));
      return { state, effects: [{ kind: 'wake', event: { kind: 'check' }, afterMs }] };
    }
    default:
      return assertNever(action);
  }
}

/** Handles an event of a watch. */
export function stepRangeWatch(
  state: RangeWatchState,
  event: RangeWatchEvent,
  { nowMs }: Pick<StepInputs, 'nowMs'>,
): RangeWatchStep {
  const isOld = event.kind === 'check' && untilOldMs(state, nowMs) <= 0;
  const next = advance(rangeWatchChart, state.phase, isOld ? 'old' : event.kind);
  return chainAll(
    { ...state, phase: next.state },
    next.actions.map(
      (action) => (current: RangeWatchState) => performAction(current, action, event, nowMs),
    ),
  );
}
