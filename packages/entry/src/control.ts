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

const CHECK_WORKERS_MS = 1_000;

type EntryStep = Step<EntryState, EntryEffect>;

/** Steps that follow each other, with all of their effects. */
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

/** Sends a message to an agent that is connected. */
export function sendTo(
  state: EntryState,
  agentId: string,
  message: EntryMessage,
): readonly EntryEffect[] {
  const agent = state.membership.agents.get(agentId);
  return agent === undefined ? [] : [{ kind: 'send', linkId: agent.linkId, message }];
}

function fromWorkers(state: EntryState, effect: WorkersEffect): readonly EntryEffect[] {
  switch (effect.kind) {
    case 'wake': {
      const { timer, afterMs } = effect;
      return [{ kind: 'wake', timer: { kind: 'workers', timer }, afterMs }];
    }
    case 'send':
      return sendTo(state, effect.agentId, effect.message);
    case 'commit':
    case 'read':
    case 'scan':
      return [effect];
    default:
      return assertNever(effect);
  }
}

/** Lets the registrations and leases of workers decide. */
export function workers(state: EntryState, event: WorkersEvent, instant: Instant): EntryStep {
  const step = stepWorkers(state.workers, event, instant);
  return {
    state: { ...state, workers: step.state },
    effects: step.effects.flatMap((effect) => fromWorkers(state, effect)),
  };
}

function fromBatch(state: EntryState, effect: BatchEffect, instant: Instant): EntryStep {
  switch (effect.kind) {
    case 'wake': {
      const { timer, afterMs } = effect;
      return { state, effects: [{ kind: 'wake', timer: { kind: 'batch', timer }, afterMs }] };
    }
    case 'send':
      return { state, effects: sendTo(state, effect.agentId, effect.message) };
    case 'workerRows':
      return workers(state, { kind: 'rowsSeen', rows: effect.rows }, instant);
    case 'commit':
    case 'read':
    case 'scan':
    case 'adminReply':
      return { state, effects: [effect] };
    default:
      return assertNever(effect);
  }
}

/** Lets batch work decide. */
export function batch(state: EntryState, event: BatchEvent, instant: Instant): EntryStep {
  const world = {
    configuration: state.tickets.configuration,
    versions: state.tickets.versions,
    workers: state.workers.rows,
  };
  const step = stepBatch(state.batch, event, world, instant);
  return sequence(
    { ...state, batch: step.state },
    step.effects.map((effect) => (from) => fromBatch(from, effect, instant)),
  );
}

function fromTickets(state: EntryState, effect: TicketsEffect): readonly EntryEffect[] {
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

/** Lets the tickets decide. */
export function tickets(state: EntryState, event: TicketsEvent, instant: Instant): EntryStep {
  const step = stepTickets(state.tickets, event, instant);
  const next = { ...state, tickets: step.state };
  const effects = step.effects.flatMap((effect) => fromTickets(state, effect));
  if (next.tickets.configuration === state.tickets.configuration) return { state: next, effects };
  const configured = batch(next, { kind: 'configured' }, instant);
  return { state: configured.state, effects: [...effects, ...configured.effects] };
}

/** Tells batch work which agents are gone, after their connections closed. */
export function applyMembers(
  step: EntryStep,
  before: EntryState['membership'],
  instant: Instant,
): EntryStep {
  const { agents } = step.state.membership;
  if (agents.size >= before.agents.size) return step;
  const gone = [...before.agents.keys()].filter((agentId) => !agents.has(agentId));
  const left = sequence(
    step.state,
    gone.map((agentId) => (from) => batch(from, { kind: 'agentDown', agentId }, instant)),
  );
  return { state: left.state, effects: [...step.effects, ...left.effects] };
}

/** Looks up the rows of connected workers that are not known to be registered. */
export function checkWorkers(state: EntryState, instant: Instant): EntryStep {
  const names = [...state.membership.agents.values()].map(({ profile }) => profile.worker);
  const step = workers(state, { kind: 'check', workers: names }, instant);
  return {
    state: step.state,
    effects: [
      ...step.effects,
      { kind: 'wake', timer: { kind: 'checkWorkers' }, afterMs: CHECK_WORKERS_MS },
    ],
  };
}

/** Starts everything that the entry does by itself. */
export function startControl(state: EntryState, wallOffsetMs: number, instant: Instant): EntryStep {
  return sequence({ ...state, wallOffsetMs }, [
    (from) => runRequests(from, { kind: 'started', wallOffsetMs }, instant),
    (from) => tickets(from, { kind: 'started', wallOffsetMs }, instant),
    (from) => checkWorkers(from, instant),
    (from) => batch(from, { kind: 'started', wallOffsetMs }, instant),
  ]);
}

/** Passes the end of a store access to the part that asked for it. */
export function onStoreEvent(state: EntryState, event: StoreEvent, instant: Instant): EntryStep {
  switch (event.origin) {
    case 'tickets':
      return tickets(state, event, instant);
    case 'workers':
      return workers(state, event, instant);
    case 'requests':
      return runRequests(state, event, instant);
    case 'batch':
      return batch(state, event, instant);
    case 'admin':
      return unchanged(state);
    default:
      return assertNever(event.origin);
  }
}
