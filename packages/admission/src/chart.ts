import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/attempt.json';

/** State chart of an attempt at the agent. */
export const attemptChart = compileChart(chartFile, {
  states: ['new', 'queued', 'running', 'answered', 'lost', 'refused'],
  events: ['admit', 'enqueue', 'refuse', 'answer', 'notReached', 'lose', 'collect'],
  actions: ['callUpstream', 'sendNotRun', 'sendAnswer', 'sendUnknown', 'sendProgress', 'addWaiter'],
});

/** States of an attempt. */
export type AttemptState = StateOf<typeof attemptChart>;

/** Actions of the chart. */
export type AttemptAction = ActionOf<typeof attemptChart>;
