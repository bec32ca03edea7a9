export * from './state';
export * from './liveness';
