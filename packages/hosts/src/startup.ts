import type { StateOf } from '@bronzeyoke/chart';
import { advance, compileChart } from '@bronzeyoke/chart';
import type { LogEffect } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever } from '@bronzeyoke/types';
import chartFile from '../charts/startup.json';

const chart = compileChart(chartFile, {
  states: ['started', 'reachable', 'configured', 'accepting'],
  events: ['storeAnswered', 'configured'],
  actions: ['logStep', 'logAccepting'],
});

/** What an entry waits for before it accepts jobs. */
export type StartupEvent = 'storeAnswered' | 'configured';

/** How far the start of an entry has come, and the time of its last step since the start of the process. */
export interface Startup {
  readonly phase: StateOf<typeof chart>;
  readonly lastStepMs: number;
}

/** State and log lines after an event. */
export interface StartupStep {
  readonly state: Startup;
  readonly logs: readonly LogEffect[];
}

/** Start of an entry, before anything has answered. */
export const NOT_STARTED: Startup = { phase: chart.initial, lastStepMs: 0 };

/** Advances the start of an entry, and logs each step that is new. `upMs` counts from the process start. */
export function advanceStartup(state: Startup, event: StartupEvent, upMs: number): StartupStep {
  const next = advance(chart, state.phase, event);
  if (next.actions.length === 0) return { state, logs: [] };
  const times = { tookMs: Math.round(upMs - state.lastStepMs), upMs: Math.round(upMs) };
  const logs = next.actions.map((action) => {
    switch (action) {
      case 'logStep':
        return logEffect('startupStep', { step: event, ...times });
      case 'logAccepting':
        return logEffect('startupStep', { step: 'accepting', ...times });
      default:
        return assertNever(action);
    }
  });
  return { state: { phase: next.state, lastStepMs: upMs }, logs };
}
