import type { AgentProfile, Resources } from '@bronzeyoke/types';

/** Where an entry runs. */
export interface EntrySite {
  readonly name: string;
  readonly domain: string;
}

/** A worker with the upstream and the agent beside it. */
export type WorkerSite = Omit<AgentProfile, 'agentId'>;

/** A user's installation. */
export interface Deployment {
  readonly name: string;
  readonly service: string;
  readonly entries: readonly EntrySite[];
  readonly workers: readonly WorkerSite[];
  readonly domainDelayMs: number;
  readonly callerDelayMs: number;
  /** Median and spread (sigma of the logarithm) of the time that the upstream needs for a request. */
  readonly serviceMedianMs: number;
  readonly serviceSpread: number;
}

const WORKERS_PER_RACK = 3;

interface Plan {
  readonly name: string;
  readonly service: string;
  readonly region: string;
  readonly domains: readonly string[];
  readonly total: Resources;
  readonly domainDelayMs: number;
  readonly callerDelayMs: number;
}

function deploy(plan: Plan, entryCount: number, workerCount: number): Deployment {
  const domainOf = (index: number): string => plan.domains[index % plan.domains.length] ?? '';
  return {
    name: plan.name,
    service: plan.service,
    entries: Array.from({ length: entryCount }, (_, index) => ({
      name: `e${index}`,
      domain: domainOf(index),
    })),
    workers: Array.from({ length: workerCount }, (_, index) => ({
      worker: `w${index}`,
      domain: domainOf(index),
      region: plan.region,
      rack: `r${Math.floor(index / (WORKERS_PER_RACK * plan.domains.length))}-${domainOf(index)}`,
      service: plan.service,
      slots: 8,
      connections: 64,
      total: plan.total,
    })),
    domainDelayMs: plan.domainDelayMs,
    callerDelayMs: plan.callerDelayMs,
    serviceMedianMs: 20,
    serviceSpread: 0.5,
  };
}

/** Derwent Coil Makers Co-operative, in the sizes of the design page unless told otherwise. */
export function derwent(entryCount = 3, workerCount = 11): Deployment {
  const plan: Plan = {
    name: 'derwent',
    service: 'quoter',
    region: 'tasmania',
    domains: ['hobart', 'launceston', 'devonport', 'burnie'],
    total: { processorsMilli: 64_000, memoryMb: 250_000, accelerators: 2 },
    domainDelayMs: 1.5,
    callerDelayMs: 3,
  };
  return deploy(plan, entryCount, workerCount);
}

/** Kestrel Coulee Software, in the sizes of the design page unless told otherwise. */
export function kestrel(entryCount = 3, workerCount = 11): Deployment {
  const plan: Plan = {
    name: 'kestrel',
    service: 'certdesk',
    region: 'prairies',
    domains: ['yqr', 'yxe', 'ywg', 'yyc'],
    total: { processorsMilli: 32_000, memoryMb: 125_000, accelerators: 2 },
    domainDelayMs: 1,
    callerDelayMs: 1,
  };
  return deploy(plan, entryCount, workerCount);
}
