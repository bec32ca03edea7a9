import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/role.json';

/** Life of an entry or an agent, from start to a planned stop. */
export const roleChart = compileChart(chartFile, {
  states: ['serving', 'draining', 'stopped'],
  events: ['stop', 'idle', 'limit'],
  actions: ['announce', 'startLimit', 'exit'],
});

/** States of a role. */
export type RoleState = StateOf<typeof roleChart>;

/** Actions of the chart. */
export type RoleAction = ActionOf<typeof roleChart>;

/** Longest time that a planned stop waits for work in progress. */
export const STOP_LIMIT_MS = 30_000;
