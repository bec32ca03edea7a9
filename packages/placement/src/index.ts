export * from './choose';
export * from './types';
