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
import { logMalformed } from './malformed';
import type { LogEvent } from './types';

/** Connections of an agent: the one on which it reports, and one to a seed that it asks who leads. */
export interface LeaderLink {
  /** Replaces the connection with one to another address. */
  readonly connect: (address: Address, runner: Ref<RunnerEvent>) => void;
  /** Sends a message; no effect before the first connection. */
  readonly send: (message: RunnerMessage) => void;
  /** Asks another seed. The connection to the leader stays. */
  readonly askSeed: (address: Address, runner: Ref<RunnerEvent>) => void;
  readonly endLookup: () => void;
}

/** A connection that the next one replaces. */
interface ReplaceableLink {
  readonly open: (address: Address, report: (event: LinkEvent<LeaderMessage>) => void) => void;
  readonly send: (message: RunnerMessage) => void;
  readonly close: () => void;
}

const MAX_RETRY_MS = 400;

function createReplaceableLink(system: ActorSystemRef, name: string): ReplaceableLink {
  let dialer: Ref<DialerCommand> | undefined;
  let generation = 0;

  const close = (): void => {
    generation += 1;
    if (dialer !== undefined) dispatch(dialer, { kind: 'close' });
    dialer = undefined;
  };

  return {
    open: (address, report) => {
      close();
      const ownGeneration = generation;
      dialer = spawnDialer(system, address, {
        linkId: `${name}-${ownGeneration}`,
        maxRetryMs: MAX_RETRY_MS,
        codec: AGENT_CODEC,
        // Events of an earlier connection come late.
        report: (event) => {
          if (ownGeneration === generation) report(event);
        },
      });
    },
    send: (message) => {
      if (dialer !== undefined) dispatch(dialer, { kind: 'send', message });
    },
    close,
  };
}

/** Creates an agent's connections to the leader and to seeds, which report to the runner. */
export function createLeaderLink(system: ActorSystemRef, log: LogEvent): LeaderLink {
  const leaderLink = createReplaceableLink(system, 'leader');
  const seedLink = createReplaceableLink(system, 'seed');

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
        logMalformed(event, log);
        dispatch(runner, { kind: 'linkClosed' });
        return;
      default:
        assertNever(event);
    }
  };

  const reportNamed = (event: LinkEvent<LeaderMessage>, runner: Ref<RunnerEvent>): void => {
    if (event.kind !== 'received' || event.message.kind !== 'leader') return;
    const { term, host, port } = event.message;
    dispatch(runner, { kind: 'leaderNamed', term, address: { host, port } });
  };

  return {
    connect: (address, runner) => leaderLink.open(address, (event) => report(event, runner)),
    send: leaderLink.send,
    askSeed: (address, runner) => seedLink.open(address, (event) => reportNamed(event, runner)),
    endLookup: seedLink.close,
  };
}
