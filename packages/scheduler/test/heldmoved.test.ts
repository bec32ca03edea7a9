import { expect } from 'chai';
import { progressKey } from '@bronzeyoke/scheduler';
import type { TaskProgress } from '@bronzeyoke/workflow';
import { encodeProgress } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  dispatch,
  jobOf,
  listedRun,
  loadWithProgress,
  loggedFields,
  report,
  sentMessages,
  siteOf,
  stageOf,
  TASK,
  UNREADABLE,
  WALL_MS,
  workerKeyFor,
} from './fixture';

const JOB = jobOf('job1', [stageOf(1)]);

/** Time after which the leases of earlier leaders have ended. */
const HELD_MS = 10_000;

const REPORT_MS = 500;

/** The instance after the one that the claim names. It has carried out the order to that one. */
const LATER = { running: [listedRun(TASK, 3)], bornAtMs: 9 };

function reportAll(fixture: Fixture): Fixture {
  return commitAll(report(commitAll(report(fixture, 'w2')), 'w1', LATER));
}

function createHolding(): Fixture {
  return Array.from({ length: HELD_MS / REPORT_MS }).reduce<Fixture>(
    (current) => reportAll(advance(current, REPORT_MS)),
    reportAll(loadWithProgress(JOB, UNREADABLE)),
  );
}

function open(fixture: Fixture): Fixture {
  const claimed: TaskProgress = {
    phase: 'running',
    attempt: 3,
    failures: 0,
    workerKey: workerKeyFor('w1'),
  };
  const value = encodeProgress({ tasks: new Map([['0.0.0', claimed]]) });
  const rows = [{ ...progressKey('job1'), version: 12, value }];
  const result = { kind: 'rows', rows, version: 12 } as const;
  const event = { kind: 'rangeDone', callId: 'held-jobs', result, wallMs: WALL_MS } as const;
  return commitAll(dispatch(fixture, event));
}

// Guards against a second run of a task whose order a later instance carried out while its job was held: the
// claim names the earlier instance, whose lease has long ended.
it('held: a run that a later instance began goes on when its job is opened', () => {
  const ticked = commitAll(advance(open(createHolding()), 100));
  const listed = reportAll(advance(ticked, REPORT_MS));
  expect(loggedFields(listed, 'taskMoved')).to.have.length(1);
  expect(siteOf(listed, TASK)).to.equal('w1');
  expect(sentMessages(listed, 'start')).to.deep.equal([]);
  expect(sentMessages(listed, 'stop')).to.deep.equal([]);
});
