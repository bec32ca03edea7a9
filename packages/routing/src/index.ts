export * from './attempt';
export * from './budget';
export * from './chart';
export * from './choose';
export * from './queue';
export * from './state';
export * from './types';
