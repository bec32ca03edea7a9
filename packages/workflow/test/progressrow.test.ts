import { expect } from 'chai';
import * as fc from 'fast-check';
import type { JobProgress, TaskProgress } from '@bronzeyoke/workflow';
import { decodeProgress, encodeProgress, progressBytes } from '@bronzeyoke/workflow';

const optionalText = fc.option(fc.stringMatching(/^[a-z0-9:.@-]{1,20}$/), { nil: undefined });

const task = fc
  .record({
    phase: fc.constantFrom('waiting', 'claimed', 'running', 'stopping'),
    attempt: fc.nat(1_000),
    failures: fc.nat(5),
    workerKey: optionalText,
    workerAddress: optionalText,
    checkpoint: optionalText,
    failedOn: optionalText,
    crashes: fc.option(
      fc.record({
        prompt: fc.nat(5),
        slow: fc.nat(5),
        alone: fc.nat(2),
        attempt: fc.nat(1_000),
        longestAgeMs: fc.nat(2_000),
        address: fc.constantFrom('', 'w1:1'),
      }),
      { nil: undefined },
    ),
  })
  .map((fields) => {
    const hasWorker = fields.workerKey !== undefined;
    const entries = Object.entries(fields).filter(
      ([name, value]) => value !== undefined && (name !== 'workerAddress' || hasWorker),
    );
    return Object.fromEntries(entries) as unknown as TaskProgress;
  });

const doneTask = fc.constant<TaskProgress>({ phase: 'done', attempt: 1, failures: 0 });

const slot = fc.tuple(fc.nat(3), fc.nat(3), fc.nat(50)).map((parts) => parts.join('.'));

const progress = fc
  .array(fc.tuple(slot, fc.oneof(task, doneTask)), { maxLength: 60 })
  .map((entries): JobProgress => ({ tasks: new Map(entries) }));

function sorted({ tasks }: JobProgress): readonly unknown[] {
  return [...tasks].toSorted(([left], [right]) => left.localeCompare(right));
}

/** Returns a stage whose first tasks are done, while the others run. */
function wideStage(taskCount: number, doneCount: number): JobProgress {
  const tasks = Array.from({ length: taskCount }, (_, index): [string, TaskProgress] => [
    `0.0.${index}`,
    index < doneCount
      ? { phase: 'done', attempt: 1, failures: 0 }
      : {
          phase: 'running',
          attempt: 1,
          failures: 0,
          workerKey: `i-7f3a91c2${index % 20}@1771783254000`,
          workerAddress: `10.128.0.${index % 20}:8080`,
          checkpoint: '00000bb87a21d94b',
        },
  ]);
  return { tasks: new Map(tasks) };
}

function storedBytes(value: JobProgress): number {
  return Buffer.from(JSON.stringify(encodeProgress(value))).toString('base64').length;
}

// Guards against a new leader that reads other progress than the one before has stored.
it('progressrow: decodes what it encodes', () => {
  fc.assert(
    fc.property(progress, (value) => {
      const stored: unknown = JSON.parse(JSON.stringify(encodeProgress(value)));
      const decoded = decodeProgress(stored);
      expect(decoded === undefined ? [] : sorted(decoded)).to.deep.equal(sorted(value));
    }),
    { seed: 1, numRuns: 300 },
  );
});

// Guards against a row that grows with the tasks that have ended, which the leader's link bears.
it('progressrow: a done task takes no space of its own', () => {
  expect(storedBytes(wideStage(200, 200))).to.be.lessThan(200);
  expect(storedBytes(wideStage(200, 100))).to.be.lessThan(storedBytes(wideStage(200, 0)) * 0.6);
});

// Guards against transactions that are larger than their limit because rows are estimated too small.
it('progressrow: the estimate is no less than the stored size', () => {
  [1, 39, 200].forEach((taskCount) => {
    [0, 0.5, 1].forEach((share) => {
      const value = wideStage(taskCount, Math.floor(taskCount * share));
      expect(progressBytes(value)).to.be.at.least(storedBytes(value));
    });
  });
});

// Guards against a leader that loses the tasks in rows of an earlier build.
it('progressrow: reads rows that name each task', () => {
  const stored = { tasks: { '0.0.0': { phase: 'running', attempt: 2, failures: 1 } } };
  expect(decodeProgress(stored)?.tasks.get('0.0.0')?.attempt).to.equal(2);
});

// Guards against a leader that no longer reads rows without crashes, which earlier builds stored.
it('progressrow: reads a stage that names no crashes', () => {
  const stored = { workers: [], stages: { '0.0': { done: [], tasks: [[0, 0, 1, 0, -1]] } } };
  expect(decodeProgress(stored)?.tasks.get('0.0.0')).to.deep.equal({
    phase: 'waiting',
    attempt: 1,
    failures: 0,
  });
});

// Guards against a row of another writer that makes the reader allocate without limit.
it('progressrow: implausible ranges and workers are refused', () => {
  const row = (stage: unknown) => ({ workers: [], stages: { '0.0': stage } });
  expect(decodeProgress(row({ done: [[0, 1e12]], tasks: [] }))).to.equal(undefined);
  expect(decodeProgress(row({ done: [[5, 1]], tasks: [] }))).to.equal(undefined);
  expect(decodeProgress(row({ done: [], tasks: [[0, 1, 1, 0, 7]] }))).to.equal(undefined);
  expect(decodeProgress(row({ done: [], tasks: [[0, 9, 1, 0, -1]] }))).to.equal(undefined);
});
