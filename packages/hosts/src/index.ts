export * from './loadmeter';
export * from './controller';
export * from './reachability';
export * from './runner';
export * from './types';
