export * from './agentlinks';
export * from './clockgap';
export * from './controller';
export * from './leaderlink';
export * from './loadmeter';
export * from './reachability';
export * from './runner';
export * from './types';
