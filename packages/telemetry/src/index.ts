export * from './context';
export * from './eventlog';
export * from './events';
export * from './histogram';
export * from './log';
export * from './metrics';
export * from './server';
export * from './tracer';
