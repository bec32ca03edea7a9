export * from './chart';
export { resetSentFactors, penalty, takeChangedSlowDowns } from './learn';
export * from './step';
export * from './types';
export * from './pairs';
export * from './paces';
