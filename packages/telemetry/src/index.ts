export * from './context';
export * from './log';
export * from './metrics';
export * from './server';
export * from './tracer';
