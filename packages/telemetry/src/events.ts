/** Names of logged events about one task. */
export const TASK_EVENTS = [
  'placeAwaited',
  'placeFound',
  'taskPlaced',
  'taskUnplaced',
  'taskStarted',
  'taskMoved',
  'taskReleased',
  'taskListedAfterRelease',
  'endAfterRelease',
  'taskEnded',
  'taskStopped',
  'taskSuspected',
  'taskCleared',
  'taskAway',
  'lateOrderEnded',
  'orderRefused',
] as const;

/** Why a lasting task does not work. Each is a series of a gauge. */
export const AWAY_REASONS = [
  'storing',
  'awaitingAgent',
  'starting',
  'stopping',
  'silent',
  'backingOff',
  'searching',
  'reserved',
  'clearing',
  'queued',
  'contradictory',
] as const;

/** Reason for which a lasting task does not work. */
export type AwayReason = (typeof AWAY_REASONS)[number];

/** What a task is at when the end of a released run of it comes. Each is a series of a counter. */
export type EndAfterReleaseState =
  /** It waits for a place. */
  | 'unclaimed'
  /** Another run is claimed and not ordered. */
  | 'claimed'
  /** Another run is ordered. */
  | 'ordered'
  /** Another run has done it. */
  | 'done'
  | 'jobOver'
  /** The leader knows neither that the job is open nor that it has ended. */
  | 'unknownJob';

/** Name of a logged event about one task. */
export type TaskEventName = (typeof TASK_EVENTS)[number];

/** Names of logged events: decisions and observed changes of state. */
export type EventName =
  | TaskEventName
  | 'start'
  | 'startupStep'
  | 'stop'
  | 'settling'
  | 'unsettled'
  | 'reload'
  | 'dependencyLost'
  | 'dependencyRegained'
  | 'malformed'
  | 'clientsRefused'
  | 'clientsServed'
  | 'jobAccepted'
  | 'jobRefused'
  | 'jobUnanswered'
  | 'jobCancelled'
  | 'jobWithdrawn'
  | 'jobSeen'
  | 'jobHeld'
  | 'jobEnded'
  | 'taskPaced'
  | 'taskBackfilled'
  | 'gapCounts'
  | 'awayCounts'
  | 'blockedCounts'
  | 'lapseAwaited'
  | 'orderLost'
  | 'heartbeatRefuted'
  | 'goneIgnored'
  | 'reportIgnored'
  | 'leaderClaimed'
  | 'leaderLoaded'
  | 'recoveryStep'
  | 'leaderSeen'
  | 'leaderLost'
  | 'leaderLoad'
  | 'leaderHandover'
  | 'clockGap'
  | 'workersAwaited'
  | 'workerSeen'
  | 'workerCrashed'
  | 'workerResized'
  | 'workerBlocked'
  | 'workerGone'
  | 'workerDraining'
  | 'workerQuarantined'
  | 'pairLearned'
  | 'admissionChanged'
  | 'admissionCounts'
  | 'configApplied'
  | 'domainsOut'
  | 'placementHeld'
  | 'placementResumed';

/**
 * Fields of a log line. All processes log job and task ids as `job` and `task`. Lines about a
 * lasting task carry `isLasting`, and are dropped after those about other tasks.
 */
export type EventFields = Readonly<Record<string, string | number | boolean>>;

/** Effect of a core that writes a log line. */
export interface LogEffect {
  readonly kind: 'log';
  readonly event: EventName;
  readonly fields: EventFields;
}

/** Creates a log effect. */
export function logEffect(event: EventName, fields: EventFields): LogEffect {
  return { kind: 'log', event, fields };
}
