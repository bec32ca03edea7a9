export * from './command';
export * from './rows';
export * from './runner';
export * from './store';
export * from './table';
export * from './upstream';
export * from './worker';
