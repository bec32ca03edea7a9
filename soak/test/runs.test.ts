import { expect } from 'chai';
import { findViolations } from '../oracle';
import type { RunObservation, SoakObservation } from '../types';

const END_MS = 60_000;
const JOB = '5c0e7a21d94b36f8';
const TASK = `${JOB}.0.0.0`;

const first = { worker: 'w-1', task: TASK, attempt: 1 };
const second = { worker: 'w-2', task: TASK, attempt: 2 };

/** A run that ends as done while the next one runs. */
const firstRun: readonly RunObservation[] = [
  { kind: 'started', atMs: 100, orderDelayMs: 0, ...first },
  { kind: 'ended', atMs: 400, end: 'done', ...first },
];
const secondRun: readonly RunObservation[] = [
  { kind: 'started', atMs: 300, orderDelayMs: 0, ...second },
  { kind: 'ended', atMs: 500, end: 'done', ...second },
];

/** Returns the finding on a task that runs twice, with its two runs. */
function describeBoth(runs: readonly SoakObservation[]): readonly string[] {
  return findViolations([{ kind: 'submitted', atMs: 0, job: JOB, stages: [1] }, ...runs], END_MS)
    .filter(({ promise }) => promise === 'TWICE')
    .flatMap(({ what }) => what.split('; '));
}

// Guards against a finding that leaves out what the record of a run says.
it('soak: a finding of two runs tells all of both', () => {
  expect(describeBoth([...firstRun, ...secondRun])).to.deep.equal([
    `${TASK}: run 1 on w-1 ordered at 100, started at 100, not told to stop, done at 400, end not noted`,
    'run 2 on w-2 ordered at 300, started at 300, not told to stop, done at 500, end not noted',
  ]);
});

// Guards against a finding that hides that an order was carried out late.
it('soak: a finding of two runs tells of a late order', () => {
  const late = { kind: 'started', atMs: 300, orderDelayMs: 250, ...second } as const;
  expect(describeBoth([...firstRun, late])[1]).to.include(
    'ordered at 50, carried out late, started at 300',
  );
});

// Guards against a finding that hides that a run was stopped, or takes a later stop for the first.
it('soak: a finding of two runs tells when a run was told to stop', () => {
  const stops: readonly RunObservation[] = [
    { kind: 'stopOrdered', atMs: 350, ...first },
    { kind: 'stopOrdered', atMs: 380, ...first },
  ];
  const [started, ended] = firstRun;
  const runs = [started, ...stops, ended].filter((seen) => seen !== undefined);
  expect(describeBoth([...runs, ...secondRun])[0]).to.include('told to stop at 350, done at 400');
});

// Guards against a finding that hides that the end of a run was acknowledged.
it('soak: a finding of two runs tells when an end was noted', () => {
  const noted = { kind: 'endNoted', atMs: 450, ...first } as const;
  expect(describeBoth([...firstRun, ...secondRun, noted])[0]).to.include('end noted at 450');
});

// Guards against a finding that gives a run no end, or that of another one.
it('soak: a finding of two runs tells that a run goes on', () => {
  const [started] = firstRun;
  if (started === undefined) throw new RangeError('the run has no start');
  expect(describeBoth([started, ...secondRun])[0]).to.include('still running');
});

// Guards against a double run that is reported when a crashed worker starts the same attempt once more.
it('soak: an attempt that starts again after a crash runs once at a time', () => {
  const crashed = { kind: 'ended', atMs: 200, end: 'crashed', ...first } as const;
  const again = { kind: 'started', atMs: 250, orderDelayMs: 0, ...first } as const;
  const [started, ended] = firstRun;
  const runs = [started, crashed, again, ended].filter((seen) => seen !== undefined);
  expect(describeBoth(runs)).to.deep.equal([]);
});
