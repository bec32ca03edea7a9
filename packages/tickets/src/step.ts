import { Map } from 'immutable';
import { accepts, advance } from '@bronzeyoke/chart';
import type { CommitResult, ReadResult, StoreEffect } from '@bronzeyoke/ports';
import { resolveCommit } from '@bronzeyoke/commits';
import type { AdminReply, Failure, StepInputs, Step } from '@bronzeyoke/types';
import { EMPTY_CONFIGURATION, assertNever, fail, succeed, unchanged } from '@bronzeyoke/types';
import type { TicketAction } from './chart';
import { ticketChart } from './chart';
import { checkTicket } from './check';
import type { LoadStep } from './load';
import { beginLoad, continueLoad } from './load';
import { HEAD_KEY, headOf, planTicket, ticketOf, ticketRowKey } from './rows';
import type {
  TicketApplication,
  TicketsPurpose,
  TicketCommand,
  TicketsEffect,
  TicketsEvent,
  TicketsState,
} from './types';

const POLL_MS = 1_000;
const RETRY_DELAY_MS = 250;
/** Time for which a ticket whose reply was lost is sent again before it is reported as unknown. */
const GIVE_UP_MS = 10_000;
const MAX_LISTED = 100;

type TicketsStep = Step<TicketsState, TicketsEffect>;

type TicketChartEvent =
  | { readonly kind: 'headMatches' | 'fail' | 'committed' | 'replyLost' | 'retry' | 'giveUp' }
  | { readonly kind: 'stale'; readonly currentNumber: number };

/** Creates the state of an entry before it has read the table. */
export function createTickets(entryId: string): TicketsState {
  return {
    entryId,
    callCount: 0,
    wallOffsetMs: 0,
    configuration: EMPTY_CONFIGURATION,
    versions: Map(),
    load: { kind: 'idle' },
    calls: Map(),
    applications: Map(),
  };
}

type TicketsAccess =
  | { readonly kind: 'read'; readonly keys: readonly string[] }
  | {
      readonly kind: 'scan';
      readonly prefix: string;
      readonly afterKey: string;
      readonly limit: number;
    }
  | Pick<Extract<StoreEffect, { kind: 'commit' }>, 'kind' | 'transaction'>;

function sendAccess(
  state: TicketsState,
  purpose: TicketsPurpose,
  access: TicketsAccess,
): TicketsStep {
  const callId = `tickets-${state.callCount}`;
  return {
    state: {
      ...state,
      callCount: state.callCount + 1,
      calls: state.calls.set(callId, purpose),
    },
    effects: [{ ...access, origin: 'tickets', callId }],
  };
}

function reply(state: TicketsState, callId: string, value: AdminReply): TicketsStep {
  return { state, effects: [{ kind: 'adminReply', callId, result: succeed(value) }] };
}

function refuse(state: TicketsState, callId: string, failure: Failure): TicketsStep {
  return { state, effects: [{ kind: 'adminReply', callId, result: fail(failure) }] };
}

function applyLoadStep(state: TicketsState, step: LoadStep): TicketsStep {
  switch (step.kind) {
    case 'wait':
      return unchanged({ ...state, load: step.load });
    case 'read':
      return sendAccess(
        { ...state, load: step.load },
        { kind: 'load' },
        { kind: 'read', keys: step.keys },
      );
    case 'scan': {
      const { load, ...access } = step;
      return sendAccess({ ...state, load }, { kind: 'load' }, access);
    }
    case 'loaded': {
      const { configuration, versions } = step;
      const next: TicketsState = { ...state, load: { kind: 'idle' } };
      if (configuration.number <= state.configuration.number) return unchanged(next);
      return {
        state: { ...next, configuration, versions },
        effects: [{ kind: 'distribute', configuration }],
      };
    }
    default:
      return assertNever(step);
  }
}

function startLoad(state: TicketsState): TicketsStep {
  return state.load.kind === 'idle' ? applyLoadStep(state, beginLoad()) : unchanged(state);
}

function performAction(
  state: TicketsState,
  callId: string,
  application: TicketApplication,
  action: TicketAction,
  event: TicketChartEvent,
): TicketsStep {
  const { planned, transaction } = application;
  switch (action) {
    case 'commit':
      return transaction === undefined
        ? unchanged(state)
        : sendAccess(state, { kind: 'apply', callId }, { kind: 'commit', transaction });
    case 'replyTicket':
      return reply(state, callId, { kind: 'ticket', ticket: planned.ticket });
    case 'replyConflict':
      return refuse(state, callId, {
        kind: 'conflict',
        what: ticketRowKey(planned.ticket.number),
        currentNumber: event.kind === 'stale' ? event.currentNumber : 0,
      });
    case 'replyUnavailable':
      return refuse(state, callId, { kind: 'storeUnavailable' });
    case 'replyUnknown':
      return refuse(state, callId, { kind: 'storeUnknown', claimToken: planned.token });
    case 'scheduleRetry':
      return {
        state,
        effects: [{ kind: 'wake', timer: { kind: 'retry', callId }, afterMs: RETRY_DELAY_MS }],
      };
    case 'load':
      return startLoad(state);
    default:
      return assertNever(action);
  }
}

function advanceTicket(
  state: TicketsState,
  callId: string,
  application: TicketApplication,
  event: TicketChartEvent,
): TicketsStep {
  if (!accepts(ticketChart, application.phase, event.kind)) return unchanged(state);
  const next = advance(ticketChart, application.phase, event.kind);
  const advanced = { ...application, phase: next.state };
  const applications =
    next.state === 'ended'
      ? state.applications.delete(callId)
      : state.applications.set(callId, advanced);
  return next.actions.reduce<TicketsStep>(
    (done, action) => {
      const step = performAction(done.state, callId, advanced, action, event);
      return { state: step.state, effects: [...done.effects, ...step.effects] };
    },
    { state: { ...state, applications }, effects: [] },
  );
}

function applyTicket(
  state: TicketsState,
  callId: string,
  command: Extract<TicketCommand, { kind: 'applyTicket' }>,
  inputs: StepInputs,
): TicketsStep {
  const { author, number, changes } = command;
  const checked = checkTicket(state.configuration, author, number, changes);
  if (!checked.ok) return refuse(state, callId, checked.failure);
  const application: TicketApplication = {
    phase: ticketChart.initial,
    planned: {
      ticket: { number, author, changes },
      token: `${state.entryId}-${state.callCount}`,
      acceptedAtMs: Math.round(state.wallOffsetMs + inputs.nowMs),
    },
    startedAtMs: inputs.nowMs,
  };
  const applications = state.applications.set(callId, application);
  return sendAccess(
    { ...state, applications },
    { kind: 'apply', callId },
    { kind: 'read', keys: [HEAD_KEY] },
  );
}

function onCommand(
  state: TicketsState,
  callId: string,
  command: TicketCommand,
  inputs: StepInputs,
): TicketsStep {
  switch (command.kind) {
    case 'applyTicket':
      return applyTicket(state, callId, command, inputs);
    case 'showTicket': {
      const { number } = command;
      const keys = [ticketRowKey(number)];
      return sendAccess(state, { kind: 'show', callId, number }, { kind: 'read', keys });
    }
    case 'listTickets': {
      const count = Math.max(0, Math.min(MAX_LISTED, command.limit));
      const keys = Array.from({ length: count }, (_, index) =>
        ticketRowKey(command.afterNumber + index + 1),
      );
      return sendAccess(state, { kind: 'list', callId }, { kind: 'read', keys });
    }
    case 'showConfiguration':
      return reply(state, callId, {
        kind: 'configuration',
        configuration: state.configuration,
      });
    default:
      return assertNever(command);
  }
}

function onHeadRead(state: TicketsState, callId: string, result: ReadResult): TicketsStep {
  const application = state.applications.get(callId);
  if (application === undefined) return unchanged(state);
  if (result.kind === 'unavailable') {
    return advanceTicket(state, callId, application, { kind: 'fail' });
  }
  const head = headOf(result.rows);
  if (application.planned.ticket.number !== head.number + 1) {
    const stale = { kind: 'stale', currentNumber: head.number } as const;
    return advanceTicket(state, callId, application, stale);
  }
  const transaction = planTicket(application.planned, head.version);
  return advanceTicket(state, callId, { ...application, transaction }, { kind: 'headMatches' });
}

function onCommitResult(state: TicketsState, callId: string, result: CommitResult): TicketsStep {
  const application = state.applications.get(callId);
  if (application?.transaction === undefined) return unchanged(state);
  const wasReplyLost = application.phase === 'settling';
  const resolution = resolveCommit(application.transaction, wasReplyLost, result);
  switch (resolution.kind) {
    case 'committed':
      return advanceTicket(state, callId, application, { kind: 'committed' });
    case 'conflict': {
      const currentNumber = headOf(resolution.rows).number;
      return advanceTicket(state, callId, application, { kind: 'stale', currentNumber });
    }
    case 'unavailable':
      return advanceTicket(state, callId, application, { kind: 'fail' });
    case 'retry':
      return advanceTicket(state, callId, application, { kind: 'replyLost' });
    default:
      return assertNever(resolution);
  }
}

function onReadResult(
  state: TicketsState,
  purpose: TicketsPurpose,
  result: ReadResult,
): TicketsStep {
  switch (purpose.kind) {
    case 'load':
      return applyLoadStep(state, continueLoad(state.load, state.configuration.number, result));
    case 'apply':
      return onHeadRead(state, purpose.callId, result);
    case 'show':
    case 'list': {
      const { callId } = purpose;
      if (result.kind === 'unavailable') {
        return refuse(state, callId, { kind: 'storeUnavailable' });
      }
      const tickets = result.rows.flatMap((row) => ticketOf(row) ?? []);
      if (purpose.kind === 'list') return reply(state, callId, { kind: 'tickets', tickets });
      const [ticket] = tickets;
      return ticket === undefined
        ? refuse(state, callId, { kind: 'notFound', what: ticketRowKey(purpose.number) })
        : reply(state, callId, { kind: 'ticket', ticket });
    }
    default:
      return assertNever(purpose);
  }
}

function onTimer(
  state: TicketsState,
  event: Extract<TicketsEvent, { kind: 'timer' }>,
  inputs: StepInputs,
): TicketsStep {
  const { timer } = event;
  switch (timer.kind) {
    case 'poll': {
      const step = startLoad(state);
      return {
        state: step.state,
        effects: [...step.effects, { kind: 'wake', timer: { kind: 'poll' }, afterMs: POLL_MS }],
      };
    }
    case 'retry': {
      const application = state.applications.get(timer.callId);
      if (application === undefined) return unchanged(state);
      const isLate = inputs.nowMs - application.startedAtMs > GIVE_UP_MS;
      const kind = isLate ? 'giveUp' : 'retry';
      return advanceTicket(state, timer.callId, application, { kind });
    }
    default:
      return assertNever(timer);
  }
}

/** Handles one event of the tickets. */
export function stepTickets(
  state: TicketsState,
  event: TicketsEvent,
  inputs: StepInputs,
): TicketsStep {
  switch (event.kind) {
    case 'started':
      return onTimer(
        { ...state, wallOffsetMs: event.wallOffsetMs },
        { kind: 'timer', timer: { kind: 'poll' } },
        inputs,
      );
    case 'command':
      return onCommand(state, event.callId, event.command, inputs);
    case 'timer':
      return onTimer(state, event, inputs);
    case 'commitDone':
    case 'readDone': {
      const purpose = state.calls.get(event.callId);
      if (purpose === undefined) return unchanged(state);
      const withoutCall = { ...state, calls: state.calls.delete(event.callId) };
      if (event.kind === 'readDone') return onReadResult(withoutCall, purpose, event.result);
      return purpose.kind === 'apply'
        ? onCommitResult(withoutCall, purpose.callId, event.result)
        : unchanged(withoutCall);
    }
    default:
      return assertNever(event);
  }
}
