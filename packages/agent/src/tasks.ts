import type { TasksEffect, TasksEvent } from '@bronzeyoke/tasks';
import { stepTasks } from '@bronzeyoke/tasks';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, chain } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';
import { PROTOCOL_VERSION } from '@bronzeyoke/wire';
import { broadcast } from './broadcast';
import { drainAfterFailure } from './lifecycle';
import type { AgentState, AgentStep } from './types';

/** Returns the message with which the agent announces itself to entries. */
export function helloMessage({ profile, tasks }: AgentState): AgentMessage {
  const { incarnation } = tasks.lease;
  return { kind: 'hello', version: PROTOCOL_VERSION, profile, incarnation };
}

function performTasksEffect(state: AgentState, effect: TasksEffect, inputs: StepInputs): AgentStep {
  switch (effect.kind) {
    case 'send':
    case 'worker':
      return { state, effects: [effect] };
    case 'exit':
      return drainAfterFailure(state, effect.failure, inputs);
    default:
      return assertNever(effect);
  }
}

/** Handles an event of batch work. A new incarnation is announced to the entries by another hello. */
export function handleTasks(state: AgentState, event: TasksEvent, inputs: StepInputs): AgentStep {
  const step = stepTasks(state.tasks, event, inputs);
  const before = state.tasks.lease.incarnation;
  const stepped = step.effects.reduce<AgentStep>(
    (done, effect) => chain(done, (current) => performTasksEffect(current, effect, inputs)),
    unchanged({ ...state, tasks: step.state }),
  );
  return chain(stepped, (current) =>
    current.tasks.lease.incarnation === before
      ? unchanged(current)
      : { state: current, effects: broadcast(current, helloMessage(current)) },
  );
}
