import type { Histogram } from 'hdr-histogram-js';

/** Loads the histogram library; a process that records no durations does without it. */
export async function loadHistograms(): Promise<() => Histogram> {
  const { createHistogram } = await import('./histogram');
  return createHistogram;
}
