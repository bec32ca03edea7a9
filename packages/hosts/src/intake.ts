import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, spawnCore } from '@bronzeyoke/actors';
import type { IntakeEffect, IntakeEvent, IntakeReply } from '@bronzeyoke/intake';
import { createIntake, stepIntake } from '@bronzeyoke/intake';
import type { RowStorePort, StoredRow } from '@bronzeyoke/ports';
import { assertNever } from '@bronzeyoke/types';
import { performStoreCall } from './store';
import type { LogEvent, ReportError } from './types';

/** Handle of a running intake. */
export interface Intake {
  /** Sends a call under a new id, and resolves with its reply. */
  readonly call: (eventOf: (callId: string) => IntakeEvent) => Promise<IntakeReply>;
  readonly tick: () => void;
  /** Passes on the row of the leader's verdicts. */
  readonly hear: (row: StoredRow) => void;
  /** Passes on a version that the store has reached. */
  readonly noteVersion: (version: number) => void;
}

/** Starts the actor that takes in jobs and answers questions about them. */
export function startIntake(
  system: ActorSystemRef,
  store: RowStorePort,
  log: LogEvent,
  onError: ReportError,
  acceptedBy?: string,
): Intake {
  const pendingReplies = new Map<string, (reply: IntakeReply) => void>();
  let callCount = 0;

  const perform = (effect: IntakeEffect, self: Ref<IntakeEvent>): void => {
    switch (effect.kind) {
      case 'commit':
      case 'range':
        performStoreCall(store, effect, (done) => dispatch(self, done)).catch(onError);
        return;
      case 'reply':
        pendingReplies.get(effect.callId)?.(effect.reply);
        pendingReplies.delete(effect.callId);
        return;
      case 'log':
        log(effect.event, effect.fields);
        return;
      default:
        assertNever(effect);
    }
  };

  const core = spawnCore<ReturnType<typeof createIntake>, IntakeEvent, IntakeEffect>(system, {
    name: 'intake',
    initial: createIntake(acceptedBy),
    decide: stepIntake,
    onError,
    perform,
  });

  return {
    call: (eventOf) => {
      callCount += 1;
      const callId = `call-${callCount}`;
      return new Promise((resolve) => {
        pendingReplies.set(callId, resolve);
        dispatch(core, eventOf(callId));
      });
    },
    tick: () => dispatch(core, { kind: 'tick' }),
    hear: (row) => dispatch(core, { kind: 'admission', row }),
    noteVersion: (version) => dispatch(core, { kind: 'storeVersion', version }),
  };
}
