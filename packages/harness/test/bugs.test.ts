import { expect } from 'chai';
import type { BreakableInvariant } from '@bronzeyoke/harness';
import {
  ALL_COMMANDS,
  FAULT_FREE_COMMANDS,
  LOSING_CONFIGURATION,
  STOP_COMMANDS,
  injectBug,
  runFuzz,
} from '@bronzeyoke/harness';

// Guards against an oracle or commands that detect no violation, which would pass any product.
const INVARIANTS: readonly BreakableInvariant[] = [
  'P1',
  'P2',
  'P3',
  'P4',
  'P5',
  'P6',
  'P7',
  'P8',
  'P9',
  'P10',
];

INVARIANTS.forEach((invariant) => {
  it(`bugs: an injected violation of ${invariant} is detected`, () => {
    // With stops alone, a few runs suffice to abort a request.
    const commands = invariant === 'P9' ? STOP_COMMANDS : ALL_COMMANDS;
    const world = injectBug(invariant);
    const report = runFuzz({ seed: 1, runs: 100, shrinks: false, commands, world });
    expect(report.failure?.violation.invariant).to.equal(invariant);
  });
});

it('bugs: an entry that loses its configuration is detected', () => {
  const report = runFuzz({
    seed: 1,
    runs: 100,
    shrinks: false,
    commands: FAULT_FREE_COMMANDS,
    world: { decisions: LOSING_CONFIGURATION },
  });
  expect(report.failure?.violation.invariant).to.equal('P10');
});
