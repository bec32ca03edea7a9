export * from './chart';
export * from './step';
export * from './types';
