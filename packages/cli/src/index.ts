export * from './fault';
export * from './run';
export * from './table';
