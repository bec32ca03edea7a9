export * from './chart';
export * from './check';
export * from './load';
export * from './rows';
export * from './step';
export * from './types';
