import { createAdmission } from '@bronzeyoke/admission';
import { INTERFERENCE_PREFIX, createInterference } from '@bronzeyoke/interference';
import { freeResources } from '@bronzeyoke/ledger';
import { lifecycleChart } from '@bronzeyoke/lifecycle';
import { TICK_MS, createTasks } from '@bronzeyoke/tasks';
import type { AgentProfile, Instant } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import type { EntryMessage } from '@bronzeyoke/wire';
import { helloMessage, handleTasks } from './tasks';
import { chain, broadcast } from './chain';
import { advanceRole, drain, stopWhenIdle } from './role';
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
    role: lifecycleChart.initial,
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

function tickTasks(state: AgentState, instant: Instant): AgentStep {
  const nextTick: AgentEffect = { kind: 'wake', timer: { kind: 'tasks' }, afterMs: TICK_MS };
  const ticked = chain(handleTasks(state, { kind: 'tick' }, instant), (current) =>
    endWindow(current, instant),
  );
  return { state: ticked.state, effects: [...ticked.effects, nextTick] };
}

function onTimer(state: AgentState, timer: AgentTimer, instant: Instant): AgentStep {
  switch (timer.kind) {
    case 'attemptExpiry':
      return handleAdmission(state, { kind: 'expire', attemptId: timer.attemptId }, instant);
    case 'beat':
      return sendBeat(state);
    case 'tasks':
      return tickTasks(state, instant);
    case 'stopLimit':
      return advanceRole(state, 'timeout');
    default:
      return assertNever(timer);
  }
}

function onMessage(
  state: AgentState,
  linkId: string,
  message: EntryMessage,
  instant: Instant,
): AgentStep {
  switch (message.kind) {
    case 'welcome':
      return unchanged({ ...state, beatIntervalMs: message.beatIntervalMs });
    case 'request': {
      const { kind, ...attempt } = message;
      return handleAdmission(state, { kind, linkId, attempt }, instant);
    }
    case 'collect':
      return handleAdmission(state, { ...message, linkId }, instant);
    case 'cancelRequest':
      return handleAdmission(state, { kind: 'cancel', attemptId: message.attemptId }, instant);
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
      return handleTasks(state, { kind: 'received', linkId, message }, instant);
    default:
      return assertNever(message);
  }
}

function onLinkOpened(state: AgentState, linkId: string, instant: Instant): AgentStep {
  const links = [...state.links.filter((link) => link !== linkId), linkId];
  const hello: AgentEffect = { kind: 'send', linkId, message: helloMessage(state) };
  const draining: readonly AgentEffect[] =
    state.role === 'serving' ? [] : [{ kind: 'send', linkId, message: { kind: 'draining' } }];
  const updated = resendSlowDowns({ ...state, links });
  return chain({ state: updated, effects: [hello, ...draining] }, (current) =>
    handleTasks(current, { kind: 'linkOpened', linkId }, instant),
  );
}

function onLinkClosed(state: AgentState, linkId: string, instant: Instant): AgentStep {
  const links = state.links.filter((link) => link !== linkId);
  return chain(
    handleAdmission({ ...state, links }, { kind: 'linkClosed', linkId }, instant),
    (current) => handleTasks(current, { kind: 'linkClosed', linkId }, instant),
  );
}

function handleEvent(state: AgentState, event: AgentEvent, instant: Instant): AgentStep {
  switch (event.kind) {
    case 'started':
      return chain(sendBeat(state), (current) => tickTasks(current, instant));
    case 'linkOpened':
      return onLinkOpened(state, event.linkId, instant);
    case 'linkClosed':
      return onLinkClosed(state, event.linkId, instant);
    case 'received':
      return onMessage(state, event.linkId, event.message, instant);
    case 'upstreamAnswered':
      return chain(recordServiceTime(state, event.attemptId, instant), (current) =>
        handleAdmission(current, { ...event, kind: 'answered' }, instant),
      );
    case 'upstreamNotReached':
      return handleAdmission(state, { ...event, kind: 'notReached' }, instant);
    case 'upstreamLost':
      return chain(recordServiceTime(state, event.attemptId, instant), (current) =>
        handleAdmission(current, { ...event, kind: 'lost' }, instant),
      );
    case 'workerDone':
      return event.callId.startsWith(INTERFERENCE_PREFIX)
        ? handleInterference(state, event, instant)
        : handleTasks(state, event, instant);
    case 'timer':
      return onTimer(state, event.timer, instant);
    case 'stop':
      return chain(drain(state, instant), (current) =>
        handleTasks(current, { kind: 'drain' }, instant),
      );
    default:
      return assertNever(event);
  }
}

/** Handles one event of an agent. */
export function stepAgent(state: AgentState, event: AgentEvent, instant: Instant): AgentStep {
  return chain(handleEvent(state, event, instant), stopWhenIdle);
}
