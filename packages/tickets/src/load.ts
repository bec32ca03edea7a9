import { Map } from 'immutable';
import type { ReadResult, Row } from '@bronzeyoke/ports';
import type { Configuration } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import { HEAD_KEY, STATE_PREFIXES, headOf, stateOf } from './rows';
import type { ConfigurationLoad } from './types';

const PAGE_ROWS = 500;

/** Next step of loading the configuration. */
export type LoadStep =
  | { readonly kind: 'wait'; readonly load: ConfigurationLoad }
  | { readonly kind: 'read'; readonly load: ConfigurationLoad; readonly keys: readonly string[] }
  | {
      readonly kind: 'scan';
      readonly load: ConfigurationLoad;
      readonly prefix: string;
      readonly afterKey: string;
      readonly limit: number;
    }
  | {
      readonly kind: 'loaded';
      readonly configuration: Configuration;
      readonly versions: Map<string, number>;
    };

const IDLE: ConfigurationLoad = { kind: 'idle' };

/** Starts to check for a newer configuration. */
export function beginLoad(): LoadStep {
  return { kind: 'read', load: { kind: 'head' }, keys: [HEAD_KEY] };
}

function scanFrom(
  number: number,
  prefixIndex: number,
  rows: readonly Row[],
  afterKey: string,
): LoadStep {
  const prefix = STATE_PREFIXES[prefixIndex];
  return prefix === undefined
    ? { kind: 'read', load: { kind: 'confirm', number, rows }, keys: [HEAD_KEY] }
    : {
        kind: 'scan',
        load: { kind: 'scan', number, prefixIndex, rows },
        prefix,
        afterKey,
        limit: PAGE_ROWS,
      };
}

function finishLoad(number: number, rows: readonly Row[]): LoadStep {
  return {
    kind: 'loaded',
    configuration: { number, entries: rows.flatMap((row) => stateOf(row) ?? []) },
    versions: Map(rows.map((row) => [row.key, row.version])),
  };
}

/**
 * Continues a load. The scans are valid only if the head is the same before and after them; otherwise
 * a ticket was accepted in between and they start again.
 */
export function continueLoad(
  load: ConfigurationLoad,
  currentNumber: number,
  result: ReadResult,
): LoadStep {
  if (result.kind === 'unavailable') return { kind: 'wait', load: IDLE };
  switch (load.kind) {
    case 'idle':
      return { kind: 'wait', load };
    case 'head': {
      const { number } = headOf(result.rows);
      return number > currentNumber ? scanFrom(number, 0, [], '') : { kind: 'wait', load: IDLE };
    }
    case 'scan': {
      const rows = [...load.rows, ...result.rows];
      const last = result.rows.at(-1);
      return last !== undefined && result.rows.length === PAGE_ROWS
        ? scanFrom(load.number, load.prefixIndex, rows, last.key)
        : scanFrom(load.number, load.prefixIndex + 1, rows, '');
    }
    case 'confirm': {
      const { number } = headOf(result.rows);
      return number === load.number ? finishLoad(number, load.rows) : scanFrom(number, 0, [], '');
    }
    default:
      return assertNever(load);
  }
}
