export * from './step';
export * from './types';
