import { expect } from 'chai';
import { DEFAULT_POLICY } from '@bronzeyoke/scheduler';
import { jobsOf, lasting, loggedFields, playTurns, takeOverDark, TIMES } from './fixture';
import { createSimulation } from './simulation';

const STEPS = ['claimed', 'loaded', 'reported', 'ordered', 'restored'];

// Guards against a way back of which the log does not tell which step took the time.
it('recovery steps: a leader logs each step once, the last one when all lasting tasks are ordered', () => {
  const policy = { ...DEFAULT_POLICY, restoresPlaces: true };
  const dark = takeOverDark(
    jobsOf(4, (index) => lasting(`lasting${index}`, 500, 5)),
    10,
    policy,
  );
  const lines = loggedFields(playTurns(dark, 30).fixture, 'recoveryStep');
  expect(lines.map(({ step }) => step)).to.deep.equal(STEPS);
  expect(lines.at(-1)).to.include({ atFormerPlace: 20 });
});

// Guards against steps of a former leader that hide those of the next one.
it('recovery steps: each new leader logs its own steps', () => {
  const simulation = createSimulation(5, 5, TIMES);
  simulation.submit('lasting', 6);
  simulation.advance(6_000);
  simulation.killEntry(simulation.leader(), 20_000);
  simulation.advance(12_000);
  const claimed = simulation
    .logged()
    .filter(({ event, fields }) => event === 'recoveryStep' && fields.step === 'restored');
  expect(new Set(claimed.map(({ fields }) => fields.term)).size).to.equal(2);
});
