export * from './chart';
export { MAX_HISTORY_ATTEMPTS, HISTORY_RETENTION_MS } from './history';
export * from './step';
export * from './types';
