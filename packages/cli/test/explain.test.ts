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

async function explain(lines: readonly string[], id: string) {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const stdin = Readable.from([lines.join('\n')]);
  const exitCode = await runCli('0', ['logs', 'explain', id], { stdin, stdout, stderr });
  return { exitCode, text: String(stdout.read() ?? '') };
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
