import type { AgentProfile, Resources } from '@bronzeyoke/types';

/** The site of an entry. */
export interface EntrySite {
  readonly name: string;
  readonly domain: string;
}

/** The site of a worker, its upstream and its agent. */
export type WorkerSite = Omit<AgentProfile, 'agentId'>;

/** The sites of an installation, with its network delays and service times. */
export interface Deployment {
  readonly name: string;
  readonly service: string;
  readonly entries: readonly EntrySite[];
  readonly workers: readonly WorkerSite[];
  readonly domainDelayMs: number;
  readonly callerDelayMs: number;
  /** Median of the service time of a request, which has a log-normal distribution. */
  readonly serviceMedianMs: number;
  /** Standard deviation of the logarithm of the service time. */
  readonly serviceSpread: number;
}

const WORKERS_PER_RACK = 3;

interface DeploymentSpec {
  readonly name: string;
  readonly service: string;
  readonly region: string;
  readonly domains: readonly string[];
  readonly total: Resources;
  readonly domainDelayMs: number;
  readonly callerDelayMs: number;
}

function createDeployment(
  spec: DeploymentSpec,
  entryCount: number,
  workerCount: number,
): Deployment {
  const domainOf = (index: number): string => spec.domains[index % spec.domains.length] ?? '';
  return {
    name: spec.name,
    service: spec.service,
    entries: Array.from({ length: entryCount }, (_, index) => ({
      name: `e${index}`,
      domain: domainOf(index),
    })),
    workers: Array.from({ length: workerCount }, (_, index) => ({
      worker: `w${index}`,
      domain: domainOf(index),
      region: spec.region,
      rack: `r${Math.floor(index / (WORKERS_PER_RACK * spec.domains.length))}-${domainOf(index)}`,
      service: spec.service,
      slots: 8,
      connections: 64,
      total: spec.total,
    })),
    domainDelayMs: spec.domainDelayMs,
    callerDelayMs: spec.callerDelayMs,
    serviceMedianMs: 20,
    serviceSpread: 0.5,
  };
}

/** Creates the deployment of Derwent Coil Makers Co-operative. The design page has its sizes. */
export function derwent(entryCount = 3, workerCount = 11): Deployment {
  const spec: DeploymentSpec = {
    name: 'derwent',
    service: 'quoter',
    region: 'tasmania',
    domains: ['hobart', 'launceston', 'devonport', 'burnie'],
    total: { processorsMilli: 64_000, memoryMb: 250_000, accelerators: 2 },
    domainDelayMs: 1.5,
    callerDelayMs: 3,
  };
  return createDeployment(spec, entryCount, workerCount);
}

/** Creates the deployment of Kestrel Coulee Software. The design page has its sizes. */
export function kestrel(entryCount = 3, workerCount = 11): Deployment {
  const spec: DeploymentSpec = {
    name: 'kestrel',
    service: 'certdesk',
    region: 'prairies',
    domains: ['yqr', 'yxe', 'ywg', 'yyc'],
    total: { processorsMilli: 32_000, memoryMb: 125_000, accelerators: 2 },
    domainDelayMs: 1,
    callerDelayMs: 1,
  };
  return createDeployment(spec, entryCount, workerCount);
}
