import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import leaseFile from '../charts/lease.json';
import taskFile from '../charts/task.json';

/** State chart of a task at the agent. */
export const agentTaskChart = compileChart(taskFile, {
  states: [
    'offered',
    'reserved',
    'claimed',
    'starting',
    'running',
    'checkpointing',
    'stopping',
    'finished',
    'failed',
    'released',
  ],
  events: [
    'accept',
    'decline',
    'drop',
    'claim',
    'start',
    'started',
    'notStarted',
    'evict',
    'saved',
    'notSaved',
    'stop',
    'stopped',
    'finish',
    'fail',
    'expire',
    'missing',
  ],
  actions: [
    'sendAccepted',
    'sendDeclined',
    'recordEpoch',
    'release',
    'startAtWorker',
    'checkpointAtWorker',
    'stopAtWorker',
    'reportStarted',
    'reportNotStarted',
    'reportEnd',
    'reportStopped',
  ],
});

/** States of a task. */
export type AgentTaskPhase = StateOf<typeof agentTaskChart>;

/** Actions of the task chart. */
export type AgentTaskAction = ActionOf<typeof agentTaskChart>;

/** State chart of the worker's lease. */
export const leaseChart = compileChart(leaseFile, {
  states: [
    'unregistered',
    'registering',
    'attaching',
    'held',
    'expiring',
    'lost',
    'disputed',
    'fenced',
  ],
  events: [
    'register',
    'registered',
    'attach',
    'attached',
    'renew',
    'renewed',
    'nearExpiry',
    'expired',
    'revoked',
    'superseded',
    'disputeLost',
  ],
  actions: [
    'sendRegister',
    'sendRenew',
    'attachWorker',
    'adoptTasks',
    'renewTasks',
    'evictTasks',
    'stopTasks',
    'declineOffers',
    'exit',
  ],
});

/** States of the lease. */
export type LeasePhase = StateOf<typeof leaseChart>;

/** Actions of the lease chart. */
export type LeaseAction = ActionOf<typeof leaseChart>;
