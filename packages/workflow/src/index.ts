export * from './job';
export * from './rows';
export * from './run';
export * from './types';
