import type { Stage, WorkflowJob } from '@bronzeyoke/workflow';
import type { Fleet } from './world';
import { drawStepUniform, WALL_START_MS } from './world';

function makeStage(taskCount: number, isLasting: boolean, dependsOn: readonly number[]): Stage {
  return {
    taskCount,
    needs: { processorsMilli: 500, memoryMb: 100, accelerators: 0 },
    estimateMs: 1_500,
    dependsOn,
    savesCheckpoints: false,
    isGang: false,
    prefersOneRack: false,
    allowsCopies: false,
    isLasting,
    fillsIdle: false,
  };
}

/** Creates a job of one or two stages. One job in ten is lasting, and has one stage. */
export function makeJob(fleet: Fleet, jobId: string): WorkflowJob {
  const isLasting = drawStepUniform(fleet, 8) < 0.1;
  const first = makeStage(2 + Math.floor(drawStepUniform(fleet, 9) * 3), isLasting, []);
  const second = isLasting ? [] : [makeStage(2, false, [0])];
  return {
    jobId,
    policy: {
      queue: 'quick',
      service: 'quoter',
      priority: 0,
      maxAttempts: 4,
      slackFactor: 2,
      targetDurationMs: 1_000,
      needsAdvice: false,
    },
    payload: 'work',
    stages: [first, ...second],
    acceptedAtMs: WALL_START_MS + fleet.nowMs,
  };
}
