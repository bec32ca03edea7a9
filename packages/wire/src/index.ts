export * from './codec';
export * from './frame';
export * from './message';
export * from './schema';
export * from './runner';
export * from './runnercodec';
