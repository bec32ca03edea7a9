import type { BatchEffect, BatchEvent } from '@bronzeyoke/batch';
import { stepBatch } from '@bronzeyoke/batch';
import type { StoreEvent } from '@bronzeyoke/ports';
import type { TicketsEffect, TicketsEvent } from '@bronzeyoke/tickets';
import { stepTickets } from '@bronzeyoke/tickets';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, chainAll } from '@bronzeyoke/types';
import type { EntryMessage } from '@bronzeyoke/wire';
import type { WorkersEffect, WorkersEvent } from '@bronzeyoke/workers';
import { stepWorkers } from '@bronzeyoke/workers';
import { handleRequests } from './requests';
import type { EntryEffect, EntryState, EntryStep } from './types';

const WORKER_CHECK_INTERVAL_MS = 1_000;

/** Returns the effect that sends a message to an agent, or none if it is not connected. */
function sendToAgent(
  state: EntryState,
  agentId: string,
  message: EntryMessage,
): readonly EntryEffect[] {
  const agent = state.membership.agents.get(agentId);
  return agent === undefined ? [] : [{ kind: 'send', linkId: agent.linkId, message }];
}

function workersEffects(state: EntryState, effect: WorkersEffect): readonly EntryEffect[] {
  switch (effect.kind) {
    case 'wake': {
      const { timer, afterMs } = effect;
      return [{ kind: 'wake', timer: { kind: 'workers', timer }, afterMs }];
    }
    case 'send':
      return sendToAgent(state, effect.agentId, effect.message);
    case 'commit':
    case 'read':
    case 'scan':
      return [effect];
    default:
      return assertNever(effect);
  }
}

/** Applies an event to the registrations and leases of workers. */
export function handleWorkers(
  state: EntryState,
  event: WorkersEvent,
  inputs: StepInputs,
): EntryStep {
  const step = stepWorkers(state.workers, event, inputs);
  return {
    state: { ...state, workers: step.state },
    effects: step.effects.flatMap((effect) => workersEffects(state, effect)),
  };
}

function performBatchEffect(state: EntryState, effect: BatchEffect, inputs: StepInputs): EntryStep {
  switch (effect.kind) {
    case 'wake': {
      const { timer, afterMs } = effect;
      return { state, effects: [{ kind: 'wake', timer: { kind: 'batch', timer }, afterMs }] };
    }
    case 'send':
      return { state, effects: sendToAgent(state, effect.agentId, effect.message) };
    case 'workerRows':
      return handleWorkers(state, { kind: 'rowsSeen', rows: effect.rows }, inputs);
    case 'commit':
    case 'read':
    case 'scan':
    case 'adminReply':
      return { state, effects: [effect] };
    default:
      return assertNever(effect);
  }
}

/** Applies an event to batch work. */
export function handleBatch(state: EntryState, event: BatchEvent, inputs: StepInputs): EntryStep {
  const batchInputs = {
    configuration: state.tickets.configuration,
    versions: state.tickets.versions,
    workers: state.workers.rows,
  };
  const step = stepBatch(state.batch, event, batchInputs, inputs);
  return chainAll(
    { ...state, batch: step.state },
    step.effects.map((effect) => (from) => performBatchEffect(from, effect, inputs)),
  );
}

function ticketsEffects(state: EntryState, effect: TicketsEffect): readonly EntryEffect[] {
  switch (effect.kind) {
    case 'wake': {
      const { timer, afterMs } = effect;
      return [{ kind: 'wake', timer: { kind: 'tickets', timer }, afterMs }];
    }
    case 'distribute':
      return [...state.membership.agents.values()].map(({ linkId }) => ({
        kind: 'send',
        linkId,
        message: { kind: 'config', configuration: effect.configuration },
      }));
    case 'commit':
    case 'read':
    case 'scan':
    case 'adminReply':
      return [effect];
    default:
      return assertNever(effect);
  }
}

/** Applies an event to the tickets, and passes a new configuration on to batch work. */
export function handleTickets(
  state: EntryState,
  event: TicketsEvent,
  inputs: StepInputs,
): EntryStep {
  const step = stepTickets(state.tickets, event, inputs);
  const next = { ...state, tickets: step.state };
  const effects = step.effects.flatMap((effect) => ticketsEffects(state, effect));
  if (next.tickets.configuration === state.tickets.configuration) return { state: next, effects };
  const configured = handleBatch(next, { kind: 'configured' }, inputs);
  return { state: configured.state, effects: [...effects, ...configured.effects] };
}

/** Reports agents to batch work as down after their connections closed. */
export function applyLostAgents(
  step: EntryStep,
  before: EntryState['membership'],
  inputs: StepInputs,
): EntryStep {
  const { agents } = step.state.membership;
  if (agents.size >= before.agents.size) return step;
  const lostIds = [...before.agents.keys()].filter((agentId) => !agents.has(agentId));
  const reported = chainAll(
    step.state,
    lostIds.map((agentId) => (from) => handleBatch(from, { kind: 'agentDown', agentId }, inputs)),
  );
  return { state: reported.state, effects: [...step.effects, ...reported.effects] };
}

/** Looks up the rows of connected workers that are not known to be registered. */
export function checkWorkers(state: EntryState, inputs: StepInputs): EntryStep {
  const names = [...state.membership.agents.values()].map(({ profile }) => profile.worker);
  const step = handleWorkers(state, { kind: 'check', workers: names }, inputs);
  return {
    state: step.state,
    effects: [
      ...step.effects,
      { kind: 'wake', timer: { kind: 'checkWorkers' }, afterMs: WORKER_CHECK_INTERVAL_MS },
    ],
  };
}

/** Starts the requests, the tickets, the checks of workers and batch work. */
export function startComponents(
  state: EntryState,
  wallOffsetMs: number,
  inputs: StepInputs,
): EntryStep {
  return chainAll({ ...state, wallOffsetMs }, [
    (from) => handleRequests(from, { kind: 'started', wallOffsetMs }, inputs),
    (from) => handleTickets(from, { kind: 'started', wallOffsetMs }, inputs),
    (from) => checkWorkers(from, inputs),
    (from) => handleBatch(from, { kind: 'started', wallOffsetMs }, inputs),
  ]);
}

/** Passes the result of a store access to the component that requested it. */
export function onStoreEvent(state: EntryState, event: StoreEvent, inputs: StepInputs): EntryStep {
  switch (event.origin) {
    case 'tickets':
      return handleTickets(state, event, inputs);
    case 'workers':
      return handleWorkers(state, event, inputs);
    case 'requests':
      return handleRequests(state, event, inputs);
    case 'batch':
      return handleBatch(state, event, inputs);
    case 'admin':
      return unchanged(state);
    default:
      return assertNever(event.origin);
  }
}
