export * from './select';
export * from './step';
export * from './types';
