export * from './choose';
export * from './rank';
export * from './types';
