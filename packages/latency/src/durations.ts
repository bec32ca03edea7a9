/** What the time of a job can go to. Each is a field of its log line and a series of a metric. */
export const LATENCY_CAUSES = [
  /** From the acceptance until a leader has read the job. */
  'admission',
  /** Under leaders before, of which the present one knows nothing. */
  'earlierLeader',
  /** Until the due time of an occurrence. */
  'notDue',
  /** Waits until a placement pass searches for a worker. */
  'unsearched',
  /** Waits because the last search found no worker. */
  'noRoom',
  /** Claimed; the claim is not stored yet. */
  'storing',
  /** The claim is stored, and the agent of the worker has no connection. */
  'noAgent',
  /** Ordered; the worker does not list the run yet. */
  'starting',
  'running',
  /** Part of the run time that the pace of the run withholds. */
  'paced',
  /** From a stop order until the end of the run is listed. */
  'stopping',
  /** Runs that ended as failed, from their claims. */
  'failed',
  /** Runs that the scheduler stopped and that saved nothing; the times of others count as usual. */
  'stopped',
  /** Runs that ended with their worker or its lease. */
  'lost',
  /** Claims whose runs never began, and refused orders. */
  'notStarted',
] as const;

/** What the time of a job can go to. */
export type LatencyCause = (typeof LATENCY_CAUSES)[number];

/** Times by cause, in milliseconds; a cause without time is absent. */
export type Durations = Readonly<Partial<Record<LatencyCause, number>>>;

/** No time at all. */
export const NO_DURATIONS: Durations = {};

/** Adds time to one cause. */
export function addDuration(durations: Durations, cause: LatencyCause, ms: number): Durations {
  return ms <= 0 ? durations : { ...durations, [cause]: (durations[cause] ?? 0) + ms };
}

/** Adds up the times of all causes. */
export function totalMs(durations: Durations): number {
  return Object.values(durations).reduce((sum, ms) => sum + ms, 0);
}

/** Adds times to others, cause by cause. */
export function addDurations(left: Durations, right: Durations): Durations {
  return LATENCY_CAUSES.reduce((sum, cause) => addDuration(sum, cause, right[cause] ?? 0), left);
}
