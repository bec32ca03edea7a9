import type { Resources } from '@bronzeyoke/types';

/** A user's deployment as the demonstration runs it. */
export interface DemoSite {
  readonly name: string;
  readonly region: string;
  readonly domains: readonly string[];
  readonly service: string;
  readonly workerCount: number;
  readonly workersPerRack: number;
  readonly worker: Resources;
  readonly slots: number;
  readonly connections: number;
  readonly team: string;
  readonly workKind: string;
  /** Failure domain that is taken out of service and brought back. */
  readonly movedDomain: string;
}

/** Derwent Coil Makers Co-operative. */
export const CO_OP: DemoSite = {
  name: 'co-op',
  region: 'tasmania',
  domains: ['hobart', 'launceston', 'devonport', 'burnie'],
  service: 'quoter',
  workerCount: 11,
  workersPerRack: 3,
  worker: { processorsMilli: 64_000, memoryMb: 250_000, accelerators: 0 },
  slots: 8,
  connections: 64,
  team: 'quotes',
  workKind: 'load-curve',
  movedDomain: 'launceston',
};

/** Kestrel Coulee Software. */
export const KESTREL: DemoSite = {
  ...CO_OP,
  name: 'kestrel',
  region: 'prairies',
  domains: ['yqr', 'yxe', 'ywg', 'yyc'],
  service: 'certdesk',
  worker: { processorsMilli: 32_000, memoryMb: 125_000, accelerators: 0 },
  team: 'certificates',
  workKind: 'certificate',
  movedDomain: 'yxe',
};
