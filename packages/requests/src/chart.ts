import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/request.json';

/** State chart of a caller's request at the entry. */
export const requestChart = compileChart(chartFile, {
  states: ['new', 'queued', 'recording', 'dispatched', 'collecting', 'ended'],
  events: [
    'enqueue',
    'dispatch',
    'record',
    'stored',
    'recommit',
    'readBack',
    'requeue',
    'found',
    'reused',
    'hedge',
    'answer',
    'retry',
    'disconnect',
    'collect',
    'refuse',
    'giveUp',
  ],
  actions: [
    'sendAttempt',
    'sendCollect',
    'cancelAttempts',
    'commitIntent',
    'readIntent',
    'replyAnswer',
    'replyNotRun',
    'replyUnknown',
    'replyKeyReused',
  ],
});

/** States of a request. */
export type RequestState = StateOf<typeof requestChart>;

/** Actions of the request chart. */
export type RequestAction = ActionOf<typeof requestChart>;
