export * from './explain';
export * from './fault';
export * from './run';
export * from './table';
