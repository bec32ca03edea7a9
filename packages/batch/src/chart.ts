import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import shardFile from '../charts/shard.json';
import taskFile from '../charts/task.json';

/** State chart of a task at the owner of its shard. */
export const taskChart = compileChart(taskFile, {
  states: [
    'pending',
    'offered',
    'claiming',
    'claimed',
    'unconfirmed',
    'running',
    'evicting',
    'stopping',
    'releasing',
    'finishing',
    'cancelling',
    'parking',
    'finished',
    'cancelled',
    'parked',
  ],
  events: [
    'offer',
    'accept',
    'decline',
    'drop',
    'claimCommitted',
    'claimVoid',
    'claimLate',
    'claimRefused',
    'start',
    'sync',
    'finish',
    'release',
    'evict',
    'cancel',
    'park',
    'recorded',
    'requeue',
  ],
  actions: [
    'sendOffer',
    'sendClaimed',
    'sendClaimFailed',
    'sendQuery',
    'sendEvict',
    'sendStop',
    'sendRecorded',
    'commitClaim',
    'commitRelease',
    'commitFinish',
    'commitCancel',
    'commitPark',
  ],
});

/** States of a task. */
export type TaskPhase = StateOf<typeof taskChart>;

/** Actions of the chart of a task. */
export type TaskAction = ActionOf<typeof taskChart>;

/** Events of the chart of a task. */
export type TaskEvent =
  | 'offer'
  | 'accept'
  | 'decline'
  | 'drop'
  | 'claimCommitted'
  | 'claimVoid'
  | 'claimLate'
  | 'claimRefused'
  | 'start'
  | 'sync'
  | 'finish'
  | 'release'
  | 'evict'
  | 'cancel'
  | 'park'
  | 'recorded'
  | 'requeue';

/** State chart of a shard at an entry. */
export const shardChart = compileChart(shardFile, {
  states: ['watching', 'taking', 'loading', 'owned', 'releasing'],
  events: ['take', 'taken', 'refused', 'loaded', 'lose', 'release', 'released'],
  actions: ['commitTake', 'load', 'drop', 'commitRelease'],
});

/** States of a shard. */
export type ShardPhase = StateOf<typeof shardChart>;

/** Actions of the chart of a shard. */
export type ShardAction = ActionOf<typeof shardChart>;

/** Events of the chart of a shard. */
export type ShardEvent = 'take' | 'taken' | 'refused' | 'loaded' | 'lose' | 'release' | 'released';
