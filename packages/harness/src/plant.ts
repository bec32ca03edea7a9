import type { AgentEffect } from '@bronzeyoke/agent';
import { stepAgent } from '@bronzeyoke/agent';
import type { EntryEffect, EntryEvent, EntryState } from '@bronzeyoke/entry';
import { stepEntry } from '@bronzeyoke/entry';
import type { StoreEffect } from '@bronzeyoke/ports';
import { EMPTY_CONFIGURATION, assertNever } from '@bronzeyoke/types';
import { answerTo, bodyOf } from './body';
import type { PromiseId } from './oracle';
import type { WorldOptions } from './simulate';
import { HONEST } from './simulate';
import type { Decisions } from './world';

/** Promises whose breach can be planted. */
export type Plantable = Exclude<PromiseId, 'idle'>;

/** What is different in a world with a planted breach. */
export type Planted = Partial<Pick<WorldOptions, 'decisions' | 'switches'>>;

const PRODUCT: Decisions = { entry: stepEntry, agent: stepAgent };

function mapEntry(change: (effect: EntryEffect) => readonly EntryEffect[]): Decisions {
  return {
    ...PRODUCT,
    entry: (state, event, instant) => {
      const step = stepEntry(state, event, instant);
      return { ...step, effects: step.effects.flatMap(change) };
    },
  };
}

function withoutConditions(effect: StoreEffect): StoreEffect {
  return effect.kind === 'commit' && effect.origin === 'tickets'
    ? { ...effect, transaction: { ...effect.transaction, conditions: [] } }
    : effect;
}

function withoutDomains(effect: EntryEffect): EntryEffect {
  if (effect.kind !== 'commit' || effect.origin !== 'batch') return effect;
  const { transaction } = effect;
  const conditions = transaction.conditions.filter(({ key }) => !key.startsWith('domain/'));
  return { ...effect, transaction: { ...transaction, conditions } };
}

function hideDomains(event: EntryEvent): EntryEvent {
  if (event.kind !== 'readDone' || event.result.kind !== 'rows') return event;
  const rows = event.result.rows.filter(({ key }) => !key.startsWith('domain/'));
  return { ...event, result: { kind: 'rows', rows } };
}

function restartEpoch(effect: AgentEffect): AgentEffect {
  return effect.kind === 'worker' && effect.command.kind === 'start'
    ? {
        ...effect,
        command: { ...effect.command, command: { ...effect.command.command, epoch: 1 } },
      }
    : effect;
}

function toEveryAgent(state: EntryState, effect: EntryEffect): readonly EntryEffect[] {
  const isClaim = effect.kind === 'send' && ['offer', 'claimed'].includes(effect.message.kind);
  return isClaim
    ? state.membership.agents
        .valueSeq()
        .map(({ linkId }) => ({ ...effect, linkId }))
        .toArray()
    : [effect];
}

function plantDecisions(promise: Exclude<Plantable, 'P1'>): Decisions {
  switch (promise) {
    // Every agent is offered each task and told that it holds the claim.
    case 'P2':
      return {
        ...PRODUCT,
        entry: (state, event, instant) => {
          const step = stepEntry(state, event, instant);
          const effects = step.effects.flatMap((effect) => toEveryAgent(step.state, effect));
          return { ...step, effects };
        },
      };
    // Every start of a task claims to be the first.
    case 'P3':
      return {
        ...PRODUCT,
        agent: (state, event, instant) => {
          const step = stepAgent(state, event, instant);
          return { ...step, effects: step.effects.map(restartEpoch) };
        },
      };
    // Entries neither learn that a domain is out nor make claims conditional on it.
    case 'P4':
      return {
        ...PRODUCT,
        entry: (state, event, instant) => {
          const step = stepEntry(state, hideDomains(event), instant);
          return { ...step, effects: step.effects.map(withoutDomains) };
        },
      };
    // An answer goes to the wrong request.
    case 'P5':
      return mapEntry((effect) =>
        effect.kind === 'reply' && effect.outcome.kind === 'answered'
          ? [{ ...effect, outcome: { kind: 'answered', answer: answerTo(bodyOf('r0')) } }]
          : [effect],
      );
    // A request of which nobody knows whether it ran is refused as not run.
    case 'P6':
      return mapEntry((effect) =>
        effect.kind === 'reply' && effect.outcome.kind === 'unknown'
          ? [{ ...effect, outcome: { kind: 'notRun', reason: 'noUpstream' } }]
          : [effect],
      );
    // Every non-idempotent attempt is sent a second time, without its key and under another id.
    case 'P7':
      return mapEntry((effect) =>
        effect.kind === 'send' &&
        effect.message.kind === 'request' &&
        effect.message.idempotencyKey !== undefined
          ? [
              effect,
              {
                ...effect,
                message: {
                  ...effect.message,
                  idempotencyKey: undefined,
                  attemptId: `${effect.message.attemptId}x`,
                },
              },
            ]
          : [effect],
      );
    // A stopping agent goes on as before.
    case 'P8':
      return {
        ...PRODUCT,
        agent: (state, event, instant) =>
          event.kind === 'stop' ? { state, effects: [] } : stepAgent(state, event, instant),
      };
    // A stopping agent exits at once.
    case 'P9':
      return {
        ...PRODUCT,
        agent: (state, event, instant) => {
          const step = stepAgent(state, event, instant);
          return event.kind === 'stop'
            ? { ...step, effects: [...step.effects, { kind: 'exit' }] }
            : step;
        },
      };
    // A ticket is written whatever number was accepted before.
    case 'P10':
      return mapEntry((effect) =>
        effect.kind === 'commit' ? [withoutConditions(effect)] : [effect],
      );
    default:
      return assertNever(promise);
  }
}

/** A world in which one promise is broken. The product itself has no such switch. */
export function plant(promise: Plantable): Planted {
  switch (promise) {
    case 'P1':
      return { switches: { ...HONEST, overstatesTotals: true } };
    default:
      return { decisions: plantDecisions(promise) };
  }
}

/** An entry that loses its configuration while it runs: a second way to break P10. */
export const FORGETFUL: Decisions = {
  ...PRODUCT,
  entry: (state, event, instant) => {
    const isForgetful = event.kind === 'admin' && instant.random < 0.5;
    const tickets = isForgetful
      ? { ...state.tickets, configuration: EMPTY_CONFIGURATION }
      : state.tickets;
    return stepEntry({ ...state, tickets }, event, instant);
  },
};
