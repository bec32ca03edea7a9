import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch } from '@bronzeyoke/actors';
import type { DialerCommand, LinkEvent } from '@bronzeyoke/link';
import { spawnDialer } from '@bronzeyoke/link';
import type { RunnerEvent } from '@bronzeyoke/runner';
import type { Address } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import type { LeaderMessage, RunnerMessage } from '@bronzeyoke/wire';
import { AGENT_CODEC } from '@bronzeyoke/wire';
import type { LogEvent } from './types';

/** Connection of an agent to the leader. */
export interface LeaderLink {
  /** Replaces the connection with one to another address. */
  readonly connect: (address: Address, runner: Ref<RunnerEvent>) => void;
  /** Sends a message; no effect before the first connection. */
  readonly send: (message: RunnerMessage) => void;
}

const MAX_RETRY_MS = 400;

/** Creates an agent's connection to the leader, which reports to the runner. */
export function createLeaderLink(system: ActorSystemRef, log: LogEvent): LeaderLink {
  let dialer: Ref<DialerCommand> | undefined;
  let generation = 0;

  const report = (event: LinkEvent<LeaderMessage>, runner: Ref<RunnerEvent>): void => {
    switch (event.kind) {
      case 'opened':
        dispatch(runner, { kind: 'linkOpened' });
        return;
      case 'received':
        dispatch(runner, { kind: 'received', message: event.message });
        return;
      case 'skipped':
        log('malformed', { what: 'message', messageKind: event.messageKind });
        return;
      case 'closed':
        dispatch(runner, { kind: 'linkClosed' });
        return;
      default:
        assertNever(event);
    }
  };

  return {
    connect: (address, runner) => {
      if (dialer !== undefined) dispatch(dialer, { kind: 'close' });
      generation += 1;
      const ownGeneration = generation;
      dialer = spawnDialer(system, address, {
        linkId: `leader-${ownGeneration}`,
        maxRetryMs: MAX_RETRY_MS,
        codec: AGENT_CODEC,
        // Events of an earlier connection come late.
        report: (event) => {
          if (ownGeneration === generation) report(event, runner);
        },
      });
    },
    send: (message) => {
      if (dialer !== undefined) dispatch(dialer, { kind: 'send', message });
    },
  };
}
