import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, spawn } from '@bronzeyoke/actors';
import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { advance, compileChart } from '@bronzeyoke/chart';
import type { Address } from '@bronzeyoke/types';
import { assertNever, isHost, isPort } from '@bronzeyoke/types';
import type { TaggedMessage } from '@bronzeyoke/wire';
import chartFile from '../charts/connection.json';
import type { LinkCommand, LinkEvent, LinkOptions } from './socket';
import { spawnLink } from './socket';

const INITIAL_RETRY_MS = 100;
const MAX_RETRY_MS = 5_000;

/** A peer whose queue of new connections is full drops the first packet, which is sent again after seconds. */
const CONNECT_TIMEOUT_MS = 800;

const chart = compileChart(chartFile, {
  states: ['connecting', 'open', 'waiting', 'stopped'],
  events: ['connected', 'failed', 'lost', 'retry', 'send', 'reconnect', 'close'],
  actions: ['connect', 'startLink', 'scheduleRetry', 'forward', 'closeLink', 'discardSocket'],
});

/** Commands to a dialer from its owner. `reconnect` closes the socket and connects again. */
export type DialerCommand =
  | { readonly kind: 'send'; readonly message: TaggedMessage }
  | { readonly kind: 'reconnect' }
  | { readonly kind: 'close' };

type DialerMessage =
  | DialerCommand
  | { readonly kind: 'connected'; readonly socket: Socket }
  | { readonly kind: 'failed' }
  | { readonly kind: 'lost' }
  | { readonly kind: 'retry' };

interface DialerState {
  readonly phase: StateOf<typeof chart>;
  readonly retryMs: number;
  readonly link?: Ref<LinkCommand>;
}

function openSocket(address: Address, self: Ref<DialerMessage>): void {
  // `connect` throws for such an address, which would end the handling of the message.
  if (!isHost(address.host) || !isPort(address.port)) {
    dispatch(self, { kind: 'failed' });
    return;
  }
  const socket = connect({ host: address.host, port: address.port });
  const timeout = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
  const onClose = (): void => {
    clearTimeout(timeout);
    dispatch(self, { kind: 'failed' });
  };
  socket.on('error', () => socket.destroy());
  socket.once('close', onClose);
  socket.once('connect', () => {
    clearTimeout(timeout);
    socket.removeListener('close', onClose);
    dispatch(self, { kind: 'connected', socket });
  });
}

/** Starts an actor that maintains a connection to a peer. Its retry delay doubles up to a limit. */
export function spawnDialer<Message extends TaggedMessage>(
  system: ActorSystemRef,
  address: Address,
  options: Omit<LinkOptions<Message>, 'socket'> & { readonly maxRetryMs?: number },
): Ref<DialerCommand> {
  const { maxRetryMs = MAX_RETRY_MS } = options;
  const startLink = (socket: Socket, self: Ref<DialerMessage>): Ref<LinkCommand> =>
    spawnLink(system, {
      ...options,
      socket,
      report: (event: LinkEvent<Message>) => {
        if (event.kind === 'closed') dispatch(self, { kind: 'lost' });
        options.report(event);
      },
    });

  const applyAction = (
    state: DialerState,
    action: ActionOf<typeof chart>,
    message: DialerMessage,
    self: Ref<DialerMessage>,
  ): DialerState => {
    switch (action) {
      case 'connect':
        openSocket(address, self);
        return state;
      case 'startLink':
        return message.kind === 'connected'
          ? { ...state, retryMs: INITIAL_RETRY_MS, link: startLink(message.socket, self) }
          : state;
      case 'scheduleRetry':
        setTimeout(() => dispatch(self, { kind: 'retry' }), state.retryMs).unref();
        return { phase: state.phase, retryMs: Math.min(state.retryMs * 2, maxRetryMs) };
      case 'forward':
        if (state.link !== undefined && message.kind === 'send') dispatch(state.link, message);
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
    state: DialerState,
    message: DialerMessage,
    context: { readonly self: Ref<DialerMessage> },
  ): DialerState => {
    const next = advance(chart, state.phase, message.kind);
    return next.actions.reduce<DialerState>(
      (current, action) => applyAction(current, action, message, context.self),
      { ...state, phase: next.state },
    );
  };

  const actor: Ref<DialerMessage> = spawn(system, handle, undefined, {
    initialState: { phase: chart.initial, retryMs: INITIAL_RETRY_MS },
  });
  openSocket(address, actor);
  return actor;
}
