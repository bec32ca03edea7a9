import type { BatchEffect, BatchEvent } from '@bronzeyoke/batch';
import { stepBatch } from '@bronzeyoke/batch';
import type { StoreEvent } from '@bronzeyoke/ports';
import type { TicketsEffect, TicketsEvent } from '@bronzeyoke/tickets';
import { stepTickets } from '@bronzeyoke/tickets';
import type { Instant, Step } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import type { EntryMessage } from '@bronzeyoke/wire';
import type { WorkersEffect, WorkersEvent } from '@bronzeyoke/workers';
import { stepWorkers } from '@bronzeyoke/workers';
import { runRequests } from './requests';
import type { EntryEffect, EntryState } from './types';

const WORKER_CHECK_INTERVAL_MS = 1_000;

type EntryStep = Step<EntryState, EntryEffect>;

/** Runs steps one after the other and collects their effects. */
export function sequence(
  state: EntryState,
  steps: readonly ((from: EntryState) => EntryStep)[],
): EntryStep {
  return steps.reduce<EntryStep>(
    (done, step) => {
      const next = step(done.state);
      return { state: next.state, effects: [...done.effects, ...next.effects] };
    },
    { state, effects: [] },
  );
}

/** Returns the effect that sends a message to an agent, or none if it is not connected. */
export function sendToAgent(
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
export function runWorkers(state: EntryState, event: WorkersEvent, instant: Instant): EntryStep {
  const step = stepWorkers(state.workers, event, instant);
  return {
    state: { ...state, workers: step.state },
    effects: step.effects.flatMap((effect) => workersEffects(state, effect)),
  };
}

function applyBatchEffect(state: EntryState, effect: BatchEffect, instant: Instant): EntryStep {
  switch (effect.kind) {
    case 'wake': {
      const { timer, afterMs } = effect;
      return { state, effects: [{ kind: 'wake', timer: { kind: 'batch', timer }, afterMs }] };
    }
    case 'send':
      return { state, effects: sendToAgent(state, effect.agentId, effect.message) };
    case 'workerRows':
      return runWorkers(state, { kind: 'rowsSeen', rows: effect.rows }, instant);
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
export function runBatch(state: EntryState, event: BatchEvent, instant: Instant): EntryStep {
  const inputs = {
    configuration: state.tickets.configuration,
    versions: state.tickets.versions,
    workers: state.workers.rows,
  };
  const step = stepBatch(state.batch, event, inputs, instant);
  return sequence(
    { ...state, batch: step.state },
    step.effects.map((effect) => (from) => applyBatchEffect(from, effect, instant)),
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
export function runTickets(state: EntryState, event: TicketsEvent, instant: Instant): EntryStep {
  const step = stepTickets(state.tickets, event, instant);
  const next = { ...state, tickets: step.state };
  const effects = step.effects.flatMap((effect) => ticketsEffects(state, effect));
  if (next.tickets.configuration === state.tickets.configuration) return { state: next, effects };
  const configured = runBatch(next, { kind: 'configured' }, instant);
  return { state: configured.state, effects: [...effects, ...configured.effects] };
}

/** Reports agents to batch work as down after their connections closed. */
export function applyLostAgents(
  step: EntryStep,
  before: EntryState['membership'],
  instant: Instant,
): EntryStep {
  const { agents } = step.state.membership;
  if (agents.size >= before.agents.size) return step;
  const lostIds = [...before.agents.keys()].filter((agentId) => !agents.has(agentId));
  const reported = sequence(
    step.state,
    lostIds.map((agentId) => (from) => runBatch(from, { kind: 'agentDown', agentId }, instant)),
  );
  return { state: reported.state, effects: [...step.effects, ...reported.effects] };
}

/** Looks up the rows of connected workers that are not known to be registered. */
export function checkWorkers(state: EntryState, instant: Instant): EntryStep {
  const names = [...state.membership.agents.values()].map(({ profile }) => profile.worker);
  const step = runWorkers(state, { kind: 'check', workers: names }, instant);
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
  instant: Instant,
): EntryStep {
  return sequence({ ...state, wallOffsetMs }, [
    (from) => runRequests(from, { kind: 'started', wallOffsetMs }, instant),
    (from) => runTickets(from, { kind: 'started', wallOffsetMs }, instant),
    (from) => checkWorkers(from, instant),
    (from) => runBatch(from, { kind: 'started', wallOffsetMs }, instant),
  ]);
}

/** Passes the result of a store access to the component that requested it. */
export function onStoreEvent(state: EntryState, event: StoreEvent, instant: Instant): EntryStep {
  switch (event.origin) {
    case 'tickets':
      return runTickets(state, event, instant);
    case 'workers':
      return runWorkers(state, event, instant);
    case 'requests':
      return runRequests(state, event, instant);
    case 'batch':
      return runBatch(state, event, instant);
    case 'admin':
      return unchanged(state);
    default:
      return assertNever(event.origin);
  }
}
