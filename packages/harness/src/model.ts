import type fc from 'fast-check';
import type { Command } from './command';
import { applyCommand } from './command';
import { checkInvariants } from './invariant';
import type { Simulation } from './simulate';

/** The model of fast-check, which is empty: the oracle does the checking. */
export type Model = Readonly<Record<string, never>>;

/** Adapts a command to the interface that fast-check runs and shrinks. */
export class ModelCommand implements fc.Command<Model, Simulation> {
  readonly command: Command;

  constructor(command: Command) {
    this.command = command;
  }

  // eslint-disable-next-line class-methods-use-this
  check(): boolean {
    return true;
  }

  run(_model: Model, simulation: Simulation): void {
    const { command } = this;
    simulation.change((world) => applyCommand(world, command));
    if (command.kind === 'wait') simulation.runFor(command.durationMs);
    checkInvariants(simulation.world());
  }

  toString(): string {
    return JSON.stringify(this.command);
  }
}
