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
  readonly fillMilli: number;
  /** Processors that these tasks were last seen to use. */
  readonly fillUsedMilli: number;
  /** Images of tasks with a latency target. */
  readonly servingImages: readonly string[];
  /** Images of tasks that fill idle capacity. */
  readonly fillImages: readonly string[];
}

/** How a pair of a serving and a filling image gets on. */
export type Verdict = 'harmless' | 'harmful' | 'unknown';

/** Looks up what is known of a pair of images. */
export type Judge = (servingImage: string, fillImage: string) => Verdict;
