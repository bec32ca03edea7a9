import type { AgentProfile } from '@bronzeyoke/types';

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

const DERWENT_DOMAINS = ['hobart', 'launceston', 'devonport', 'burnie'] as const;

function domainOf(index: number): string {
  return DERWENT_DOMAINS[index % DERWENT_DOMAINS.length] ?? '';
}

/** Creates the deployment of Derwent Coil Makers Co-operative. The design page has its sizes. */
export function derwent(entryCount = 3, workerCount = 11): Deployment {
  const service = 'quoter';
  return {
    name: 'derwent',
    service,
    entries: Array.from({ length: entryCount }, (_, index) => ({
      name: `e${index}`,
      domain: domainOf(index),
    })),
    workers: Array.from({ length: workerCount }, (_, index) => ({
      worker: `w${index}`,
      domain: domainOf(index),
      region: 'tasmania',
      rack: `r${Math.floor(index / (WORKERS_PER_RACK * DERWENT_DOMAINS.length))}-${domainOf(index)}`,
      service,
      slots: 8,
      connections: 64,
      total: { processorsMilli: 64_000, memoryMb: 250_000, accelerators: 2 },
    })),
    domainDelayMs: 1.5,
    callerDelayMs: 3,
    serviceMedianMs: 20,
    serviceSpread: 0.5,
  };
}
