import type { FillShare, Verdict } from '@bronzeyoke/interference';
import type { Resources } from '@bronzeyoke/types';

/** Load and capacity of a worker. */
export interface WorkerLoad {
  readonly workerKey: string;
  readonly service: string;
  readonly domain: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Processors reserved by tasks that do not fill, and memory and accelerators of all tasks. */
  readonly reserved: Resources;
  /** Its runs reserve more than its capacity, which has become smaller. Nothing may start there. */
  readonly isOvercommitted: boolean;
  /** Processors requested by tasks that fill idle capacity. */
  readonly fillRequestedMilli: number;
  /** Last observed use of processors by these tasks. */
  readonly fillUsedMilli: number;
  /** Distinct images of tasks with a latency target. */
  readonly servingImages: readonly string[];
  /** Images of tasks that fill idle capacity, with the requested share of the worker. */
  readonly fills: readonly FillShare[];
}

/** What is known of the effects of fills on serving images. */
export interface FillEffects {
  readonly classify: (servingImage: string, fills: readonly FillShare[]) => Verdict;
  /** Predicted mean load of a serving image beside fills, from 0 to 1. */
  readonly predictLoad: (servingImage: string, fills: readonly FillShare[]) => number;
}
