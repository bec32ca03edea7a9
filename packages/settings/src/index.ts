export * from './agent';
export * from './cli';
export * from './entry';
export * from './fault';
export * from './fields';
export * from './page';
export * from './program';
export * from './read';
