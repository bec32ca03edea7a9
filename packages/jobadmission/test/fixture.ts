import type { AdmissionStep, PoolOutlook, WorkDemand } from '@bronzeyoke/jobadmission';
import { NO_ADMISSION, stepAdmission } from '@bronzeyoke/jobadmission';
import type { Resources } from '@bronzeyoke/types';

/** Returns the jobs of a queue that end within a horizon of 10 s. */
export function workDemand(queue: string, changes: Partial<WorkDemand> = {}): WorkDemand {
  return {
    queue,
    priority: 0,
    weight: 1,
    backlogCoreMs: 0,
    arrivalCores: 0,
    horizonMs: 10_000,
    ...changes,
  };
}

/** Returns a pool of filling jobs that does the work of 10 cores, 100,000 core-ms in the horizon. */
export function workPool(queues: readonly WorkDemand[], rateCores = 10): PoolOutlook {
  return { kind: 'filling', service: 'quoter', rateCores, queues };
}

/** Returns processors with as many MB of memory. */
export function amountOf(processorsMilli: number): Resources {
  return { processorsMilli, memoryMb: processorsMilli, accelerators: 0 };
}

/** Returns the result of the first look at a pool. */
export function look(pool: PoolOutlook, nowMs = 0): AdmissionStep {
  return stepAdmission(NO_ADMISSION, [pool], nowMs);
}

/** Returns the kinds of the verdicts by queue. */
export function kindsOf({ verdicts }: AdmissionStep): Readonly<Record<string, string>> {
  return Object.fromEntries(verdicts.map(({ queue, verdict }) => [queue, verdict.kind]));
}
