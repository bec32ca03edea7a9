export * from './criticalpath';
export * from './durations';
export * from './task';
