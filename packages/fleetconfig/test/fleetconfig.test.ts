import { expect } from 'chai';
import type { FleetConfig, Queue } from '@bronzeyoke/workflow';
import type { ConfigFinding } from '@bronzeyoke/fleetconfig';
import {
  checkConfig,
  checkVersion,
  compareConfigs,
  describeDifference,
  describeProblem,
} from '@bronzeyoke/fleetconfig';

function queueOf(queue: string, fields: Partial<Queue> = {}): Queue {
  return {
    queue,
    host: 'front.example',
    pathPrefix: `/${queue}/`,
    service: 'quoter',
    priority: 0,
    maxAttempts: 3,
    slackFactor: 2,
    targetDurationMs: 500,
    needsAdvice: false,
    ...fields,
  };
}

function configOf(queues: readonly Queue[], fields: Partial<FleetConfig> = {}): FleetConfig {
  const services = [{ service: 'quoter', refusesOvercommit: true, isStandby: false }];
  return { version: 7, queues, services, maxBodyBytes: 262_144, ...fields };
}

function kindsOf(findings: readonly ConfigFinding[]): readonly string[] {
  return findings.map(({ severity, problem }) => `${severity} ${problem.kind}`);
}

// Guards against findings that an operator would learn to ignore.
it('config check: a sound configuration has no findings', () => {
  expect(
    checkConfig(configOf([queueOf('quick'), queueOf('large', { priority: 2 })])),
  ).to.deep.equal([]);
});

// Guards against a queue whose callers get another queue's rules, or 404.
it('config check: queues that no request selects are errors', () => {
  const queues = [
    queueOf('first', { pathPrefix: '/same/' }),
    queueOf('second', { pathPrefix: '/same/' }),
    queueOf('port', { host: 'front.example:8080' }),
    queueOf('upper', { host: 'Front.example' }),
    queueOf('relative', { pathPrefix: 'relative/' }),
    queueOf('query', { pathPrefix: '/query?a=' }),
  ];
  const findings = checkConfig(configOf(queues));
  expect(kindsOf(findings)).to.deep.equal(Array(5).fill('error neverMatches'));
  expect(findings.map(({ entry }) => entry)).to.deep.equal(
    [1, 2, 3, 4, 5].map((index) => ({ kind: 'queue', index })),
  );
  expect(findings.map(({ problem }) => describeProblem(problem))[0]).to.contain('first');
});

// Guards against jobs that wait for workers that cannot come.
it('config check: a missing service is an error, and one that is off a warning', () => {
  const services = [
    { service: 'off', refusesOvercommit: true, isStandby: true },
    { service: 'unused', refusesOvercommit: true, isStandby: false },
  ];
  const queues = [queueOf('a', { service: 'none' }), queueOf('b', { service: 'off' })];
  expect(kindsOf(checkConfig(configOf(queues, { services })))).to.deep.equal([
    'error unknownService',
    'warning standbyService',
    'warning unusedService',
  ]);
});

// Guards against a queue whose jobs fail at once or are late by definition.
it('config check: limits that contradict each other are found', () => {
  const queues = [
    queueOf('never', { maxAttempts: 0 }),
    queueOf('half', { maxAttempts: 1.5 }),
    queueOf('early', { slackFactor: 0.5, targetDurationMs: 0 }),
    queueOf('negative', { priority: -1, targetDurationMs: -5 }),
  ];
  expect(kindsOf(checkConfig(configOf(queues, { maxBodyBytes: 100 })))).to.deep.equal([
    'error notPositive',
    'error notWhole',
    'error objectiveTooEarly',
    'error negative',
    'error negative',
    'warning bodyLimitTooSmall',
  ]);
});

// Guards against two entries of one name, of which only one is ever found.
it('config check: a name that is given twice is an error', () => {
  const queues = [queueOf('twice'), queueOf('twice', { pathPrefix: '/other/' })];
  expect(kindsOf(checkConfig(configOf(queues)))).to.deep.equal(['error duplicateName']);
});

// Guards against a change that is sent and silently ignored.
it('config check: a version that is not higher takes no effect', () => {
  const current = configOf([queueOf('a')]);
  expect(kindsOf(checkVersion(current, current))).to.deep.equal(['error versionNotHigher']);
  expect(checkVersion({ ...current, version: 8 }, current)).to.deep.equal([]);
});

// Guards against a change that an operator did not mean to make.
it('config check: differences from the version in force are listed', () => {
  const current = configOf([queueOf('gone'), queueOf('kept')]);
  const queues = [queueOf('kept', { priority: 1 }), queueOf('new')];
  const next = configOf(queues, { version: 8, services: [], maxBodyBytes: 131_072 });
  const lines = compareConfigs(next, current).map(describeDifference);
  expect(lines).to.deep.equal([
    'queue gone is removed; its callers get 404',
    'queue new is new',
    'queue kept: priority 0 -> 1',
    'service quoter is removed',
    'body limit: 262144 -> 131072 bytes',
  ]);
  expect(compareConfigs(current, current)).to.deep.equal([]);
});
