import type { Resources } from '@bronzeyoke/types';
import { addResources, NO_RESOURCES } from '@bronzeyoke/types';
import type { Stage, WorkflowJob } from '@bronzeyoke/workflow';
import { NO_PROGRESS, remainingWork } from '@bronzeyoke/workflow';
import type { JobAsk } from './judge';
import type { JobKind } from './types';

function lastingNeeds(stages: readonly Stage[]): Resources {
  return stages
    .filter(({ isLasting }) => isLasting)
    .reduce((sum, { needs, taskCount }) => {
      const { processorsMilli, memoryMb, accelerators } = needs;
      return addResources(sum, {
        processorsMilli: processorsMilli * taskCount,
        memoryMb: memoryMb * taskCount,
        accelerators: accelerators * taskCount,
      });
    }, NO_RESOURCES);
}

function kindOf(stages: readonly Stage[]): JobKind {
  if (stages.some(({ isLasting }) => isLasting)) return 'lasting';
  return stages.every(({ fillsIdle }) => fillsIdle) ? 'filling' : 'reserving';
}

/** Returns what a job asks for; undefined for one that is always accepted. */
export function jobAsk(job: WorkflowJob): JobAsk | undefined {
  const { policy, stages, schedule } = job;
  if (schedule !== undefined || policy.needsAdvice) return undefined;
  return {
    queue: policy.queue,
    jobKind: kindOf(stages),
    coreMs: remainingWork(job, NO_PROGRESS),
    resources: lastingNeeds(stages),
  };
}
