export * from './controller';
export * from './loadmeter';
export * from './reachability';
export * from './runner';
export * from './types';
