export * from './context';
export * from './histogram';
export * from './log';
export * from './metrics';
export * from './server';
export * from './tracer';
