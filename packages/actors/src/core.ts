import { performance } from 'node:perf_hooks';
import type { ActorSystemRef } from 'nact';
import type { Decide } from '@bronzeyoke/types';
import type { ActorOptions, Context, Ref } from './actor';
import { dispatch, spawn } from './actor';

/** Decision function of a core, with the callbacks that perform its effects. */
export interface CoreOptions<State, Event, Effect> {
  readonly name: string;
  readonly initial: State;
  readonly decide: Decide<State, Event, Effect>;
  /** Performs one effect. It must not block. */
  readonly perform: (effect: Effect, self: Ref<Event>) => void;
  /** Called with an error of a decision, after which the state from before the event is kept, or of an effect. */
  readonly onError: (error: unknown, event: Event) => void;
  readonly maxBatchMs?: ActorOptions<State, Event>['maxBatchMs'];
  readonly mailbox?: ActorOptions<State, Event>['mailbox'];
}

/** Starts the actor that owns the state of a core and applies events one at a time. */
export function spawnCore<State, Event, Effect>(
  system: ActorSystemRef,
  options: CoreOptions<State, Event, Effect>,
): Ref<Event> {
  const { name, initial, decide, perform, onError, maxBatchMs, mailbox } = options;
  const performSafely = (effect: Effect, event: Event, self: Ref<Event>): void => {
    try {
      perform(effect, self);
    } catch (error) {
      // The other effects and the state belong to a decision that was made, so they stand.
      onError(error, event);
    }
  };
  const handle = (state: State, event: Event, context: Context<Event>): State => {
    try {
      const step = decide(state, event, { nowMs: performance.now(), random: Math.random() });
      step.effects.forEach((effect) => performSafely(effect, event, context.self));
      return step.state;
    } catch (error) {
      onError(error, event);
      return state;
    }
  };
  return spawn(system, handle, name, { initialState: initial, maxBatchMs, mailbox });
}

/** Sends an event to an actor after a delay. Pending events do not keep the process alive. */
export function dispatchAfter<Event>(target: Ref<Event>, event: Event, delayMs: number): void {
  setTimeout(() => dispatch(target, event), Math.max(0, delayMs)).unref();
}
