export * from './follow';
export * from './rangewatch';
export { createRangeWatch, stepRangeWatch } from './rangestep';
export type { RangeWatchEffect, RangeWatchEvent, RangeWatchState, WatchedRange } from './rangestep';
