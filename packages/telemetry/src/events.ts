/** Names of logged events: decisions and observed changes of state. */
export type EventName =
  | 'start'
  | 'stop'
  | 'settling'
  | 'unsettled'
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
  | 'taskMoved'
  | 'taskReleased'
  | 'taskEnded'
  | 'taskStopped'
  | 'taskPaced'
  | 'orderRefused'
  | 'orderLost'
  | 'reportIgnored'
  | 'leaderClaimed'
  | 'leaderLoaded'
  | 'leaderSeen'
  | 'leaderLost'
  | 'workersAwaited'
  | 'workerSeen'
  | 'workerGone'
  | 'workerDraining'
  | 'workerQuarantined'
  | 'pairLearned'
  | 'configApplied'
  | 'domainsOut';

/** Fields of a log line. All processes log job and task ids as `job` and `task`. */
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
