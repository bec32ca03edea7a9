import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/exchange.json';

/** State chart of the message that a connection is sending. */
export const exchangeChart = compileChart(chartFile, {
  states: ['head', 'body', 'ended', 'refused', 'closed'],
  events: ['begin', 'end', 'refuse', 'drop', 'lost'],
  actions: ['read', 'hold', 'release', 'handOn', 'sendRefusal', 'close', 'forget'],
});

/** States of a message. `ended`: the last one is complete, and the next has not begun. */
export type ExchangeState = StateOf<typeof exchangeChart>;

/** Actions of the chart. */
export type ExchangeAction = ActionOf<typeof exchangeChart>;
