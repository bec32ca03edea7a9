/** Decisions and changes of belief that are logged. */
export type EventName =
  | 'start'
  | 'stop'
  | 'reload'
  | 'dependencyLost'
  | 'dependencyRegained'
  | 'malformed'
  | 'jobAccepted'
  | 'jobRefused'
  | 'jobUnanswered'
  | 'jobCancelled'
  | 'jobSeen'
  | 'jobEnded'
  | 'taskPlaced'
  | 'taskUnplaced'
  | 'taskStarted'
  | 'taskReleased'
  | 'taskEnded'
  | 'taskStopped'
  | 'taskPaced'
  | 'orderRefused'
  | 'orderLost'
  | 'reportIgnored'
  | 'leaderClaimed'
  | 'leaderSeen'
  | 'leaderLost'
  | 'workerSeen'
  | 'workerGone'
  | 'workerDraining'
  | 'workerQuarantined'
  | 'pairLearned'
  | 'configApplied'
  | 'domainsOut';

/** Fields of a log line. Ids of requests are `job` and `task` on every process. */
export type EventFields = Readonly<Record<string, string | number | boolean>>;

/** An effect of a core that leaves a log line. */
export interface LogEffect {
  readonly kind: 'log';
  readonly event: EventName;
  readonly fields: EventFields;
}

/** Makes a log effect. */
export function logEffect(event: EventName, fields: EventFields): LogEffect {
  return { kind: 'log', event, fields };
}
