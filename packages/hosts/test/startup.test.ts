import { expect } from 'chai';
import type { Startup, StartupEvent } from '@bronzeyoke/hosts';
import { advanceStartup, NOT_STARTED } from '@bronzeyoke/hosts';

/** Applies events that come 100 ms apart, and returns the steps that are logged. */
function stepsOf(events: readonly StartupEvent[]): readonly unknown[] {
  return events.reduce<{ readonly state: Startup; readonly steps: readonly unknown[] }>(
    ({ state, steps }, event, index) => {
      const next = advanceStartup(state, event, (index + 1) * 100);
      return { state: next.state, steps: [...steps, ...next.logs.map(({ fields }) => fields)] };
    },
    { state: NOT_STARTED, steps: [] },
  ).steps;
}

const ANSWERED = { step: 'storeAnswered', tookMs: 100, upMs: 100 };
const CONFIGURED = { step: 'configured', tookMs: 100, upMs: 200 };
const ACCEPTING = { step: 'accepting', tookMs: 100, upMs: 200 };

// Guards against a start whose slowest step nobody sees.
it('startup: each step is logged with its time', () => {
  expect(stepsOf(['storeAnswered', 'configured'])).to.deep.equal([ANSWERED, CONFIGURED, ACCEPTING]);
});

// Guards against an entry that counts as accepting before it has a configuration, or more than once.
it('startup: an entry accepts once both are there, in any order', () => {
  const steps = stepsOf(['configured', 'configured', 'storeAnswered', 'configured']);
  expect(steps).to.have.length(3);
  expect(steps.at(-1)).to.include({ step: 'accepting', upMs: 300 });
  expect(stepsOf(['storeAnswered', 'storeAnswered'])).to.deep.equal([ANSWERED]);
});
