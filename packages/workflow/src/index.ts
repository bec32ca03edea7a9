export * from './job';
export * from './progressrow';
export * from './rows';
export * from './run';
export * from './types';
