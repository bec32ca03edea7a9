import { expect } from 'chai';
import { lastingId } from '../jobs';
import { findViolations } from '../oracle';
import { countRepeats, findRepeats } from '../repeats';
import type { SoakObservation } from '../types';

const END_MS = 60_000;
const JOB = '5c0e7a21d94b36f8';

/** A task that succeeds on w-1 at 400 ms and starts again on w-2 at 5,000 ms, while its job goes on. */
interface Scenario {
  readonly job?: string;
  readonly end?: string;
  readonly notedAtMs?: number;
  readonly restartAtMs?: number;
  readonly orderDelayMs?: number;
  readonly lapses?: readonly { readonly worker: string; readonly atMs: number }[];
}

function observe(scenario: Scenario): readonly SoakObservation[] {
  const { job = JOB, end = 'done', notedAtMs, restartAtMs = 5_000, orderDelayMs = 0 } = scenario;
  const first = { task: `${job}.0.0.0`, worker: 'w-1', attempt: 1 } as const;
  const second = { ...first, worker: 'w-2', attempt: 2 } as const;
  return [
    { kind: 'submitted', atMs: 0, job, stages: [1, 1] },
    { kind: 'accepted', atMs: 10, job },
    { kind: 'started', atMs: 150, orderDelayMs: 0, ...first },
    { kind: 'ended', atMs: 400, end, ...first },
    ...(scenario.lapses ?? []).map((lapse) => ({ kind: 'leaseLapsed', ...lapse }) as const),
    ...(notedAtMs === undefined ? [] : [{ kind: 'endNoted', atMs: notedAtMs, ...first } as const]),
    { kind: 'started', atMs: restartAtMs, orderDelayMs, ...second },
    { kind: 'ended', atMs: restartAtMs + 250, end: 'done', ...second },
  ];
}

/** Returns the violations of TWICE, and the number of starts after a success of each kind that occurs. */
function judge(scenario: Scenario) {
  const observations = observe(scenario);
  return {
    violations: findViolations(observations, END_MS)
      .filter(({ promise }) => promise === 'TWICE')
      .map(({ atMs, what }) => `${atMs}: ${what}`),
    starts: countRepeats(findRepeats(observations), END_MS)
      .filter(({ starts }) => starts > 0)
      .map(({ kind, starts, workMs }) => `${starts} ${kind}, ${workMs} ms`),
  };
}

// Guards against a repeat that is found only once the job was shown as complete, as in issue 47.
it('soak repeats: a start after an acknowledged success breaks TWICE, with both runs in the line', () => {
  const { violations, starts } = judge({ notedAtMs: 450 });
  expect(violations).to.deep.equal([
    `5000: ${JOB}.0.0.0 starts after a success: ` +
      'run 1 on w-1 ordered at 150, started at 150, not told to stop, done at 400, end noted at 450; ' +
      'run 2 on w-2 ordered at 5000, started at 5000, not told to stop, done at 5250, end not noted',
  ]);
  expect(starts).to.deep.equal(['1 counted, 250 ms']);
});

// Guards against an oracle that looks only at acknowledgements before the start.
it('soak repeats: a success that is acknowledged after the next start breaks TWICE', () => {
  const { violations, starts } = judge({ notedAtMs: 9_000 });
  expect(violations).to.have.length(1);
  expect(starts).to.deep.equal(['1 counted, 250 ms']);
});

// Guards against an oracle that blames a start for a success that the lease has voided.
it('soak repeats: a lease that ends before the acknowledgement excuses the start', () => {
  const lapses = [{ worker: 'w-1', atMs: 4_900 }];
  expect(judge({ notedAtMs: 9_000, lapses })).to.deep.equal({
    violations: [],
    starts: ['1 lapsed, 250 ms'],
  });
});

// Guards against an oracle that excuses a start by the lease of another worker, or by one that ended later.
it('soak repeats: leases of other workers and later ends of leases excuse nothing', () => {
  const lapses = [
    { worker: 'w-2', atMs: 4_900 },
    { worker: 'w-1', atMs: 9_100 },
  ];
  expect(judge({ notedAtMs: 9_000, lapses }).violations).to.have.length(1);
});

// Guards against an oracle that takes an end that nobody has acknowledged for one that counts.
it('soak repeats: a success without an acknowledgement is counted, and no violation', () => {
  expect(judge({})).to.deep.equal({ violations: [], starts: ['1 unnoted, 250 ms'] });
});

// Guards against an oracle that blames the leader for a start order that crossed the acknowledgement.
it('soak repeats: a start within a second of the acknowledgement is counted, and no violation', () => {
  expect(judge({ notedAtMs: 4_100 })).to.deep.equal({
    violations: [],
    starts: ['1 justNoted, 250 ms'],
  });
});

// Guards against an oracle that blames the leader for an order that the worker carried out late.
it('soak repeats: a start from a late order is counted, and no violation', () => {
  expect(judge({ notedAtMs: 450, orderDelayMs: 4_700 })).to.deep.equal({
    violations: [],
    starts: ['1 justNoted, 250 ms'],
  });
});

// Guards against an oracle that expects a task to start once although its run has failed.
it('soak repeats: a start after a failure is none after a success', () => {
  expect(judge({ end: 'failed', notedAtMs: 450 })).to.deep.equal({ violations: [], starts: [] });
});

// Guards against an oracle that expects the runs of a lasting task to succeed once.
it('soak repeats: lasting tasks are left out', () => {
  expect(judge({ job: lastingId(JOB), notedAtMs: 450 })).to.deep.equal({
    violations: [],
    starts: [],
  });
});

// Guards against counts that grow with the successes before a start, or miss the work of one that goes on.
it('soak repeats: a start after two successes is counted once, by the worse of the kinds', () => {
  const observations = observe({ notedAtMs: 9_000, lapses: [{ worker: 'w-1', atMs: 4_900 }] });
  const third = { task: `${JOB}.0.0.0`, worker: 'w-3', attempt: 3, orderDelayMs: 0 };
  const repeats = findRepeats([...observations, { kind: 'started', atMs: END_MS - 100, ...third }]);
  expect(countRepeats(repeats, END_MS)).to.deep.equal([
    { kind: 'counted', starts: 0, workMs: 0 },
    { kind: 'unnoted', starts: 1, workMs: 100 },
    { kind: 'justNoted', starts: 0, workMs: 0 },
    { kind: 'lapsed', starts: 1, workMs: 250 },
  ]);
});
