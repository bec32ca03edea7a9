export * from './table';
export * from './worker';
