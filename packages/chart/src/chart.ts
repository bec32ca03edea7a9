import { z } from 'zod';

const transitionSchema = z.strictObject({
  target: z.string().optional(),
  actions: z.array(z.string()).readonly().optional(),
});

const chartSchema = z.strictObject({
  id: z.string(),
  initial: z.string(),
  states: z.record(
    z.string(),
    z.strictObject({
      type: z.literal('final').optional(),
      on: z.record(z.string(), transitionSchema).optional(),
    }),
  ),
});

/** Next state and actions of a chart after an event. */
export interface Transition<State extends string, Action extends string> {
  readonly state: State;
  readonly actions: readonly Action[];
}

/** Checked chart file, compiled to a lookup table. */
export interface Chart<State extends string, Event extends string, Action extends string> {
  readonly id: string;
  readonly initial: State;
  readonly states: readonly State[];
  readonly actions: readonly Action[];
  readonly table: ReadonlyMap<string, ReadonlyMap<Event, Transition<State, Action>>>;
}

/** Union of the states of a compiled chart. */
export type StateOf<Compiled extends { readonly states: readonly string[] }> =
  Compiled['states'][number];

/** Union of the actions of a compiled chart. */
export type ActionOf<Compiled extends { readonly actions: readonly string[] }> =
  Compiled['actions'][number];

/** Names that the code of a chart handles. Chart files with other names are rejected. */
export interface ChartNames<State extends string, Event extends string, Action extends string> {
  readonly states: readonly State[];
  readonly events: readonly Event[];
  readonly actions: readonly Action[];
}

/** Error about a chart file that does not match the code. */
export class ChartError extends Error {
  readonly chartId: string;

  constructor(chartId: string, problem: string) {
    super(`chart ${chartId}: ${problem}`);
    this.name = 'ChartError';
    this.chartId = chartId;
  }
}

function resolveName<Name extends string>(
  chartId: string,
  label: string,
  names: readonly Name[],
  name: string,
): Name {
  const found = names.find((candidate) => candidate === name);
  if (found === undefined) throw new ChartError(chartId, `unknown ${label} "${name}"`);
  return found;
}

/** Checks a chart file against the names in the code and compiles it into a lookup table. */
export function compileChart<State extends string, Event extends string, Action extends string>(
  file: unknown,
  names: ChartNames<State, Event, Action>,
): Chart<State, Event, Action> {
  const parsed = chartSchema.safeParse(file);
  if (!parsed.success) throw new ChartError('(unreadable)', z.prettifyError(parsed.error));
  const { id, initial, states } = parsed.data;
  const missing = names.states.find((state) => !(state in states));
  if (missing !== undefined) throw new ChartError(id, `missing state "${missing}"`);
  const table = new Map<string, ReadonlyMap<Event, Transition<State, Action>>>(
    Object.entries(states).map(([stateName, definition]) => {
      const state = resolveName(id, 'state', names.states, stateName);
      const row = new Map(
        Object.entries(definition.on ?? {}).map(([eventName, transition]) => [
          resolveName(id, 'event', names.events, eventName),
          {
            state: resolveName(id, 'state', names.states, transition.target ?? state),
            actions: (transition.actions ?? []).map((action) =>
              resolveName(id, 'action', names.actions, action),
            ),
          },
        ]),
      );
      return [state, row] as const;
    }),
  );
  return {
    id,
    initial: resolveName(id, 'state', names.states, initial),
    states: names.states,
    actions: names.actions,
    table,
  };
}

/** Returns the transition for an event. An event that the state does not handle changes nothing. */
export function advance<State extends string, Event extends string, Action extends string>(
  chart: Chart<State, Event, Action>,
  state: State,
  event: Event,
): Transition<State, Action> {
  return chart.table.get(state)?.get(event) ?? { state, actions: [] };
}

/** Returns whether a state handles an event. */
export function accepts<State extends string, Event extends string, Action extends string>(
  chart: Chart<State, Event, Action>,
  state: State,
  event: Event,
): boolean {
  return chart.table.get(state)?.has(event) ?? false;
}
