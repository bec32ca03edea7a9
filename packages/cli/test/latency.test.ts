import { PassThrough, Readable } from 'node:stream';
import { expect } from 'chai';
import { runCli } from '../src';

const BASE = { hostname: 'edge-1', time: '2026-01-01T00:00:00.000Z', msg: 'jobEnded' };
const ENDED = {
  ...BASE,
  job: 'job1',
  queue: 'quotes',
  outcome: 'complete',
  totalMs: 4_000,
  runningMs: 3_000,
  noRoomMs: 1_000,
  path: '0.0.1,0.1.0',
  runs: 2,
  retryWaitMs: 0,
  lastTasksMs: 500,
};

async function runLatency(lines: readonly object[], ...argv: readonly string[]) {
  const stdout = new PassThrough();
  const stdin = Readable.from([lines.map((line) => JSON.stringify(line)).join('\n')]);
  const context = { stdin, stdout, stderr: new PassThrough() };
  const exitCode = await runCli('0', ['logs', 'latency', ...argv], context);
  return { exitCode, text: String(stdout.read() ?? '') };
}

// Guards against a job whose causes do not add up to the printed total.
it('logs: the time of a job is printed by cause', async () => {
  const { exitCode, text } = await runLatency([ENDED], 'job1');
  expect(exitCode).to.equal(0);
  expect(text).to.match(/noRoom +1\.00 +25%/);
  expect(text).to.match(/running +3\.00 +75%/);
  expect(text).to.match(/total +4\.00 +100%/);
  expect(text).to.contain('path=0.0.1,0.1.0 runs=2');
});

// Guards against a summary that mixes queues, or that one slow job decides.
it('logs: without an id the middle jobs of each queue are summarized', async () => {
  const jobs = [1_000, 2_000, 3_000, 4_000, 90_000].map((totalMs, index) => ({
    ...ENDED,
    job: `job${index}`,
    totalMs,
    runningMs: totalMs,
    noRoomMs: 0,
  }));
  const { text } = await runLatency([...jobs, { ...ENDED, queue: 'checks' }]);
  expect(text).to.match(/quotes: the middle 1 of 5 jobs\nCAUSE +SECONDS +SHARE\nrunning +3\.00/);
  expect(text).to.contain('checks: the middle 1 of 1 jobs');
});

// Guards against an empty table for a job that was cancelled or never ended.
it('logs: a job without a breakdown is an error', async () => {
  const cancelled = { ...BASE, job: 'job1', queue: 'quotes', outcome: 'cancelled' };
  const { exitCode } = await runLatency([cancelled], 'job1');
  expect(exitCode).to.not.equal(0);
});
