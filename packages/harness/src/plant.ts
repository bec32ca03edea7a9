import { stepAgent } from '@bronzeyoke/agent';
import type { EntryEffect } from '@bronzeyoke/entry';
import { stepEntry } from '@bronzeyoke/entry';
import type { StoreEffect } from '@bronzeyoke/ports';
import { EMPTY_CONFIGURATION, assertNever } from '@bronzeyoke/types';
import { answerTo, bodyOf } from './body';
import type { PromiseId } from './oracle';
import type { Decisions } from './world';

/** Promises whose breach can be planted so far. */
export type Plantable = Extract<PromiseId, 'P5' | 'P6' | 'P7' | 'P8' | 'P9' | 'P10'>;

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

/** Decisions with one fault that breaks a promise. The product itself has no such switch. */
export function plant(promise: Plantable): Decisions {
  switch (promise) {
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
    // Every non-idempotent attempt is sent twice under different attempt ids.
    case 'P7':
      return mapEntry((effect) =>
        effect.kind === 'send' &&
        effect.message.kind === 'request' &&
        effect.message.idempotencyKey !== undefined
          ? [
              effect,
              {
                ...effect,
                message: { ...effect.message, attemptId: `${effect.message.attemptId}x` },
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
