import { expect } from 'chai';
import fc from 'fast-check';
import type { JobLatency, TaskChange } from '@bronzeyoke/latency';
import { changeJobTask, explainLatency, openJobLatency, totalMs } from '@bronzeyoke/latency';
import type { Stage, WorkflowJob } from '@bronzeyoke/workflow';
import { NO_PROGRESS, stageSlots } from '@bronzeyoke/workflow';

const WALL_MS = 1_800_000_000_000;
const ACCEPTED_AGO_MS = 400;

function stageOf(taskCount: number, dependsOn: readonly number[]): Stage {
  return {
    taskCount,
    needs: { processorsMilli: 1_000, memoryMb: 100, accelerators: 0 },
    estimateMs: 1_000,
    dependsOn,
    savesCheckpoints: false,
    isGang: false,
    prefersOneRack: false,
    allowsCopies: false,
    isLasting: false,
    fillsIdle: false,
  };
}

function jobOf(stages: readonly Stage[]): WorkflowJob {
  return {
    jobId: 'job1',
    policy: {
      queue: 'quotes',
      service: 'quoter',
      priority: 0,
      maxAttempts: 2,
      slackFactor: 2,
      targetDurationMs: 1_000,
      needsAdvice: false,
    },
    payload: 'work',
    stages,
    acceptedAtMs: WALL_MS - ACCEPTED_AGO_MS,
  };
}

type TimedChange = readonly [slot: string, atMs: number, change: TaskChange];

function applyAll(job: WorkflowJob, changes: readonly TimedChange[]): JobLatency {
  return changes.reduce(
    (latency, [slot, atMs, change]) => changeJobTask(latency, slot, change, atMs),
    openJobLatency(job, NO_PROGRESS, { nowMs: 0, wallMs: WALL_MS }),
  );
}

/** Changes of a run that is listed 100 ms after its claim and done some time later. */
function runOf(slot: string, claimedAtMs: number, ranMs: number): readonly TimedChange[] {
  return [
    [slot, claimedAtMs, { kind: 'claimed' }],
    [slot, claimedAtMs + 20, { kind: 'ordered' }],
    [slot, claimedAtMs + 100, { kind: 'started' }],
    [slot, claimedAtMs + 100 + ranMs, { kind: 'done' }],
  ];
}

// Guards against a breakdown that follows a task which did not decide when its stage was done.
it('latency: the path leads through the last task of each stage', () => {
  const job = jobOf([stageOf(2, []), stageOf(2, [0])]);
  const latency = applyAll(job, [
    ...runOf('0.0.0', 0, 500),
    ...runOf('0.0.1', 50, 1_000),
    ...runOf('0.1.0', 1_200, 2_000),
    ...runOf('0.1.1', 1_200, 700),
  ]);
  const { durations, path, totalMs: total } = explainLatency(job, latency, '0.1.0', 3_300);
  expect(path).to.deep.equal(['0.0.1', '0.1.0']);
  expect(durations).to.deep.equal({
    admission: ACCEPTED_AGO_MS,
    unsearched: 50 + 50,
    storing: 40,
    starting: 160,
    running: 3_000,
  });
  expect(total).to.equal(ACCEPTED_AGO_MS + 3_300);
});

// Guards against wasted runs that look like work, or like waits for a place.
it('latency: a run that failed counts as failed from its claim', () => {
  const job = jobOf([stageOf(1, [])]);
  const latency = applyAll(job, [
    ['0.0.0', 0, { kind: 'claimed' }],
    ['0.0.0', 100, { kind: 'started' }],
    ['0.0.0', 900, { kind: 'released', cause: 'failed' }],
    ...runOf('0.0.0', 1_400, 300),
  ]);
  const { durations, runCount, retryWaitMs } = explainLatency(job, latency, '0.0.0', 1_800);
  expect(durations.failed).to.equal(900);
  expect(durations.running).to.equal(300);
  expect(retryWaitMs).to.equal(500);
  expect(runCount).to.equal(2);
});

// Guards against work that a stopped run has saved, but that counts as wasted.
it('latency: a stopped run that saved its work counts as work and a stop', () => {
  const job = jobOf([stageOf(1, [])]);
  const latency = applyAll(job, [
    ['0.0.0', 0, { kind: 'claimed' }],
    ['0.0.0', 100, { kind: 'started' }],
    ['0.0.0', 900, { kind: 'stopped' }],
    ['0.0.0', 1_300, { kind: 'released', cause: 'stopped', keepsWork: true }],
    ...runOf('0.0.0', 1_300, 300),
  ]);
  const { durations } = explainLatency(job, latency, '0.0.0', 1_700);
  expect(durations.running).to.equal(800 + 300);
  expect(durations.stopping).to.equal(400);
  expect(durations.stopped).to.equal(undefined);
});

// Guards against pauses that look like slow work.
it('latency: the part of a run that its pace withholds is told apart', () => {
  const job = jobOf([stageOf(1, [])]);
  const latency = applyAll(job, [
    ['0.0.0', 0, { kind: 'claimed' }],
    ['0.0.0', 0, { kind: 'started' }],
    ['0.0.0', 100, { kind: 'paced', percent: 0 }],
    ['0.0.0', 900, { kind: 'paced', percent: 50 }],
    ['0.0.0', 1_900, { kind: 'done' }],
  ]);
  const { durations } = explainLatency(job, latency, '0.0.0', 1_900);
  expect(durations.running).to.equal(100 + 500);
  expect(durations.paced).to.equal(800 + 500);
});

// Guards against a wait on a full fleet that looks like a leader that does not search.
it('latency: a wait is split where the searches begin to find no worker', () => {
  const job = jobOf([stageOf(1, [])]);
  const latency = applyAll(job, [
    ['0.0.0', 1_000, { kind: 'claimed', noRoomSinceMs: 300 }],
    ['0.0.0', 1_000, { kind: 'done' }],
  ]);
  const { durations } = explainLatency(job, latency, '0.0.0', 1_000);
  expect(durations.unsearched).to.equal(300);
  expect(durations.noRoom).to.equal(700);
});

const slotsOf = ({ stages }: WorkflowJob) =>
  stages.flatMap((stage, index) => stageSlots(stage, 0, index));

const CHANGES: readonly TaskChange[] = [
  { kind: 'claimed' },
  { kind: 'claimed', noRoomSinceMs: 1_000 },
  { kind: 'held' },
  { kind: 'ordered' },
  { kind: 'started' },
  { kind: 'paced', percent: 0 },
  { kind: 'paced', percent: 100 },
  { kind: 'released', cause: 'failed' },
  { kind: 'released', cause: 'lost' },
  { kind: 'stopped' },
  { kind: 'released', cause: 'stopped', keepsWork: true },
];

// Guards against seconds that no cause accounts for, or that two count, whatever happens to the tasks.
it('latency: the causes of any history add up to the time of the job', () => {
  const job = jobOf([stageOf(2, []), stageOf(1, [0])]);
  const stepArbitrary = fc.record({
    change: fc.constantFrom(...CHANGES),
    afterMs: fc.integer({ min: 0, max: 500 }),
    index: fc.nat({ max: 1 }),
  });
  fc.assert(
    fc.property(fc.array(stepArbitrary), fc.array(stepArbitrary), (early, late) => {
      const times = [...early, ...late].reduce<readonly number[]>(
        (known, { afterMs }) => [...known, (known.at(-1) ?? 0) + afterMs],
        [],
      );
      const firstDoneMs = times[early.length - 1] ?? 0;
      const endMs = times.at(-1) ?? 0;
      const [first = '', second = '', last = ''] = slotsOf(job);
      const latency = applyAll(job, [
        ...early.map(({ change, index }, at): TimedChange => [
          index === 0 ? first : second,
          times[at] ?? 0,
          change,
        ]),
        ...[first, second].flatMap((slot): readonly TimedChange[] => [
          [slot, firstDoneMs, { kind: 'claimed' }],
          [slot, firstDoneMs, { kind: 'done' }],
        ]),
        ...late.map(({ change }, at): TimedChange => [
          last,
          times[early.length + at] ?? firstDoneMs,
          change,
        ]),
        [last, endMs, { kind: 'claimed' }],
        [last, endMs, { kind: 'done' }],
      ]);
      const { durations } = explainLatency(job, latency, last, endMs);
      expect(totalMs(durations)).to.be.closeTo(ACCEPTED_AGO_MS + endMs, 0.001);
    }),
    { seed: 44, numRuns: 500 },
  );
});
