import type { FleetConfig, Queue, ServicePool } from '@bronzeyoke/workflow';
import type {
  ConfigEntry,
  ConfigFinding,
  ConfigProblem,
  MismatchReason,
  Severity,
} from './findings';

/** Bytes that a legal submission may take: a payload of 4,000 bytes with its stages. */
export const MIN_BODY_BYTES = 65_536;

const HOST = /^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/;
const PATH_PREFIX = /^\/[^\s?#]*$/;

function finding(severity: Severity, entry: ConfigEntry, problem: ConfigProblem): ConfigFinding {
  return { severity, entry, problem };
}

/** Returns why no request selects a queue; undefined if one may. The first of two equal queues is taken. */
function mismatchOf(
  { host, pathPrefix }: Queue,
  earlier: readonly Queue[],
): MismatchReason | undefined {
  if (!HOST.test(host)) return { kind: 'host' };
  if (!PATH_PREFIX.test(pathPrefix)) return { kind: 'path' };
  const first = earlier.find((other) => other.host === host && other.pathPrefix === pathPrefix);
  return first === undefined ? undefined : { kind: 'shadowed', by: first.queue };
}

function matchProblems(queue: Queue, earlier: readonly Queue[]): readonly ConfigProblem[] {
  const reason = mismatchOf(queue, earlier);
  return reason === undefined ? [] : [{ kind: 'neverMatches', queue: queue.queue, reason }];
}

function nameProblems(name: string, earlier: readonly string[]): readonly ConfigProblem[] {
  return earlier.includes(name) ? [{ kind: 'duplicateName', name }] : [];
}

function numberProblems({
  priority,
  maxAttempts,
  slackFactor,
  targetDurationMs,
}: Queue): readonly ConfigProblem[] {
  return [
    ...(maxAttempts > 0
      ? []
      : [{ kind: 'notPositive', field: 'maxAttempts', value: maxAttempts } as const]),
    ...(Number.isInteger(maxAttempts)
      ? []
      : [{ kind: 'notWhole', field: 'maxAttempts', value: maxAttempts } as const]),
    ...(slackFactor > 0
      ? []
      : [{ kind: 'notPositive', field: 'slackFactor', value: slackFactor } as const]),
    ...(targetDurationMs >= 0
      ? []
      : [{ kind: 'negative', field: 'targetDurationMs', value: targetDurationMs } as const]),
    ...(priority >= 0 ? [] : [{ kind: 'negative', field: 'priority', value: priority } as const]),
  ];
}

function objectiveProblems({
  queue,
  slackFactor,
  targetDurationMs,
}: Queue): readonly ConfigProblem[] {
  const isTooEarly = slackFactor > 0 && slackFactor < 1 && targetDurationMs <= 0;
  return isTooEarly ? [{ kind: 'objectiveTooEarly', queue, slackFactor }] : [];
}

function serviceFinding(
  { queue, service }: Queue,
  entry: ConfigEntry,
  services: readonly ServicePool[],
): readonly ConfigFinding[] {
  const pool = services.find((other) => other.service === service);
  if (pool === undefined)
    return [finding('error', entry, { kind: 'unknownService', queue, service })];
  return pool.isStandby
    ? [finding('warning', entry, { kind: 'standbyService', queue, service })]
    : [];
}

function queueFindings({ queues, services }: FleetConfig): readonly ConfigFinding[] {
  return queues.flatMap((queue, index) => {
    const entry = { kind: 'queue', index } as const;
    const earlier = queues.slice(0, index);
    const names = earlier.map((other) => other.queue);
    const errors = [
      ...nameProblems(queue.queue, names),
      ...matchProblems(queue, earlier),
      ...numberProblems(queue),
      ...objectiveProblems(queue),
    ];
    return [
      ...errors.map((problem) => finding('error', entry, problem)),
      ...serviceFinding(queue, entry, services),
    ];
  });
}

function serviceFindings({ queues, services }: FleetConfig): readonly ConfigFinding[] {
  const used = new Set(queues.map(({ service }) => service));
  return services.flatMap(({ service }, index) => {
    const entry = { kind: 'service', index } as const;
    const names = services.slice(0, index).map((other) => other.service);
    return [
      ...nameProblems(service, names).map((problem) => finding('error', entry, problem)),
      ...(used.has(service) ? [] : [finding('warning', entry, { kind: 'unusedService', service })]),
    ];
  });
}

function limitFindings({ maxBodyBytes }: FleetConfig): readonly ConfigFinding[] {
  if (maxBodyBytes >= MIN_BODY_BYTES) return [];
  const limits = { limitBytes: maxBodyBytes, minBytes: MIN_BODY_BYTES };
  return [finding('warning', { kind: 'bodyLimit' }, { kind: 'bodyLimitTooSmall', ...limits })];
}

/** Checks a configuration by itself: errors, queues that never match, and limits that contradict each other. */
export function checkConfig(config: FleetConfig): readonly ConfigFinding[] {
  return [...queueFindings(config), ...serviceFindings(config), ...limitFindings(config)];
}

/** Checks whether a configuration takes effect after the one in force. */
export function checkVersion(
  { version }: FleetConfig,
  current: FleetConfig,
): readonly ConfigFinding[] {
  if (version > current.version) return [];
  const problem = { kind: 'versionNotHigher', version, current: current.version } as const;
  return [finding('error', { kind: 'version' }, problem)];
}
