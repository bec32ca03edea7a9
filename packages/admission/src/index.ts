export * from './chart';
export { MAX_HISTORY_ATTEMPTS, HISTORY_RETENTION_MS } from './history';
export { ANSWER_RETENTION_MS, MAX_ENDED, MAX_ENDED_BYTES, MAX_REFUSED } from './retain';
export * from './step';
export * from './types';
