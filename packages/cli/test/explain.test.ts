import { PassThrough, Readable } from 'node:stream';
import { expect } from 'chai';
import { runCli } from '../src';

const ID = '5c0e7a21d94b36f8';

function lineOf(time: string, host: string, msg: string, fields: object): string {
  return JSON.stringify({
    name: 'n',
    hostname: host,
    pid: 1,
    level: 30,
    time,
    msg,
    ...fields,
    v: 0,
  });
}

async function runLogs(lines: readonly string[], ...argv: readonly string[]) {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const stdin = Readable.from([lines.join('\n')]);
  const exitCode = await runCli('0', ['logs', ...argv], { stdin, stdout, stderr });
  return { exitCode, text: String(stdout.read() ?? '') };
}

async function explain(lines: readonly string[], id: string) {
  return runLogs(lines, 'explain', id);
}

// Guards against output that mixes jobs or is out of order across processes.
it('logs: the lines of a job are in time order across processes', async () => {
  const lines = [
    lineOf('2026-01-01T00:00:02.000Z', 'edge-2', 'taskReleased', {
      task: `${ID}.0.0.1`,
      reason: 'refused',
    }),
    `12.5 edge-1 ${lineOf('2026-01-01T00:00:01.000Z', 'edge-1', 'jobAccepted', { job: ID })}`,
    lineOf('2026-01-01T00:00:01.500Z', 'edge-1', 'jobAccepted', { job: 'another' }),
    'not a log line',
  ];
  const { exitCode, text } = await explain(lines, ID);
  expect(exitCode).to.equal(0);
  const printed = text.trim().split('\n');
  expect(printed).to.have.length(2);
  expect(printed[0]).to.contain('edge-1 jobAccepted');
  expect(printed[1]).to.contain('reason=refused');
});

// Guards against empty output that looks like a job without events.
it('logs: an id without log lines is an error', async () => {
  const { exitCode } = await explain(['{}'], ID);
  expect(exitCode).to.not.equal(0);
});

const PLACE_WAIT = {
  job: ID,
  task: `${ID}.0.0.3`,
  attempt: 2,
  priority: 1,
  processorsMilli: 10_000,
  memoryMb: 4_096,
  accelerators: 0,
  fitsEmpty: 70,
  withRoom: 9,
  belowLimit: 0,
  awaitedMs: 1_050,
  plan: 'searching',
  isLasting: true,
};

// Guards against a wait that a reader has to work out from the counts of workers.
it('logs: a wait for a place is explained in words', async () => {
  const waits = [
    PLACE_WAIT,
    { ...PLACE_WAIT, withRoom: 0 },
    { ...PLACE_WAIT, fitsEmpty: 0, withRoom: 0 },
    { ...PLACE_WAIT, withRoom: 1, belowLimit: 1 },
  ];
  const lines = waits.map((fields, index) =>
    lineOf(`2026-01-01T00:00:0${index}.000Z`, 'edge-1', 'placeAwaited', fields),
  );
  const { text } = await explain(lines, ID);
  const words = text
    .trim()
    .split('\n')
    .map((line) => line.slice(line.indexOf('(')));
  expect(words).to.deep.equal([
    '(room on 9 workers, but all at the limit of tasks on a worker)',
    '(70 workers would fit it empty, none has room now)',
    '(fits no worker, even an empty one)',
    '(1 worker could take it now: something else delays it)',
  ]);
});

// Guards against the end of a wait that does not say how long it was, and lines without the words.
it('logs: a task that is away reads from its end to its next place', async () => {
  const base = { job: ID, task: PLACE_WAIT.task, isLasting: true };
  const run = { ...base, attempt: 1, worker: 'w1' };
  const { text } = await explain(
    [
      lineOf('2026-01-01T00:00:11.960Z', 'edge-1', 'taskEnded', { ...run, end: 'failed' }),
      lineOf('2026-01-01T00:00:13.010Z', 'edge-1', 'placeAwaited', PLACE_WAIT),
      lineOf('2026-01-01T00:00:16.460Z', 'edge-1', 'placeFound', {
        ...base,
        attempt: 2,
        worker: 'w2',
        awaitedMs: 4_500,
      }),
    ],
    `${ID}.0.0.3`,
  );
  const printed = text.trim().split('\n');
  expect(printed[0]).to.match(/edge-1 taskEnded .* end=failed$/);
  expect(printed[1]).to.match(/ edge-1 placeAwaited .* withRoom=9 belowLimit=0 .* plan=searching /);
  expect(printed[2]).to.match(/ worker=w2 awaitedMs=4500 \(waited 4.5 s for a place\)$/);
});

// Guards against a history with gaps that looks complete: the lines that count them are of others.
it('logs: lines left out since the first line of a job are pointed out at the end', async () => {
  const placed = { task: `${ID}.0.0.1`, worker: 'w1' };
  const other = { task: 'other.0.0.1', worker: 'w1' };
  const { text } = await explain(
    [
      lineOf('2026-01-01T00:00:01.000Z', 'edge-1', 'taskEnded', { ...other, leftOut: 900 }),
      lineOf('2026-01-01T00:00:02.000Z', 'edge-1', 'taskPlaced', placed),
      lineOf('2026-01-01T00:00:03.000Z', 'edge-1', 'taskPlaced', { ...other, leftOut: 40 }),
      lineOf('2026-01-01T00:00:04.000Z', 'edge-2', 'taskPlaced', { ...other, leftOut: 2 }),
      lineOf('2026-01-01T00:00:04.000Z', 'edge-2', 'taskEnded', { ...other, leftOut: 7 }),
      lineOf('2026-01-01T00:00:05.000Z', 'edge-2', 'workerSeen', { worker: 'w1', leftOut: 5 }),
    ],
    ID,
  );
  expect(text.trim().split('\n').slice(1)).to.deep.equal([
    `lines left out, perhaps some about ${ID}: taskEnded 7, taskPlaced 42`,
  ]);
});

const CRASH = {
  job: ID,
  task: `${ID}.0.0.0`,
  attempt: 1,
  worker: 'w1@5',
  prompt: 1,
  slow: 0,
  alone: 0,
  ageMs: 13,
  isSuspect: true,
};

const GIVEN_UP = { job: ID, outcome: 'failed', failure: 'workersCrashed' };

// Guards against a failed job whose history does not tell that its task crashed workers.
it('logs: crashes under a task are explained in words', async () => {
  const { text } = await explain(
    [
      lineOf('2026-01-01T00:00:01.000Z', 'edge-1', 'taskSuspected', CRASH),
      lineOf('2026-01-01T00:00:02.000Z', 'edge-1', 'taskCleared', { task: CRASH.task }),
      lineOf('2026-01-01T00:00:03.000Z', 'edge-1', 'jobEnded', GIVEN_UP),
    ],
    ID,
  );
  const words = text
    .trim()
    .split('\n')
    .map((line) => line.slice(line.indexOf('(')));
  expect(words).to.deep.equal([
    '(its worker crashed 13 ms after the start, crash 1 under the task: it is tried alone next)',
    '(a worker has run it for long enough: it does not crash workers)',
    '(given up: workers crashed whenever they started a task of it)',
  ]);
});

// Guards against operators who cannot tell a suspect from a task that was cleared or given up.
it('logs: suspects are listed with what became of them', async () => {
  const other = { ...CRASH, job: 'b', task: 'b.0.0.1' };
  const { text } = await runLogs(
    [
      lineOf('2026-01-01T00:00:01.000Z', 'edge-1', 'taskSuspected', CRASH),
      lineOf('2026-01-01T00:00:01.000Z', 'edge-1', 'taskSuspected', other),
      lineOf('2026-01-01T00:00:02.000Z', 'edge-1', 'taskCleared', { task: other.task }),
      lineOf('2026-01-01T00:00:03.000Z', 'edge-1', 'jobEnded', GIVEN_UP),
      lineOf('2026-01-01T00:00:04.000Z', 'edge-1', 'jobEnded', { job: 'c', outcome: 'complete' }),
    ],
    'suspects',
  );
  expect(text).to.match(new RegExp(`${CRASH.task} +givenUp +1 +0 +w1@5`));
  expect(text).to.match(/b\.0\.0\.1 +cleared/);
});
