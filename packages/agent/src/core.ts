import { createAdmission } from '@bronzeyoke/admission';
import { INTERFERENCE_PREFIX, createInterference } from '@bronzeyoke/interference';
import { freeResources } from '@bronzeyoke/ledger';
import { lifecycleChart } from '@bronzeyoke/lifecycle';
import { TICK_MS, createTasks } from '@bronzeyoke/tasks';
import type { AgentProfile, StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, chain } from '@bronzeyoke/types';
import type { EntryMessage } from '@bronzeyoke/wire';
import { helloMessage, handleTasks } from './tasks';
import { broadcast } from './broadcast';
import { advanceLifecycle, drain, stopWhenIdle } from './lifecycle';
import { handleAdmission } from './admission';
import type { AgentEffect, AgentEvent, AgentState, AgentStep, AgentTimer } from './types';
import {
  takeSlowDowns,
  resendSlowDowns,
  handleInterference,
  recordServiceTime,
  endWindow,
} from './interference';

const INITIAL_BEAT_INTERVAL_MS = 1_000;

/** Creates the state of an agent before its first connection. */
export function createAgent(profile: AgentProfile): AgentState {
  return {
    profile,
    lifecycle: lifecycleChart.initial,
    links: [],
    beatIntervalMs: INITIAL_BEAT_INTERVAL_MS,
    admission: createAdmission(profile.slots, profile.connections),
    tasks: createTasks(profile),
    interference: createInterference(profile.service),
  };
}

function sendBeat(before: AgentState): AgentStep {
  // Without a link no heartbeat is sent, so the changes are kept for the next one.
  const { state, slowDowns } =
    before.links.length === 0 ? { state: before, slowDowns: [] } : takeSlowDowns(before);
  const beats = broadcast(state, {
    kind: 'beat',
    free: freeResources(state.tasks.ledger),
    slotsInUse: state.admission.runningCount,
    slowDowns,
  });
  return {
    state,
    effects: [...beats, { kind: 'wake', timer: { kind: 'beat' }, afterMs: state.beatIntervalMs }],
  };
}

function tickTasks(state: AgentState, inputs: StepInputs): AgentStep {
  const nextTick: AgentEffect = { kind: 'wake', timer: { kind: 'tasks' }, afterMs: TICK_MS };
  const ticked = chain(handleTasks(state, { kind: 'tick' }, inputs), (current) =>
    endWindow(current, inputs),
  );
  return { state: ticked.state, effects: [...ticked.effects, nextTick] };
}

function onTimer(state: AgentState, timer: AgentTimer, inputs: StepInputs): AgentStep {
  switch (timer.kind) {
    case 'attemptExpiry':
      return handleAdmission(state, { kind: 'expire', attemptId: timer.attemptId }, inputs);
    case 'beat':
      return sendBeat(state);
    case 'tasks':
      return tickTasks(state, inputs);
    case 'stopTimeout':
      return advanceLifecycle(state, 'timeout');
    default:
      return assertNever(timer);
  }
}

function onMessage(
  state: AgentState,
  linkId: string,
  message: EntryMessage,
  inputs: StepInputs,
): AgentStep {
  switch (message.kind) {
    case 'welcome':
      return unchanged({ ...state, beatIntervalMs: message.beatIntervalMs });
    case 'request': {
      const { kind, ...attempt } = message;
      return handleAdmission(state, { kind, linkId, attempt }, inputs);
    }
    case 'collect':
      return handleAdmission(state, { ...message, linkId }, inputs);
    case 'cancelRequest':
      return handleAdmission(state, { kind: 'cancel', attemptId: message.attemptId }, inputs);
    case 'ping':
      return {
        state,
        effects: [{ kind: 'send', linkId, message: { kind: 'pong', sequence: message.sequence } }],
      };
    case 'config':
    case 'offer':
    case 'claimed':
    case 'claimFailed':
    case 'stopTask':
    case 'askTask':
    case 'recorded':
    case 'workerRegistered':
    case 'workerRenewed':
    case 'workerFenced':
      return handleTasks(state, { kind: 'received', linkId, message }, inputs);
    default:
      return assertNever(message);
  }
}

function onLinkOpened(state: AgentState, linkId: string, inputs: StepInputs): AgentStep {
  const links = [...state.links.filter((link) => link !== linkId), linkId];
  const hello: AgentEffect = { kind: 'send', linkId, message: helloMessage(state) };
  const draining: readonly AgentEffect[] =
    state.lifecycle === 'serving' ? [] : [{ kind: 'send', linkId, message: { kind: 'draining' } }];
  const updated = resendSlowDowns({ ...state, links });
  return chain({ state: updated, effects: [hello, ...draining] }, (current) =>
    handleTasks(current, { kind: 'linkOpened', linkId }, inputs),
  );
}

function onLinkClosed(state: AgentState, linkId: string, inputs: StepInputs): AgentStep {
  const links = state.links.filter((link) => link !== linkId);
  return chain(
    handleAdmission({ ...state, links }, { kind: 'linkClosed', linkId }, inputs),
    (current) => handleTasks(current, { kind: 'linkClosed', linkId }, inputs),
  );
}

function handleEvent(state: AgentState, event: AgentEvent, inputs: StepInputs): AgentStep {
  switch (event.kind) {
    case 'started':
      return chain(sendBeat(state), (current) => tickTasks(current, inputs));
    case 'linkOpened':
      return onLinkOpened(state, event.linkId, inputs);
    case 'linkClosed':
      return onLinkClosed(state, event.linkId, inputs);
    case 'received':
      return onMessage(state, event.linkId, event.message, inputs);
    case 'upstreamAnswered':
      return chain(recordServiceTime(state, event.attemptId, inputs), (current) =>
        handleAdmission(current, { ...event, kind: 'answered' }, inputs),
      );
    case 'upstreamNotReached':
      return handleAdmission(state, { ...event, kind: 'notReached' }, inputs);
    case 'upstreamLost':
      return chain(recordServiceTime(state, event.attemptId, inputs), (current) =>
        handleAdmission(current, { ...event, kind: 'lost' }, inputs),
      );
    case 'workerDone':
      return event.callId.startsWith(INTERFERENCE_PREFIX)
        ? handleInterference(state, event, inputs)
        : handleTasks(state, event, inputs);
    case 'timer':
      return onTimer(state, event.timer, inputs);
    case 'stop':
      return chain(drain(state, inputs), (current) =>
        handleTasks(current, { kind: 'drain' }, inputs),
      );
    default:
      return assertNever(event);
  }
}

/** Handles one event of an agent. */
export function stepAgent(state: AgentState, event: AgentEvent, inputs: StepInputs): AgentStep {
  return chain(handleEvent(state, event, inputs), stopWhenIdle);
}
