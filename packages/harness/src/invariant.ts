import type { Violation } from './oraclestate';
import type { World } from './world';

/** A violated invariant, which ends the run of a trace. */
export class InvariantError extends Error {
  readonly violation: Violation;

  constructor(violation: Violation) {
    super(`${violation.invariant}: ${violation.detail}`);
    this.violation = violation;
  }
}

/** Throws if the oracle has found a violated invariant, which ends the run of a trace. */
export function checkInvariants(world: World): void {
  const violation = world.oracle.violations.first();
  if (violation !== undefined) throw new InvariantError(violation);
}
