import type { Violation } from './oracle';
import type { World } from './world';

/** A broken promise ends the run of a trace. */
export class BrokenPromise extends Error {
  readonly violation: Violation;

  constructor(violation: Violation) {
    super(`${violation.promise}: ${violation.what}`);
    this.violation = violation;
  }
}

/** Ends the run of a trace if the oracle has found a broken promise. */
export function checkPromises(world: World): void {
  const violation = world.oracle.violations.first();
  if (violation !== undefined) throw new BrokenPromise(violation);
}
