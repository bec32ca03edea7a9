/** Decisions of the scheduler that an operator switches on. Each one is off by default. */
export interface SchedulingPolicy {
  /** A follower claims the lease early on a proof that its holder has ended. */
  readonly detectsEndedHolder: boolean;
  /** Lasting tasks return to the workers that they had before a loss of power, without a search. */
  readonly restoresPlaces: boolean;
  /** An overloaded leader hands the lease over. */
  readonly handsOver: boolean;
  /** Waiting answers of the store and new jobs are handled before agents' reports, of which the newest counts. */
  readonly ordersEvents: boolean;
  /** Jobs that cannot get room in time are refused. */
  readonly limitsAdmission: boolean;
  /** Run times are learned for each queue. */
  readonly learnsRunTimes: boolean;
  /** Small tasks are placed by what waits and by what ends soon. */
  readonly looksAhead: boolean;
}

/** Policy of an entry whose settings name none. */
export const DEFAULT_POLICY: SchedulingPolicy = {
  detectsEndedHolder: false,
  restoresPlaces: false,
  handsOver: false,
  ordersEvents: false,
  limitsAdmission: false,
  learnsRunTimes: false,
  looksAhead: false,
};

/** Returns the policy of a scheduler. */
export function policyOf(settings: { readonly policy?: SchedulingPolicy }): SchedulingPolicy {
  return settings.policy ?? DEFAULT_POLICY;
}
