export * from './choose';
export * from './demands';
export * from './gaps';
export * from './outlook';
export * from './rank';
export * from './types';
