export * from './rows';
export * from './step';
export * from './types';
