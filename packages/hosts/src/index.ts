export * from './agentlinks';
export * from './controller';
export * from './leaderlink';
export * from './loadmeter';
export * from './reachability';
export * from './runner';
export * from './types';
