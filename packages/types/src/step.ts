import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Time and random number that a decision may use. */
export interface StepInputs {
  /** Monotonic time of the process. */
  readonly nowMs: number;
  /** One uniform number in [0, 1). */
  readonly random: number;
}

/** Result of a decision: the next state, and the effects that the shell carries out. */
export interface Step<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** Pure function that decides on the next state and the effects of a core. */
export type Decide<State, Event, Effect> = (
  state: State,
  event: Event,
  inputs: StepInputs,
) => Step<State, Effect>;

/** Returns a step that changes nothing. */
export function unchanged<State>(state: State): Step<State, never> {
  return { state, effects: [] };
}

/** Applies a decision to the state of a step and appends its effects. */
export function chain<State, Effect>(
  step: Step<State, Effect>,
  decide: (state: State) => Step<State, Effect>,
): Step<State, Effect> {
  const next = decide(step.state);
  return next.effects.length === 0
    ? { state: next.state, effects: step.effects }
    : { state: next.state, effects: [...step.effects, ...next.effects] };
}

/** Applies decisions in order to the state of a step and appends their effects. */
export function chainAfter<State, Effect>(
  first: Step<State, Effect>,
  decisions: readonly ((state: State) => Step<State, Effect>)[],
): Step<State, Effect> {
  return decisions.reduce<Step<State, Effect>>(chain, first);
}

/** Applies decisions in order to a state and collects their effects. */
export function chainAll<State, Effect>(
  state: State,
  decisions: readonly ((state: State) => Step<State, Effect>)[],
): Step<State, Effect> {
  return chainAfter<State, Effect>({ state, effects: [] }, decisions);
}

/** Applies a decision for each item in turn and collects the effects. */
export function chainEach<State, Effect, Item>(
  step: Step<State, Effect>,
  items: Iterable<Item>,
  decide: (state: State, item: Item) => Step<State, Effect>,
): Step<State, Effect> {
  return [...items].reduce((current, item) => chain(current, (state) => decide(state, item)), step);
}

/** Throws on a value that no variant covers. The compiler rejects a switch that misses a variant. */
export function assertNever(value: never): never {
  throw new TypeError(`unexpected variant: ${JSON.stringify(value)}`);
}

const SEED_RANGE = 0x7fff_ffff;

/** Derives `count` numbers in [0, 1) from one, for decisions that need several random numbers. */
export function drawUniforms(random: number, count: number): readonly number[] {
  const generator = xoroshiro128plus(Math.floor(random * SEED_RANGE));
  return Array.from({ length: count }, () => uniformFloat64(generator));
}

/** Returns a copy of a value without some of its fields. */
export function without<Value extends object, Key extends keyof Value>(
  value: Value,
  ...keys: readonly Key[]
): Omit<Value, Key> {
  const kept = Object.entries(value).filter(([key]) => !keys.some((other) => other === key));
  return Object.fromEntries(kept) as Omit<Value, Key>;
}
