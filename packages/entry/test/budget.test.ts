import { expect } from 'chai';
import fc from 'fast-check';
import type { BudgetEvent, BudgetState } from '@bronzeyoke/entry';
import { INITIAL_BUDGET, stepBudget } from '@bronzeyoke/entry';
import type { StoreEffect } from '@bronzeyoke/ports';

function commit(callId: string, isRenewal: boolean): StoreEffect {
  const transaction = { conditions: [], writes: [] };
  const access = { kind: 'commit', origin: 'batch', callId, transaction } as const;
  return isRenewal ? { ...access, isRenewal } : access;
}

// A renewal behind a burst of claims would come too late, and the worker would lose its lease.
it('budget: renewals overtake other transactions', () => {
  const events: readonly BudgetEvent[] = [
    ...Array.from({ length: 100 }, (_, index) => commit(`c${index}`, false)),
    commit('r', true),
  ].map((access) => ({ kind: 'access', access }));
  const full = events.reduce(
    (state: BudgetState, event) => stepBudget(state, event, { nowMs: 0, random: 0 }).state,
    INITIAL_BUDGET,
  );
  const step = stepBudget(full, { kind: 'refill' }, { nowMs: 20, random: 0 });
  const calls = step.effects.flatMap((effect) =>
    effect.kind === 'call' ? [effect.access.callId] : [],
  );
  expect(calls).to.deep.equal(['r']);
});

// More transactions than the budget would overload the table after an outage.
it('budget: at most 60 transactions a second and a short burst', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(100), { minLength: 50, maxLength: 300 }), (gaps) => {
      let nowMs = 0;
      let state = INITIAL_BUDGET;
      let calls = 0;
      gaps.forEach((gap, index) => {
        nowMs += gap;
        const access = { kind: 'access', access: commit(`c${index}`, false) } as const;
        const step = stepBudget(state, access, { nowMs, random: 0 });
        const sent = step.effects.filter((effect) => effect.kind === 'call').length;
        calls += sent;
        state = { ...step.state, inFlight: 0 };
      });
      expect(calls).to.be.at.most((nowMs / 1_000) * 60 + 15);
    }),
    { seed: 12, numRuns: 100 },
  );
});
