import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, spawn } from '@bronzeyoke/actors';
import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { advance, compileChart } from '@bronzeyoke/chart';
import type { LinkCommand, LinkEvent } from '@bronzeyoke/link';
import { spawnLink } from '@bronzeyoke/link';
import type { HolderAnswer } from '@bronzeyoke/scheduler';
import type { Address } from '@bronzeyoke/types';
import { assertNever, isHost, isPort } from '@bronzeyoke/types';
import type { LeaderMessage } from '@bronzeyoke/wire';
import { AGENT_CODEC } from '@bronzeyoke/wire';
import chartFile from '../charts/holderprobe.json';

/** Chart of a question to an address. */
export const holderProbeChart = compileChart(chartFile, {
  states: ['dialing', 'waiting', 'redialing', 'listening', 'done'],
  events: ['connected', 'refused', 'failed', 'timeout', 'retry', 'named'],
  actions: [
    'listen',
    'scheduleRetry',
    'dial',
    'tellSilent',
    'tellRefused',
    'tellNamed',
    'closeLink',
    'discardSocket',
  ],
});

/** Time between two attempts. A process that binds its port again has closed it for less. */
const RETRY_MS = 100;

/** Time for both attempts and the first message. After it a takeover without an answer is near. */
const TIMEOUT_MS = 600;

/** Time after which no attempt is open any more. */
const STOP_AFTER_MS = 2 * TIMEOUT_MS + RETRY_MS;

type ProbeMessage =
  | { readonly kind: 'connected'; readonly socket: Socket }
  | { readonly kind: 'refused' }
  | { readonly kind: 'failed' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'retry' }
  | { readonly kind: 'named'; readonly entryId: string };

interface ProbeState {
  readonly phase: StateOf<typeof holderProbeChart>;
  readonly link?: Ref<LinkCommand>;
}

/** Connects once. Only a refusal of the machine itself counts as one. */
function dial({ host, port }: Address, self: Ref<ProbeMessage>): void {
  // `connect` throws for such an address.
  if (!isHost(host) || !isPort(port)) {
    dispatch(self, { kind: 'failed' });
    return;
  }
  const socket = connect({ host, port });
  const timeout = setTimeout(() => socket.destroy(), TIMEOUT_MS);
  socket.on('error', ({ code }: NodeJS.ErrnoException) =>
    dispatch(self, { kind: code === 'ECONNREFUSED' ? 'refused' : 'failed' }),
  );
  socket.once('close', () => clearTimeout(timeout));
  socket.once('connect', () => {
    clearTimeout(timeout);
    dispatch(self, { kind: 'connected', socket });
  });
}

/** Starts an actor that asks an address twice at most whether an entry listens there, and tells once. */
export function spawnHolderProbe(
  system: ActorSystemRef,
  address: Address,
  tell: (answer: HolderAnswer) => void,
): void {
  const hear = (event: LinkEvent<LeaderMessage>, self: Ref<ProbeMessage>): void => {
    switch (event.kind) {
      case 'received': {
        const { message } = event;
        if (message.kind !== 'leader' || message.entryId === undefined) return;
        dispatch(self, { kind: 'named', entryId: message.entryId });
        return;
      }
      case 'closed':
        dispatch(self, { kind: 'failed' });
        return;
      case 'opened':
      case 'skipped':
        return;
      default:
        assertNever(event);
    }
  };

  const listen = (socket: Socket, self: Ref<ProbeMessage>): Ref<LinkCommand> =>
    spawnLink(system, {
      linkId: `probe-${address.host}`,
      socket,
      codec: AGENT_CODEC,
      report: (event) => hear(event, self),
    });

  const applyAction = (
    state: ProbeState,
    action: ActionOf<typeof holderProbeChart>,
    message: ProbeMessage,
    self: Ref<ProbeMessage>,
  ): ProbeState => {
    switch (action) {
      case 'listen':
        return message.kind === 'connected'
          ? { ...state, link: listen(message.socket, self) }
          : state;
      case 'scheduleRetry':
        setTimeout(() => dispatch(self, { kind: 'retry' }), RETRY_MS).unref();
        return state;
      case 'dial':
        dial(address, self);
        return state;
      case 'tellSilent':
        tell({ kind: 'silent' });
        return state;
      case 'tellRefused':
        tell({ kind: 'refused' });
        return state;
      case 'tellNamed':
        if (message.kind === 'named') tell(message);
        return state;
      case 'closeLink':
        if (state.link !== undefined) dispatch(state.link, { kind: 'close' });
        return state;
      case 'discardSocket':
        if (message.kind === 'connected') message.socket.destroy();
        return state;
      default:
        return assertNever(action);
    }
  };

  const handle = (
    state: ProbeState,
    message: ProbeMessage,
    context: { readonly self: Ref<ProbeMessage> },
  ): ProbeState => {
    const next = advance(holderProbeChart, state.phase, message.kind);
    return next.actions.reduce<ProbeState>(
      (current, action) => applyAction(current, action, message, context.self),
      { ...state, phase: next.state },
    );
  };

  const actor: Ref<ProbeMessage> = spawn(system, handle, undefined, {
    initialState: { phase: holderProbeChart.initial },
  });
  setTimeout(() => dispatch(actor, { kind: 'timeout' }), TIMEOUT_MS).unref();
  setTimeout(() => actor.stop(), STOP_AFTER_MS).unref();
  dial(address, actor);
}
