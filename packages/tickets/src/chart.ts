import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/ticket.json';

/** State chart of a ticket from its arrival to its acceptance or refusal. */
export const ticketChart = compileChart(chartFile, {
  states: ['reading', 'committing', 'settling', 'ended'],
  events: ['headMatches', 'stale', 'fail', 'committed', 'replyLost', 'retry', 'giveUp'],
  actions: [
    'commit',
    'replyTicket',
    'replyConflict',
    'replyUnavailable',
    'replyUnknown',
    'scheduleRetry',
    'load',
  ],
});

/** States of a ticket that is being applied. */
export type TicketPhase = StateOf<typeof ticketChart>;

/** Actions of the chart. */
export type TicketAction = ActionOf<typeof ticketChart>;
