import type { FillShare, Verdict } from '@bronzeyoke/interference';
import type { Resources } from '@bronzeyoke/types';

/** What runs on a worker, and what it can take. */
export interface WorkerLoad {
  readonly workerKey: string;
  readonly domain: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Reserved by tasks that count against the capacity, and memory of all tasks. */
  readonly reserved: Resources;
  /** Processors that tasks filling idle capacity ask for. */
  readonly fillRequestedMilli: number;
  /** Processors that these tasks were last seen to use. */
  readonly fillUsedMilli: number;
  /** Different images of tasks with a latency target. */
  readonly servingImages: readonly string[];
  /** Images of tasks that fill idle capacity, with the share of the worker that they ask for. */
  readonly fills: readonly FillShare[];
}

/** Looks up what is known of a serving image beside fills. */
export type FillClassifier = (servingImage: string, fills: readonly FillShare[]) => Verdict;
