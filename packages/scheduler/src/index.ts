export * from './budget';
export * from './maintenance';
export * from './rows';
export * from './state';
export * from './step';
export * from './times';
export * from './types';
export * from './views';
export { WITHDRAWAL_KEEP_MS } from './withdrawals';
