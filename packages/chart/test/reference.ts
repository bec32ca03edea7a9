import { expect } from 'chai';
import { createMachine, initialTransition, transition } from 'xstate';
import type { Chart } from '@bronzeyoke/chart';
import { advance } from '@bronzeyoke/chart';

interface Definition {
  readonly initial: string;
  readonly states: Readonly<Record<string, object>>;
}

/** Asserts that a compiled chart and XState have the same transition for every state and event. */
export function expectSameAsReference(
  chart: Chart<string, string, string>,
  definition: Definition,
  events: readonly string[],
): void {
  chart.states.forEach((state) => {
    const machine = createMachine({ ...definition, initial: state } as never);
    const [snapshot] = initialTransition(machine);
    events.forEach((type) => {
      const [next, actions] = transition(machine, snapshot, { type });
      const compiled = advance(chart, state, type);
      const label = `${chart.id} ${state} ${type}`;
      expect(compiled.state, label).to.equal(next.value);
      expect(compiled.actions, label).to.deep.equal(actions.map((action) => action.type));
    });
  });
}
