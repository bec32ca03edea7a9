import type { AgentEffect } from '@bronzeyoke/agent';
import { stepAgent } from '@bronzeyoke/agent';
import type { EntryEffect, EntryEvent, EntryState } from '@bronzeyoke/entry';
import { stepEntry } from '@bronzeyoke/entry';
import type { StoreEffect } from '@bronzeyoke/ports';
import { EMPTY_CONFIGURATION, assertNever } from '@bronzeyoke/types';
import { expectedAnswer, requestBody } from './body';
import type { InvariantId } from './oraclestate';
import type { WorldOptions } from './simulate';
import { NO_STANDIN_BUGS } from './simulate';
import type { Decisions } from './world';

/** An invariant that an injected bug can violate. */
export type BreakableInvariant = Exclude<InvariantId, 'idle'>;

/** The options that differ in a world with an injected bug. */
export type InjectedBug = Partial<Pick<WorldOptions, 'decisions' | 'standinBugs'>>;

const PRODUCT: Decisions = { entry: stepEntry, agent: stepAgent };

function mapEntry(change: (effect: EntryEffect) => readonly EntryEffect[]): Decisions {
  return {
    ...PRODUCT,
    entry: (state, event, inputs) => {
      const step = stepEntry(state, event, inputs);
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

function decisionsViolating(invariant: Exclude<BreakableInvariant, 'P1'>): Decisions {
  switch (invariant) {
    // Each offer and each confirmed claim of a task goes to every agent.
    case 'P2':
      return {
        ...PRODUCT,
        entry: (state, event, inputs) => {
          const step = stepEntry(state, event, inputs);
          const effects = step.effects.flatMap((effect) => toEveryAgent(step.state, effect));
          return { ...step, effects };
        },
      };
    // Every start of a task has the epoch of the first start.
    case 'P3':
      return {
        ...PRODUCT,
        agent: (state, event, inputs) => {
          const step = stepAgent(state, event, inputs);
          return { ...step, effects: step.effects.map(restartEpoch) };
        },
      };
    // Entries do not see the rows of domains, and their claims are not conditional on them.
    case 'P4':
      return {
        ...PRODUCT,
        entry: (state, event, inputs) => {
          const step = stepEntry(state, hideDomains(event), inputs);
          return { ...step, effects: step.effects.map(withoutDomains) };
        },
      };
    // Every request gets the answer to another one.
    case 'P5':
      return mapEntry((effect) =>
        effect.kind === 'reply' && effect.outcome.kind === 'answered'
          ? [
              {
                ...effect,
                outcome: { kind: 'answered', answer: expectedAnswer(requestBody('r0')) },
              },
            ]
          : [effect],
      );
    // A request with an unknown outcome is reported as not run.
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
    // An agent ignores its planned stop.
    case 'P8':
      return {
        ...PRODUCT,
        agent: (state, event, inputs) =>
          event.kind === 'stop' ? { state, effects: [] } : stepAgent(state, event, inputs),
      };
    // A stopping agent exits at once.
    case 'P9':
      return {
        ...PRODUCT,
        agent: (state, event, inputs) => {
          const step = stepAgent(state, event, inputs);
          return event.kind === 'stop'
            ? { ...step, effects: [...step.effects, { kind: 'exit' }] }
            : step;
        },
      };
    // A ticket is written without a check of the number that was accepted before.
    case 'P10':
      return mapEntry((effect) =>
        effect.kind === 'commit' ? [withoutConditions(effect)] : [effect],
      );
    default:
      return assertNever(invariant);
  }
}

/** Returns options for a world that violates one invariant. The product has no such switch. */
export function injectBug(invariant: BreakableInvariant): InjectedBug {
  switch (invariant) {
    case 'P1':
      return { standinBugs: { ...NO_STANDIN_BUGS, overstatesTotals: true } };
    default:
      return { decisions: decisionsViolating(invariant) };
  }
}

/** Decisions of an entry that loses its configuration while it runs, which also violates P10. */
export const LOSING_CONFIGURATION: Decisions = {
  ...PRODUCT,
  entry: (state, event, inputs) => {
    const losesConfiguration = event.kind === 'admin' && inputs.random < 0.5;
    const tickets = losesConfiguration
      ? { ...state.tickets, configuration: EMPTY_CONFIGURATION }
      : state.tickets;
    return stepEntry({ ...state, tickets }, event, inputs);
  },
};
