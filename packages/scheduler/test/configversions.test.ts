import { expect } from 'chai';
import type { WorkflowJob } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  commitAll,
  createLeader,
  dispatch,
  jobOf,
  report,
  sentMessages,
  stageOf,
  submit,
} from './fixture';

/** Service of the worker, and another one. */
const SERVICE = 'quoter';
const OTHER = 'archive';

/** A leader with a worker, and a configuration that sends the queue to a service. */
function leaderWith(version: number, service: string): Fixture {
  const { queue, ...rest } = jobOf('job0', [stageOf(1)]).policy;
  const queues = [{ ...rest, queue, service, host: '', pathPrefix: '' }];
  const config = { version, queues, services: [], maxBodyBytes: 1 };
  return report(dispatch(createLeader(), { kind: 'configChanged', config }), 'w1');
}

function jobBy(service: string, configVersion?: number): WorkflowJob {
  const job = jobOf('job1', [stageOf(1)]);
  const policy = { ...job.policy, service };
  return configVersion === undefined ? { ...job, policy } : { ...job, policy, configVersion };
}

function startCount(leader: Fixture, job: WorkflowJob): number {
  return sentMessages(commitAll(submit(leader, job)), 'start').length;
}

// Guards against a leader on a narrow link that runs jobs of a new version by the service of the one before.
it('config versions: a job accepted by a later version runs by that one', () => {
  expect(startCount(leaderWith(1, OTHER), jobBy(SERVICE, 2))).to.equal(1);
  expect(startCount(leaderWith(1, SERVICE), jobBy(OTHER, 2))).to.equal(0);
});

// Guards against jobs that stay with the service of the version by which they were accepted.
it('config versions: a job accepted by an earlier version runs by the present one', () => {
  expect(startCount(leaderWith(2, SERVICE), jobBy(OTHER, 1))).to.equal(1);
  expect(startCount(leaderWith(2, SERVICE), jobBy(OTHER, 2))).to.equal(1);
});

// Guards against rows of the build before that no leader places.
it('config versions: a job without a version runs by the present one', () => {
  expect(startCount(leaderWith(1, SERVICE), jobBy(OTHER))).to.equal(1);
});
