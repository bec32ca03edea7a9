import type fc from 'fast-check';
import type { Command } from './command';
import { applyCommand } from './command';
import { checkPromises } from './promise';
import type { Simulation } from './simulate';

/** The model of fast-check is empty: commands choose among what exists, and the oracle judges. */
export type Model = Readonly<Record<string, never>>;

/** A command as fast-check runs and shrinks it. */
export class Act implements fc.Command<Model, Simulation> {
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
    checkPromises(simulation.world());
  }

  toString(): string {
    return JSON.stringify(this.command);
  }
}
