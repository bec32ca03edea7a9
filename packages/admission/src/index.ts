export * from './chart';
export { MAX_REMEMBERED, MEMORY_MS } from './memory';
export { ANSWER_RETENTION_MS, MAX_ENDED, MAX_ENDED_BYTES, MAX_REFUSED } from './retain';
export * from './step';
export * from './types';
