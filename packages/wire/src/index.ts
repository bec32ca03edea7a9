export * from './frame';
export * from './message';
export * from './schema';
