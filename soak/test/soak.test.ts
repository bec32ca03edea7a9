import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { buildPrograms } from '../../tools/bundle';
import { crashingId, lastingId } from '../jobs';
import { findViolations } from '../oracle';
import { planFaults } from '../plan';
import { createProgram } from '../program';
import { runSoak } from '../run';
import type { SoakObservation } from '../types';

const SEED = 7;
const FAULTS_MS = 6_000;
const END_MS = 60_000;

const JOB = '5c0e7a21d94b36f8';

function run(
  task: string,
  fromMs: number,
  untilMs: number,
  end = 'done',
  worker = 'w-1',
): SoakObservation[] {
  const ref = { worker, task: `${JOB}.${task}`, attempt: 1 };
  return [
    { kind: 'started', atMs: fromMs, orderDelayMs: 0, ...ref },
    { kind: 'ended', atMs: untilMs, ...ref, end },
  ];
}

const submitted: SoakObservation = { kind: 'submitted', atMs: 0, job: JOB, stages: [1, 1] };
const accepted: SoakObservation = { kind: 'accepted', atMs: 10, job: JOB };
const shown = (status: string, atMs = 900): SoakObservation => ({
  kind: 'shown',
  atMs,
  job: JOB,
  status,
});
const successfulRuns = [...run('0.0.0', 100, 300), ...run('0.1.0', 400, 600)];

function violatedPromises(...observations: readonly SoakObservation[]): readonly string[] {
  return findViolations(observations, END_MS).map(({ promise }) => promise);
}

// Guards against an oracle that reports a violation in a run that keeps all promises.
it('soak: a job that is served breaks no promise', () => {
  expect(violatedPromises(submitted, accepted, ...successfulRuns, shown('complete'))).to.deep.equal(
    [],
  );
});

// Guards against an oracle that misses a job that never completes, is gone or has failed.
it('soak: the oracle finds a lost job', () => {
  expect(violatedPromises(submitted, accepted, ...successfulRuns)).to.deep.equal(['LOST']);
  expect(violatedPromises(submitted, accepted, shown('gone', 9_000))).to.deep.equal(['LOST']);
  expect(violatedPromises(submitted, accepted, shown('failed'))).to.deep.equal(['LOST']);
});

// Guards against an oracle that misses a job that crashes workers for good, or takes its end for a loss.
it('soak: the oracle finds a job that crashes workers and is not given up', () => {
  const job = crashingId(JOB);
  const observed: readonly SoakObservation[] = [
    { kind: 'submitted', atMs: 0, job, stages: [1] },
    { kind: 'accepted', atMs: 10, job },
  ];
  const failed: SoakObservation = { kind: 'shown', atMs: 900, job, status: 'failed' };
  expect(violatedPromises(...observed)).to.deep.equal(['BUDGET']);
  expect(violatedPromises(...observed, failed)).to.deep.equal([]);
});

// Guards against an oracle that misses a lasting task that is not started again, or takes one for lost.
it('soak: the oracle finds a lasting task that stays away', () => {
  const job = lastingId(JOB);
  const observed: readonly SoakObservation[] = [
    { kind: 'submitted', atMs: 0, job, stages: [1] },
    { kind: 'accepted', atMs: 10, job },
  ];
  const started = {
    kind: 'started',
    worker: 'w-1',
    task: `${job}.0.0.0`,
    orderDelayMs: 0,
  } as const;
  const first: readonly SoakObservation[] = [
    { ...started, atMs: 100, attempt: 1 },
    { ...started, kind: 'ended', atMs: 2_600, attempt: 1, end: 'done' } as const,
  ];
  expect(violatedPromises(...observed, ...first)).to.deep.equal(['LOST']);
  expect(
    violatedPromises(...observed, ...first, { ...started, atMs: 2_900, attempt: 2 }),
  ).to.deep.equal([]);
  const complete: SoakObservation = { kind: 'shown', atMs: 2_700, job, status: 'complete' };
  expect(violatedPromises(...observed, ...first, complete)).to.include('MIXED');
});

// Guards against an oracle that misses a job that is accepted after "no such job" was answered.
it('soak: the oracle finds a withdrawn job that runs', () => {
  const withdrawn: SoakObservation = { kind: 'withdrawn', atMs: 50, job: JOB };
  const unknown: SoakObservation = { kind: 'unknown', atMs: 20, job: JOB };
  expect(violatedPromises(submitted, unknown, withdrawn, shown('gone'))).to.deep.equal([]);
  expect(violatedPromises(submitted, unknown, withdrawn, shown('active'))).to.deep.equal([
    'UNASKED',
  ]);
  const late = run('0.0.0', 20_000, 20_300);
  expect(violatedPromises(submitted, unknown, withdrawn, ...late)).to.deep.equal(['UNASKED']);
});

// Guards against an oracle that misses a program that ends again and again and is started again.
it('soak: the oracle finds a program that ends by itself', () => {
  const exited: SoakObservation = { kind: 'exited', atMs: 5, program: 'agent-1', output: '' };
  expect(violatedPromises(exited)).to.deep.equal(['ENDED']);
});

// Guards against a report that does not tell why a program ended.
it('soak: the output of a program that ends by itself is reported', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'bronzeyoke-soak-'));
  const bundle = join(folder, 'program.mjs');
  await writeFile(bundle, "throw new Error('port in use')");
  const output = await new Promise<string>((resolve, reject) => {
    createProgram(bundle, folder, { name: 'agent-1' }, resolve).then(
      (program) => program.send('start'),
      reject,
    );
  });
  expect(output).to.include('port in use');
});

// Guards against an oracle that misses two runs of one task, or one after its job was complete.
it('soak: the oracle finds a task that runs twice', () => {
  const both = run('0.0.0', 200, 350, 'stopped', 'w-2');
  const after = run('0.0.0', 2_000, 2_100, 'done', 'w-2');
  const served = [submitted, accepted, ...successfulRuns, shown('complete')];
  expect(violatedPromises(...served, ...both)).to.deep.equal(['TWICE']);
  expect(violatedPromises(...served, ...after)).to.deep.equal(['TWICE']);
});

// Guards against an oracle that misses a task that starts again after its success while its job goes on.
it('soak: the oracle finds a task that starts again after its success', () => {
  const ref = { worker: 'w-1', task: `${JOB}.0.0.0`, attempt: 1 };
  const noted: SoakObservation = { kind: 'endNoted', atMs: 450, ...ref };
  const first = [...run('0.0.0', 100, 400), noted];
  const again = run('0.0.0', 5_000, 5_250, 'done', 'w-2');
  const next = [...run('0.1.0', 5_400, 5_600), shown('complete', 5_900)];
  expect(violatedPromises(submitted, accepted, ...first, ...again, ...next)).to.deep.equal([
    'TWICE',
  ]);
});

// Guards against an oracle that misses a task that starts before the stage that it needs.
it('soak: the oracle finds a task that starts too early', () => {
  const early = [...run('0.0.0', 100, 300), ...run('0.1.0', 200, 400)];
  expect(violatedPromises(submitted, accepted, ...early, shown('complete'))).to.deep.equal([
    'ORDER',
  ]);
});

// Guards against an oracle that misses a refused job that runs.
it('soak: the oracle finds a refused job that runs', () => {
  const refused: SoakObservation = { kind: 'refused', atMs: 20, job: JOB };
  expect(violatedPromises(submitted, refused, ...run('0.0.0', 100, 200))).to.deep.equal([
    'REFUSED',
  ]);
});

// Guards against an oracle that misses a job that is shown as complete too early.
it('soak: the oracle finds a job that is complete too early', () => {
  expect(
    violatedPromises(submitted, accepted, ...successfulRuns, shown('complete', 500)),
  ).to.include('MIXED');
});

// Guards against an oracle that misses runs of unknown jobs, or of a job that was cancelled.
it('soak: the oracle finds runs of unknown and cancelled jobs', () => {
  expect(violatedPromises(...run('0.0.0', 100, 200))).to.deep.equal(['UNASKED']);
  const [started] = run('0.0.0', 100, 200);
  const cancel: SoakObservation = { kind: 'cancelSent', atMs: 150, job: JOB };
  const left = [submitted, accepted, cancel, shown('cancelled'), ...(started ? [started] : [])];
  expect(violatedPromises(...left)).to.deep.equal(['UNASKED']);
});

// Guards against a plan that cannot be repeated from its seed.
it('soak: a seed gives the same faults each time', () => {
  expect(planFaults(SEED, FAULTS_MS)).to.deep.equal(planFaults(SEED, FAULTS_MS));
  expect(planFaults(SEED, FAULTS_MS)).not.to.deep.equal(planFaults(SEED + 1, FAULTS_MS));
});

// Guards against a promise that the real programs break under faults.
it('soak: the programs keep their promises under faults', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'bronzeyoke-soak-'));
  await buildPrograms(join(folder, 'programs'));
  const { violations, observations } = await runSoak({
    seed: SEED,
    forMs: FAULTS_MS,
    size: { entries: 2, workers: 2, domains: 2 },
    callers: 3,
    bundle: join(folder, 'programs', 'bronzeyoke-node.mjs'),
    folder,
  });
  expect(observations.some(({ kind }) => kind === 'accepted')).to.equal(true);
  expect(violations, folder).to.deep.equal([]);
});
