export * from './chart';
export * from './limits';
export * from './refusal';
export * from './server';
export * from './step';
export * from './types';
export * from './watch';
