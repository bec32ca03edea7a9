import type { TasksEffect, TasksEvent } from '@bronzeyoke/tasks';
import { stepTasks } from '@bronzeyoke/tasks';
import type { Instant } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';
import { PROTOCOL_VERSION } from '@bronzeyoke/wire';
import { chain, broadcast } from './chain';
import { drainAfterFailure } from './role';
import type { AgentState, AgentStep } from './types';

/** What the agent announces of itself. */
export function helloOf({ profile, tasks }: AgentState): AgentMessage {
  const { incarnation } = tasks.lease;
  return { kind: 'hello', version: PROTOCOL_VERSION, profile, incarnation };
}

function passOn(state: AgentState, effect: TasksEffect, instant: Instant): AgentStep {
  switch (effect.kind) {
    case 'send':
    case 'worker':
      return { state, effects: [effect] };
    case 'exit':
      return drainAfterFailure(state, effect.failure, instant);
    default:
      return assertNever(effect);
  }
}

/** Lets batch work decide. Entries are told of a new incarnation by another hello. */
export function handleTasks(state: AgentState, event: TasksEvent, instant: Instant): AgentStep {
  const step = stepTasks(state.tasks, event, instant);
  const before = state.tasks.lease.incarnation;
  const stepped = step.effects.reduce<AgentStep>(
    (done, effect) => chain(done, (current) => passOn(current, effect, instant)),
    unchanged({ ...state, tasks: step.state }),
  );
  return chain(stepped, (current) =>
    current.tasks.lease.incarnation === before
      ? unchanged(current)
      : { state: current, effects: broadcast(current, helloOf(current)) },
  );
}
