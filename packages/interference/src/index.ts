export * from './chart';
export { forgetTold, penalty, takeChanged } from './learn';
export * from './step';
export * from './types';
export * from './pairs';
