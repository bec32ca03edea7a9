import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/exchange.json';

/** State chart of the message that a connection is sending. */
export const exchangeChart = compileChart(chartFile, {
  states: ['head', 'body', 'ended', 'deferred', 'refused', 'closed'],
  events: ['begin', 'end', 'refuse', 'defer', 'drop', 'lost'],
  actions: ['read', 'hold', 'release', 'handOn', 'discard', 'sendRefusal', 'close', 'forget'],
});

/**
 * States of a message. `ended`: the last one is complete, and the next has not begun. `deferred`: a refusal
 * waits for the answers to earlier requests.
 */
export type ExchangeState = StateOf<typeof exchangeChart>;

/** Actions of the chart. */
export type ExchangeAction = ActionOf<typeof exchangeChart>;
